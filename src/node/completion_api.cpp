#include "node/completion_api.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "http/json_text.h"

namespace fernmoor {

namespace {

constexpr int64_t kDefaultMaxTokens = 64;

Error invalid(const std::string& message) {
  return Error{ErrorKind::kInvalidRequest, message, RunState::kNotRun, std::nullopt};
}

/// Joins the messages in a way that keeps shared leading messages byte for byte equal.
Result<std::string> promptOfMessages(const Poco::JSON::Object& object) {
  const auto messages = object.getArray("messages");
  if (messages.isNull() || messages->size() == 0) {
    return invalid("messages is missing or empty; send at least one {role, content}.");
  }
  std::string prompt;
  for (unsigned i = 0; i < messages->size(); ++i) {
    const auto message = messages->getObject(i);
    if (message.isNull() || !message->get("content").isString()) {
      return invalid("messages[" + std::to_string(i) + "].content is not a text; send one.");
    }
    prompt += "<" + stringMember(*message, "role", "user") + ">\n";
    prompt += stringMember(*message, "content") + "\n";
  }
  return prompt;
}

Result<std::string> promptOf(const Poco::JSON::Object& object, CompletionShape shape) {
  if (shape == CompletionShape::kChat) {
    return promptOfMessages(object);
  }
  if (!object.get("prompt").isString()) {
    return invalid("prompt is not a text; send one.");
  }
  return stringMember(object, "prompt");
}

std::string objectName(CompletionShape shape, bool chunk) {
  if (shape == CompletionShape::kCompletion) {
    return "text_completion";
  }
  return chunk ? "chat.completion.chunk" : "chat.completion";
}

std::string head(const AnswerFacts& facts, bool chunk) {
  std::string out = "{\"id\":";
  appendJsonString(out, facts.request.value());
  out += ",\"object\":\"" + objectName(facts.shape, chunk) + "\"";
  out += ",\"created\":" + std::to_string(facts.createdSeconds);
  out += ",\"model\":";
  appendJsonString(out, facts.model);
  return out;
}

void appendChoice(std::string& out, CompletionShape shape, bool chunk, const std::string& text,
                  const char* finishReason) {
  out += ",\"choices\":[{\"index\":0,";
  if (shape == CompletionShape::kCompletion) {
    out += "\"text\":";
    appendJsonString(out, text);
  } else {
    out += chunk ? "\"delta\":{\"content\":" : "\"message\":{\"role\":\"assistant\",\"content\":";
    appendJsonString(out, text);
    out += "}";
  }
  out += ",\"finish_reason\":";
  out += finishReason;
  out += "}]";
}

}  // namespace

Result<CompletionRequest> parseCompletionRequest(const std::string& body, CompletionShape shape,
                                                 int64_t maxTokensBound) {
  const auto parsed = parseJsonObject(body);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  const auto& object = *valueOf(parsed);
  CompletionRequest request;
  request.shape = shape;
  request.model = stringMember(object, "model");
  if (request.model.empty()) {
    return invalid("model is missing; name a service that GET /v1/models lists.");
  }
  Result<std::string> prompt = promptOf(object, shape);
  if (!isOk(prompt)) {
    return errorOf(prompt);
  }
  request.prompt = std::move(valueOf(prompt));
  request.stream = booleanMember(object, "stream");
  const int64_t fallback = integerMember(object, "max_completion_tokens", kDefaultMaxTokens);
  request.maxTokens = integerMember(object, "max_tokens", fallback);
  if (request.maxTokens < 1 || request.maxTokens > maxTokensBound) {
    return invalid("max_tokens is " + std::to_string(request.maxTokens) +
                   "; give a value from 1 to " + std::to_string(maxTokensBound) + ".");
  }
  return request;
}

std::string chunkText(const AnswerFacts& facts, int64_t position, const std::string& text,
                      const std::string& stream) {
  std::string out = head(facts, true);
  appendChoice(out, facts.shape, true, text, "null");
  out += ",\"position\":" + std::to_string(position);
  if (!stream.empty()) {
    out += ",\"stream\":";
    appendJsonString(out, stream);
  }
  out += "}";
  return out;
}

std::string lastChunkText(const AnswerFacts& facts, int64_t totalTokens) {
  std::string out = head(facts, true);
  appendChoice(out, facts.shape, true, "", "\"stop\"");
  out += ",\"usage\":{\"completion_tokens\":" + std::to_string(totalTokens) + "}}";
  return out;
}

std::string answerBody(const AnswerFacts& facts, const std::string& text, int64_t promptTokens,
                       int64_t cachedTokens, int64_t totalTokens) {
  std::string out = head(facts, false);
  appendChoice(out, facts.shape, false, text, "\"stop\"");
  out += ",\"usage\":{\"prompt_tokens\":" + std::to_string(promptTokens);
  out += ",\"completion_tokens\":" + std::to_string(totalTokens);
  out += ",\"total_tokens\":" + std::to_string(promptTokens + totalTokens);
  out += ",\"prompt_tokens_details\":{\"cached_tokens\":" + std::to_string(cachedTokens) + "}}}";
  return out;
}

}  // namespace fernmoor
