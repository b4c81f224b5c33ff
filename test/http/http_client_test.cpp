/// @file
/// Tests of src/http/http_client.h.
#include "http/http_client.h"

#include <Poco/Event.h>
#include <Poco/Net/ServerSocket.h>
#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace fernmoor {

namespace {

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Takes one connection and answers each request on it after the pause given for it.
class PausingServer {
 public:
  explicit PausingServer(const std::vector<Duration>& pauses, const std::string& answer = kAnswer)
      : answer_(answer),
        socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread_([this, pauses] { serve(pauses); }) {}
  ~PausingServer() { thread_.join(); }
  SocketAddress address() const { return SocketAddress{"127.0.0.1", socket_.address().port()}; }

 private:
  void serve(const std::vector<Duration>& pauses) {
    Poco::Net::StreamSocket connection = socket_.acceptConnection();
    char buffer[4096];
    for (const Duration pause : pauses) {
      if (connection.receiveBytes(buffer, sizeof(buffer)) <= 0) {
        return;
      }
      std::this_thread::sleep_for(pause);
      connection.sendBytes(answer_.data(), static_cast<int>(answer_.size()));
    }
  }

  const std::string answer_;
  Poco::Net::ServerSocket socket_;
  std::thread thread_;
};

/// Takes one connection, reads nothing until told, and tells how the connection ended.
class SilentServer {
 public:
  SilentServer()
      : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)), thread_([this] { serve(); }) {}
  SocketAddress address() const { return SocketAddress{"127.0.0.1", socket_.address().port()}; }
  /// @return whether the caller had reset the connection.
  bool wasReset() {
    read_.set();
    thread_.join();
    return wasReset_;
  }

 private:
  void serve() {
    Poco::Net::StreamSocket connection = socket_.acceptConnection();
    read_.wait();
    char buffer[4096];
    try {
      while (connection.receiveBytes(buffer, sizeof(buffer)) > 0) {
      }
    } catch (const Poco::Exception&) {
      wasReset_ = true;
    }
  }

  Poco::Net::ServerSocket socket_;
  Poco::Event read_;
  bool wasReset_ = false;
  std::thread thread_;
};

/// Takes connections and answers what comes by them; those that it has taken go silent when told.
class SilencedServer {
 public:
  SilencedServer()
      : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)), thread_([this] { accept(); }) {}
  ~SilencedServer() {
    isEnding_ = true;
    thread_.join();
    for (std::thread& each : connections_) {
      each.join();
    }
  }
  SocketAddress address() const { return SocketAddress{"127.0.0.1", socket_.address().port()}; }
  /// Answers wait until so many requests are there, so that they come by as many connections.
  void answerTogether(int requests) { together_ = requests; }
  void silence() { silentBefore_ = taken_.load(); }

 private:
  void accept() {
    while (!isEnding_) {
      if (socket_.poll(Poco::Timespan(20000), Poco::Net::Socket::SELECT_READ)) {
        connections_.emplace_back([this, connection = socket_.acceptConnection(),
                                   number = taken_++]() mutable { serve(connection, number); });
      }
    }
  }
  void serve(Poco::Net::StreamSocket& connection, int number) {
    char buffer[4096];
    while (!isEnding_) {
      if (!connection.poll(Poco::Timespan(20000), Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      try {
        if (connection.receiveBytes(buffer, sizeof(buffer)) <= 0) {
          return;
        }
      } catch (const Poco::Exception&) {
        return;  // Reset by a call that was given up.
      }
      ++requests_;
      while (requests_ < together_ && !isEnding_) {
        std::this_thread::yield();
      }
      if (number >= silentBefore_) {
        connection.sendBytes(kAnswer.data(), static_cast<int>(kAnswer.size()));
      }
    }
  }

  Poco::Net::ServerSocket socket_;
  std::atomic<bool> isEnding_{false};
  std::atomic<int> taken_{0};
  std::atomic<int> requests_{0};
  std::atomic<int> together_{0};
  std::atomic<int> silentBefore_{0};
  std::vector<std::thread> connections_;
  std::thread thread_;
};

}  // namespace

TEST_CASE("a call that is given up is reset: its bytes do not reach the server later") {
  SilentServer server;
  HttpClient client;
  HttpCall call;
  call.method = "POST";
  call.address = server.address();
  call.path = "/order";
  call.body = "{}";
  call.timeout = std::chrono::milliseconds(50);
  CHECK(std::holds_alternative<HttpFailure>(client.call(call)));
  CHECK(server.wasReset());
}

TEST_CASE("an answer longer than the call allows is a failure, not the beginning of it") {
  const std::string body(100000, 'x');
  for (const size_t allowed : {size_t{99999}, size_t{100000}}) {
    PausingServer server({Duration(0)}, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + body);
    HttpClient client;
    HttpCall call;
    call.address = server.address();
    call.path = "/";
    call.mostAnswerBytes = allowed;
    const HttpOutcome outcome = client.call(call);
    CHECK(std::holds_alternative<HttpAnswer>(outcome) == (allowed == body.size()));
  }
}

TEST_CASE("a kept connection waits as long as the call on it may, not as the first one might") {
  PausingServer server({Duration(0), std::chrono::milliseconds(600)});
  HttpClient client;
  HttpCall call;
  call.address = server.address();
  call.path = "/";
  call.timeout = std::chrono::milliseconds(200);
  REQUIRE(std::holds_alternative<HttpAnswer>(client.call(call)));
  call.timeout = std::chrono::seconds(30);
  CHECK(std::holds_alternative<HttpAnswer>(client.call(call)));
}

TEST_CASE("of kept connections that went silent one costs a call, the others none") {
  SilencedServer server;
  HttpClient client;
  HttpCall call;
  call.address = server.address();
  call.path = "/";
  call.timeout = std::chrono::seconds(30);
  server.answerTogether(3);
  std::vector<std::thread> callers;
  callers.reserve(3);
  for (int caller = 0; caller < 3; ++caller) {
    callers.emplace_back([&] { client.call(call); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  server.silence();
  call.timeout = std::chrono::milliseconds(50);
  CHECK(std::holds_alternative<HttpFailure>(client.call(call)));
  call.timeout = std::chrono::seconds(30);
  CHECK(std::holds_alternative<HttpAnswer>(client.call(call)));
}

}  // namespace fernmoor
