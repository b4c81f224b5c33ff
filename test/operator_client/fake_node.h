/// @file
/// An in-process HTTP server in place of a node: answers with fixed bodies, records what it got.
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "common/socket_address.h"

namespace fernmoor {

/// One request that the fake got.
struct SeenRequest {
  std::string call;  ///< Method and path with query, e.g. "GET /operator/nodes".
  std::string authorization;
  std::string body;
};

class FakeNode {
 public:
  FakeNode()
      : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        server_(new Factory(*this), socket_, new Poco::Net::HTTPServerParams) {
    server_.start();
  }
  ~FakeNode() { server_.stopAll(true); }
  FakeNode(const FakeNode&) = delete;
  FakeNode& operator=(const FakeNode&) = delete;

  SocketAddress address() const { return {"127.0.0.1", socket_.address().port()}; }

  /// Answers this call from now on; other calls get 404.
  void answer(const std::string& call, int status, const std::string& body) {
    const std::lock_guard<std::mutex> lock(mutex_);
    answers_[call] = Answer{status, body};
  }
  std::vector<SeenRequest> seen() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
  }

 private:
  struct Answer {
    int status = 404;
    std::string body = R"({"error":{"kind":"not_found","message":"nothing here."}})";
  };

  class Handler : public Poco::Net::HTTPRequestHandler {
   public:
    explicit Handler(FakeNode& fake) : fake_(fake) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
      std::string body;
      Poco::StreamCopier::copyToString(request.stream(), body);
      const Answer answer = fake_.take(
          {request.getMethod() + " " + request.getURI(), request.get("Authorization", ""), body});
      response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
      response.sendBuffer(answer.body.data(), answer.body.size());
    }

   private:
    FakeNode& fake_;
  };

  class Factory : public Poco::Net::HTTPRequestHandlerFactory {
   public:
    explicit Factory(FakeNode& fake) : fake_(fake) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest& request) override {
      return new Handler(fake_);
    }

   private:
    FakeNode& fake_;
  };

  Answer take(const SeenRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    seen_.push_back(request);
    const auto found = answers_.find(request.call);
    return found == answers_.end() ? Answer{} : found->second;
  }

  mutable std::mutex mutex_;
  std::map<std::string, Answer> answers_;
  std::vector<SeenRequest> seen_;
  Poco::Net::ServerSocket socket_;
  Poco::Net::HTTPServer server_;
};

}  // namespace fernmoor
