/// @file
/// The node's HTTP server: finds the handler for a path, counts open requests for draining.
#pragma once

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>

#include "node/node_services.h"
#include "node/operator_api.h"

namespace fernmoor {

/// Requests that are being served now. Thread-safe.
class OpenRequests {
 public:
  int64_t count() const { return count_; }
  /// Counts one request while it lives.
  class Guard {
   public:
    explicit Guard(OpenRequests& open) : open_(open) { ++open_.count_; }
    ~Guard() { --open_.count_; }
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

   private:
    OpenRequests& open_;
  };

 private:
  std::atomic<int64_t> count_{0};
};

class HttpFront {
 public:
  /// Binds the port. Throws Poco::Net::NetException where it is in use.
  HttpFront(NodeServices& services, OperatorServices& operators, const SocketAddress& listen);
  ~HttpFront();

  void start();
  /// Takes no new connections; requests that are being served go on.
  void stopAccepting();
  /// @return whether no request is served and no connection is left that could bring one.
  bool idle() const;
  const OpenRequests& openRequests() const { return open_; }

 private:
  OpenRequests open_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace fernmoor
