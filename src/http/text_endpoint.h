/// @file
/// Answers GET on one path with a text that is made for each question: readiness, metrics. Few
/// callers, small answers; questions beyond two at once wait.
#pragma once

#include <Poco/Net/HTTPServer.h>

#include <functional>
#include <memory>
#include <string>

#include "common/socket_address.h"

namespace fernmoor {

/// What a question is answered with.
struct TextAnswer {
  int status = 200;
  std::string text;  ///< May be empty.
};

/// Where and how questions are answered.
struct TextEndpointOptions {
  SocketAddress listen;
  std::string path;  ///< Others get 404.
  std::string contentType = "text/plain";
};

class TextEndpoint {
 public:
  /// Called on a thread of the endpoint for each question.
  using Answer = std::function<TextAnswer()>;

  /// Binds the address. Throws Poco::Net::NetException where it is in use.
  TextEndpoint(const TextEndpointOptions& options, Answer answer);
  ~TextEndpoint();
  void start();
  /// @return the port that it listens on, also where port 0 asked for any.
  int port() const;

 private:
  std::unique_ptr<Poco::Net::HTTPServer> server_;
};

}  // namespace fernmoor
