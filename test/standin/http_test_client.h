/// @file
/// Client side of the stand-ins' tests over loopback.
#pragma once

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <chrono>
#include <functional>
#include <istream>
#include <optional>
#include <string>
#include <thread>

#include "standin/json_client.h"

namespace fernmoor::standin {

inline JsonAnswer ask(uint16_t port, const std::string& method, const std::string& path,
                      const std::string& body = "") {
  JsonCall request;
  request.address = SocketAddress{"127.0.0.1", port};
  request.method = method;
  request.path = path;
  request.timeout = Duration(60000000);
  if (!body.empty()) {
    request.body = valueOf(parseObject(body));
  }
  const auto answer = call(request);
  return isOk(answer) ? valueOf(answer) : JsonAnswer{0, newObject()};
}

/// Waits until a condition holds; the limit only ends a test that hangs.
inline bool eventually(const std::function<bool()>& condition) {
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::yield();
  }
  return true;
}

/// Reads an answer of server-sent events.
class EventReader {
 public:
  EventReader(uint16_t port, const std::string& path, const std::string& body)
      : session_("127.0.0.1", port) {
    session_.setTimeout(Poco::Timespan(60, 0));
    Poco::Net::HTTPRequest request("POST", path, "HTTP/1.1");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session_.sendRequest(request) << body;
    stream_ = &session_.receiveResponse(response_);
  }
  int status() const { return response_.getStatus(); }

  /// @return the next event; none where the connection ended.
  std::optional<JsonObject::Ptr> next() {
    const std::string prefix = "data: ";
    std::string line;
    while (std::getline(*stream_, line)) {
      if (line.rfind(prefix, 0) == 0) {
        return valueOf(parseObject(line.substr(prefix.size())));
      }
    }
    return std::nullopt;
  }
  /// Reads to the end. @return the joined text.
  std::string rest() {
    std::string text;
    while (const auto event = next()) {
      text += textField(*event, "text");
      ended_ = ended_ || (*event)->optValue("end", false);
    }
    return text;
  }
  /// @return true where rest() saw the end event.
  bool ended() const { return ended_; }
  void close() { session_.abort(); }

 private:
  Poco::Net::HTTPClientSession session_;
  Poco::Net::HTTPResponse response_;
  std::istream* stream_ = nullptr;
  bool ended_ = false;
};

}  // namespace fernmoor::standin
