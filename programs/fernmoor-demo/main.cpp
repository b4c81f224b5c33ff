/// @file
/// Sends one request to a node and checks the answer against what the stand-in engines must say:
/// whole, in order, and the caller's own. Prints one line; exit code 0 only for a right answer.
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdio>
#include <istream>
#include <string>

#include "common/socket_address.h"
#include "http/json_text.h"
#include "standin/answer.h"

DEFINE_string(node, "127.0.0.1:18010", "http address of the node");
DEFINE_string(key, "", "bearer key of the tenant");
DEFINE_string(service, "", "service to name as model");
DEFINE_string(model, "base", "model behind the service, whose answer is expected");
DEFINE_string(prompt, "", "text of the prompt");
DEFINE_int64(prompt_repeats, 1, "how often the prompt's text is repeated");
DEFINE_string(prompt_tail, "", "text behind the repeated prompt");
DEFINE_int64(max_tokens, 16, "length of the answer");
DEFINE_bool(stream, true, "take the answer as server-sent events");
DEFINE_double(timeout_seconds, 60, "longest wait between two reads");

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr int kExitWrong = 1;
constexpr int kExitUsage = 2;

struct Received {
  int status = 0;
  std::string engine;
  std::string prefixBlocks;
  std::string text;
  bool complete = false;
  double firstTokenMilliseconds = 0;
  std::string error;
};

std::string promptText() {
  std::string prompt;
  for (int64_t i = 0; i < FLAGS_prompt_repeats; ++i) {
    prompt += FLAGS_prompt;
  }
  return prompt + FLAGS_prompt_tail;
}

std::string requestBody(const std::string& prompt) {
  std::string body = "{\"model\":";
  fernmoor::appendJsonString(body, FLAGS_service);
  body += ",\"prompt\":";
  fernmoor::appendJsonString(body, prompt);
  body += ",\"max_tokens\":" + std::to_string(FLAGS_max_tokens);
  body += std::string(",\"stream\":") + (FLAGS_stream ? "true" : "false") + "}";
  return body;
}

double millisecondsSince(SteadyTime start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

/// Takes the first choice's text of a whole answer or a chunk.
std::string choiceText(const Poco::JSON::Object& object) {
  const auto choices = object.getArray("choices");
  if (choices.isNull() || choices->size() == 0) {
    return "";
  }
  return fernmoor::stringMember(*choices->getObject(0), "text");
}

void readStream(std::istream& body, SteadyTime start, Received& received) {
  const std::string field = "data: ";
  std::string line;
  while (std::getline(body, line)) {
    if (line.compare(0, field.size(), field) != 0) {
      continue;
    }
    const std::string data = line.substr(field.size());
    if (data == "[DONE]") {
      received.complete = true;
      return;
    }
    const auto parsed = fernmoor::parseJsonObject(data);
    if (!fernmoor::isOk(parsed) || fernmoor::valueOf(parsed)->has("error")) {
      received.error = data;
      return;
    }
    const std::string text = choiceText(*fernmoor::valueOf(parsed));
    if (received.text.empty() && !text.empty()) {
      received.firstTokenMilliseconds = millisecondsSince(start);
    }
    received.text += text;
  }
}

void readWhole(std::istream& body, SteadyTime start, Received& received) {
  const std::string text((std::istreambuf_iterator<char>(body)), std::istreambuf_iterator<char>());
  received.firstTokenMilliseconds = millisecondsSince(start);
  const auto parsed = fernmoor::parseJsonObject(text);
  if (received.status != Poco::Net::HTTPResponse::HTTP_OK || !fernmoor::isOk(parsed)) {
    received.error = text;
    return;
  }
  received.text = choiceText(*fernmoor::valueOf(parsed));
  received.complete = true;
}

Received sendRequest(const fernmoor::SocketAddress& node, const std::string& prompt) {
  Received received;
  Poco::Net::HTTPClientSession session(node.host, node.port);
  session.setTimeout(Poco::Timespan(static_cast<Poco::Int64>(FLAGS_timeout_seconds * 1e6)));
  Poco::Net::HTTPRequest request("POST", "/v1/completions", "HTTP/1.1");
  const std::string body = requestBody(prompt);
  request.setContentType("application/json");
  request.setContentLength(static_cast<std::streamsize>(body.size()));
  request.set("Authorization", "Bearer " + FLAGS_key);
  const SteadyTime start = std::chrono::steady_clock::now();
  session.sendRequest(request) << body << std::flush;
  Poco::Net::HTTPResponse response;
  std::istream& answer = session.receiveResponse(response);
  received.status = response.getStatus();
  received.engine = response.get("X-Fernmoor-Engine", "-");
  received.prefixBlocks = response.get("X-Fernmoor-Prefix-Blocks", "-");
  if (FLAGS_stream && received.status == Poco::Net::HTTPResponse::HTTP_OK) {
    readStream(answer, start, received);
  } else {
    readWhole(answer, start, received);
  }
  return received;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto node = fernmoor::parseSocketAddress(FLAGS_node);
  if (!node) {
    std::fprintf(stderr, "--node is no address; give an IP number and a port.\n");
    return kExitUsage;
  }
  const std::string prompt = promptText();
  Received received;
  try {
    received = sendRequest(*node, prompt);
  } catch (const Poco::Exception& exception) {
    received.error = exception.displayText();
  }
  const std::string expected = fernmoor::standin::answerText(FLAGS_model, prompt, FLAGS_max_tokens);
  const bool right = received.complete && received.text == expected;
  std::printf("%-5s engine=%-10s prefix_blocks=%-5s first_token_ms=%-8.1f %s\n",
              right ? "right" : "WRONG", received.engine.c_str(), received.prefixBlocks.c_str(),
              received.firstTokenMilliseconds, received.error.c_str());
  return right ? 0 : kExitWrong;
}
