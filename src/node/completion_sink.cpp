#include "node/completion_sink.h"

#include <Poco/Exception.h>

#include <utility>

#include "node/http_reply.h"
#include "prefix/block_chain.h"

namespace fernmoor {

CompletionSink::CompletionSink(Poco::Net::HTTPServerRequest& request,
                               Poco::Net::HTTPServerResponse& response,
                               const StreamTokenSealer& sealer, TenantId tenant, AnswerFacts facts,
                               bool stream)
    : response_(response),
      sealer_(sealer),
      tenant_(std::move(tenant)),
      facts_(std::move(facts)),
      stream_(stream),
      caller_(request) {}

bool CompletionSink::attemptStarted(const AttemptId& attempt, const Placement& placement,
                                    const AttemptFrame& firstFrame) {
  engine_ = placement.engine;
  promptTokens_ = firstFrame.promptTokens;
  cachedTokens_ = firstFrame.cachedTokens;
  streamId_ = sealer_.seal(StreamToken{tenant_, facts_.request, attempt, facts_.model, placement});
  announcedStream_ = streamId_;
  return true;
}

void CompletionSink::setHeaders() {
  response_.set(kRequestIdHeader, facts_.request.value());
  response_.set(kEngineHeader, engine_.value());
  response_.set(kPrefixBlocksHeader, std::to_string(cachedTokens_ / kTokensPerBlock));
  response_.set(kStreamHeader, streamId_);
}

void CompletionSink::startStream() {
  setHeaders();
  response_.setContentType("text/event-stream");
  response_.set("Cache-Control", "no-cache");
  response_.setChunkedTransferEncoding(true);
  out_ = &response_.send();
}

bool CompletionSink::sendEvent(const std::string& data) {
  try {
    if (out_ == nullptr) {
      startStream();
    }
    *out_ << "data: " + data + "\n\n" << std::flush;
    return out_->good();
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool CompletionSink::text(int64_t position, int64_t tokens, const std::string& text) {
  if (!stream_) {
    wholeText_ += text;
    return true;
  }
  return sendEvent(chunkText(facts_, position, text, std::exchange(announcedStream_, "")));
}

bool CompletionSink::sendWhole(int64_t totalTokens) {
  try {
    setHeaders();
    sendJson(response_, answerBody(facts_, wholeText_, promptTokens_, cachedTokens_, totalTokens));
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool CompletionSink::finish(int64_t totalTokens) {
  if (!stream_) {
    return sendWhole(totalTokens);
  }
  return sendEvent(lastChunkText(facts_, totalTokens)) && sendEvent("[DONE]");
}

bool CompletionSink::refuse(const Error& error) {
  if (out_ != nullptr) {
    // Without [DONE]: the caller can tell a broken-off answer from a whole one.
    response_.setKeepAlive(false);
    return sendEvent(errorBody(error, facts_.request));
  }
  try {
    sendError(response_, error, facts_.request);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace fernmoor
