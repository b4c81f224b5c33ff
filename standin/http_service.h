/// @file
/// HTTP server of a stand-in that can be frozen, refuse connections, or go down and come back on
/// the same port, as its faults ask. Thread-safe.
#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "common/error.h"
#include "common/time.h"
#include "membership/member.h"
#include "standin/http_exchange.h"

namespace fernmoor::standin {

class HttpService {
 public:
  using Handler = std::function<void(HttpExchange&)>;
  static constexpr int kFewestThreads = 2;

  /// @param listen port 0 takes a free one.
  /// @param handler called by many threads at once, one for each request.
  /// @param warmThreads made at the start; each further one delays the connection that needs it by
  /// about a millisecond.
  HttpService(SocketAddress listen, Handler handler, int warmThreads = kFewestThreads);
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  Result<Done> start();
  /// Cuts all connections and waits for the handlers, which must not wait for anything by then.
  void stop();
  uint16_t port() const { return port_; }

  /// Cuts all connections and refuses new ones for a while.
  void goDown(Duration duration);
  /// Refuses new connections for a while; those open go on.
  void refuseConnections(Duration duration);
  /// Accepts, and answers nothing but faults and records, for a while.
  void freeze(Duration duration);
  /// Waits while frozen; for handlers that began before the freeze.
  void waitWhileFrozen();
  /// @return how many requests are being handled.
  int64_t requestsInFlight() const { return inFlight_; }

 private:
  class HandlerFactory;
  class RequestHandler;

  void handle(HttpExchange& exchange);
  void supervise();
  bool open();
  void close(bool cutConnections);
  void askToClose(Duration duration, bool cutConnections);

  SocketAddress listen_;
  Handler handler_;
  std::atomic<uint16_t> port_{0};
  Poco::ThreadPool threads_;
  Poco::Net::ServerSocket socket_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;  ///< None while connections are refused.
  std::vector<std::unique_ptr<Poco::Net::HTTPServer>> closedServers_;
  std::thread supervisor_;

  SystemClock clock_;
  std::atomic<bool> down_{false};
  std::atomic<int64_t> inFlight_{0};
  std::mutex mutex_;  ///< Guards what follows.
  std::condition_variable changed_;
  bool stopping_ = false;
  bool closeAsked_ = false;
  bool cutAsked_ = false;
  Time reopenAt_;
  Time frozenUntil_;
};

/// @return the instant for waits on condition variables.
inline std::chrono::steady_clock::time_point toSteady(Time time) {
  return std::chrono::steady_clock::now() + (time - SystemClock().now());
}

}  // namespace fernmoor::standin
