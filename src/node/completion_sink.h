/// @file
/// Writes a relayed answer to a caller over HTTP, whole or as server-sent events.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <ostream>
#include <string>

#include "node/caller_socket.h"
#include "node/completion_api.h"
#include "node/stream_token.h"
#include "relay/stream_relay.h"

namespace fernmoor {

/// One caller's answer. Used by one thread. Headers go out with the first token, so that a refusal
/// before it has its own status.
class CompletionSink : public AnswerSink {
 public:
  CompletionSink(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response,
                 const StreamTokenSealer& sealer, TenantId tenant, AnswerFacts facts, bool stream);

  bool attemptStarted(const AttemptId& attempt, const Placement& placement,
                      const AttemptFrame& firstFrame) override;
  bool text(int64_t position, int64_t tokens, const std::string& text) override;
  bool finish(int64_t totalTokens) override;
  bool refuse(const Error& error) override;
  const Poco::Net::Socket* callerSocket() override { return caller_.watched(); }
  bool callerGone() override { return caller_.gone(); }

 private:
  void setHeaders();
  void startStream();
  bool sendEvent(const std::string& data);
  bool sendWhole(int64_t totalTokens);

  Poco::Net::HTTPServerResponse& response_;
  const StreamTokenSealer& sealer_;
  const TenantId tenant_;
  const AnswerFacts facts_;
  const bool stream_;
  CallerSocket caller_;
  std::ostream* out_ = nullptr;
  std::string wholeText_;
  std::string announcedStream_;  ///< Stream id not yet sent in a chunk.
  EngineId engine_;
  std::string streamId_;
  int64_t promptTokens_ = 0;
  int64_t cachedTokens_ = 0;
};

}  // namespace fernmoor
