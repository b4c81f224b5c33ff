#include "http/text_endpoint.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

namespace fernmoor {

namespace {

using Poco::Net::HTTPResponse;

constexpr int kMostThreads = 2;

class TextHandler : public Poco::Net::HTTPRequestHandler {
 public:
  TextHandler(const TextEndpointOptions& options, const TextEndpoint::Answer& answer)
      : options_(options), answer_(answer) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const bool isKnown = request.getURI() == options_.path;
    const TextAnswer answer = isKnown ? answer_() : TextAnswer{HTTPResponse::HTTP_NOT_FOUND, ""};
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer.status));
    response.setContentType(options_.contentType);
    response.setContentLength64(static_cast<Poco::Int64>(answer.text.size()));
    response.send() << answer.text;
  }

 private:
  const TextEndpointOptions& options_;
  const TextEndpoint::Answer& answer_;
};

class TextFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  TextFactory(TextEndpointOptions options, TextEndpoint::Answer answer)
      : options_(std::move(options)), answer_(std::move(answer)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new TextHandler(options_, answer_);
  }

 private:
  TextEndpointOptions options_;
  TextEndpoint::Answer answer_;
};

}  // namespace

TextEndpoint::TextEndpoint(const TextEndpointOptions& options, Answer answer) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(options.listen.host, options.listen.port), true, false);
  socket.listen();
  Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
  parameters->setMaxThreads(kMostThreads);
  server_ = std::make_unique<Poco::Net::HTTPServer>(new TextFactory(options, std::move(answer)),
                                                    socket, parameters);
}

TextEndpoint::~TextEndpoint() {
  server_->stopAll(true);
}

void TextEndpoint::start() {
  server_->start();
}

int TextEndpoint::port() const {
  return server_->port();
}

}  // namespace fernmoor
