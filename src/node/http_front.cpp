#include "node/http_front.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/URI.h>

#include "common/log.h"
#include "http/message_body.h"
#include "node/application_handler.h"
#include "node/completion_handler.h"
#include "node/http_reply.h"

namespace fernmoor {

namespace {

constexpr int kMinimumThreads = 4;
constexpr int kListenBacklog = 1024;
constexpr int kMaxQueuedConnections = 1024;
constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr std::string_view kApplicationsPath = "/v1/applications/";
constexpr std::string_view kOperatorPath = "/operator/";

Poco::Timespan toTimespan(Duration duration) {
  return Poco::Timespan(duration.count());
}

/// Answers with one fixed error.
class ErrorHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit ErrorHandler(Error error) : error_(std::move(error)) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    sendError(response, error_, RequestId());
  }

 private:
  Error error_;
};

/// Answers that the process is alive.
class HealthHandler : public Poco::Net::HTTPRequestHandler {
 public:
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    sendJson(response, "{\"status\":\"ok\"}");
  }
};

/// Answers whether callers' requests can be served: a table is in force.
class ReadyHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit ReadyHandler(const NodeServices& services) : services_(services) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    if (services_.draining) {
      sendError(response,
                Error{ErrorKind::kDraining, "this node is stopping; use another one.",
                      RunState::kNotRun, std::nullopt},
                RequestId());
      return;
    }
    const Result<Table::Snapshot> table = tableInForce(services_);
    if (!isOk(table)) {
      sendError(response, errorOf(table), RequestId());
      return;
    }
    sendJson(response, "{\"status\":\"ready\"}");
  }

 private:
  const NodeServices& services_;
};

/// Serves all measures in Prometheus text.
class MetricsHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit MetricsHandler(const Metrics& metrics) : metrics_(metrics) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const std::string text = metrics_.serialize();
    response.setContentType("text/plain; version=0.0.4");
    response.sendBuffer(text.data(), text.size());
  }

 private:
  const Metrics& metrics_;
};

/// Counts the request while the handler runs; keeps a handler's exception from ending the thread
/// without an answer.
class CountingHandler : public Poco::Net::HTTPRequestHandler {
 public:
  /// @param endsConnection nothing that follows on the connection may be taken for a request.
  CountingHandler(OpenRequests& open, const std::atomic<bool>& draining, bool endsConnection,
                  std::unique_ptr<Poco::Net::HTTPRequestHandler> handler)
      : open_(open),
        draining_(draining),
        endsConnection_(endsConnection),
        handler_(std::move(handler)) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const OpenRequests::Guard guard(open_);
    if (draining_ || endsConnection_) {
      response.setKeepAlive(false);
    }
    try {
      handler_->handleRequest(request, response);
    } catch (const Poco::Exception&) {
      // The connection broke; there is nobody to answer.
      logDebug("a caller's connection broke");
      response.setKeepAlive(false);
    }
  }

 private:
  OpenRequests& open_;
  const std::atomic<bool>& draining_;
  const bool endsConnection_;
  std::unique_ptr<Poco::Net::HTTPRequestHandler> handler_;
};

Error unclearEnd() {
  return Error{ErrorKind::kInvalidRequest,
               "the request's length is malformed or stated twice; state it once.",
               RunState::kNotRun, std::nullopt};
}

Error unknownPath(const std::string& path) {
  return Error{ErrorKind::kNotFound, "there is nothing at " + path + "; README.md lists the paths.",
               RunState::kNotRun, std::nullopt};
}

int64_t positionOf(const Poco::URI& uri) {
  for (const auto& [name, value] : uri.getQueryParameters()) {
    Poco::Int64 position = 0;
    if (name == "position" && Poco::NumberParser::tryParse64(value, position)) {
      return std::max<int64_t>(0, position);
    }
  }
  return 0;
}

using HandlerPointer = std::unique_ptr<Poco::Net::HTTPRequestHandler>;

/// @return the rest of the path behind the prefix, or nothing where it has another one.
std::optional<std::string> restAfter(const std::string& path, std::string_view prefix) {
  if (path.compare(0, prefix.size(), prefix) != 0 || path.size() == prefix.size()) {
    return std::nullopt;
  }
  return path.substr(prefix.size());
}

HandlerPointer makeHandler(NodeServices& services, OperatorServices& operators,
                           const std::string& method, const std::string& target) {
  const Poco::URI uri(target);
  const std::string& path = uri.getPath();
  const bool isPost = method == Poco::Net::HTTPRequest::HTTP_POST;
  if (isPost && path == "/v1/completions") {
    return std::make_unique<CompletionHandler>(services, CompletionShape::kCompletion);
  }
  if (isPost && path == "/v1/chat/completions") {
    return std::make_unique<CompletionHandler>(services, CompletionShape::kChat);
  }
  if (const auto service = restAfter(path, kApplicationsPath); isPost && service) {
    return std::make_unique<ApplicationHandler>(services, ServiceId(*service));
  }
  if (const auto stream = restAfter(path, kStreamsPath)) {
    return std::make_unique<StreamHandler>(services, *stream, positionOf(uri));
  }
  if (restAfter(path, kOperatorPath)) {
    return std::make_unique<OperatorHandler>(operators);
  }
  if (path == "/metrics") {
    return std::make_unique<MetricsHandler>(services.measures.metrics());
  }
  if (path == "/v1/models") {
    return std::make_unique<ModelsHandler>(services);
  }
  if (path == "/healthz") {
    return std::make_unique<HealthHandler>();
  }
  if (path == "/readyz") {
    return std::make_unique<ReadyHandler>(services);
  }
  return std::make_unique<ErrorHandler>(unknownPath(path));
}

class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  HandlerFactory(NodeServices& services, OperatorServices& operators, OpenRequests& open)
      : services_(services), operators_(operators), open_(open) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override {
    return new CountingHandler(open_, services_.draining, endsConnection(request),
                               find(request));  // Poco deletes it after use.
  }

 private:
  /// Poco takes a broken chunk for the end of a body, so that nothing after a body in chunks can be
  /// trusted to be a request, and even less after one whose end is unclear.
  static bool endsConnection(const Poco::Net::HTTPServerRequest& request) {
    const BodyFraming framing = requestBodyShape(request).framing;
    return framing == BodyFraming::kInvalid || framing == BodyFraming::kChunked;
  }

  HandlerPointer find(const Poco::Net::HTTPServerRequest& request) {
    if (requestBodyShape(request).framing == BodyFraming::kInvalid) {
      return std::make_unique<ErrorHandler>(unclearEnd());
    }
    try {
      return makeHandler(services_, operators_, request.getMethod(), request.getURI());
    } catch (const Poco::SyntaxException&) {
      return std::make_unique<ErrorHandler>(Error{ErrorKind::kInvalidRequest,
                                                  "the request's URI is malformed.",
                                                  RunState::kNotRun, std::nullopt});
    }
  }

  NodeServices& services_;
  OperatorServices& operators_;
  OpenRequests& open_;
};

Poco::Net::HTTPServerParams::Ptr makeParameters(const Knobs& knobs) {
  Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(static_cast<int>(knobs.httpThreads));
  parameters->setMaxQueued(kMaxQueuedConnections);
  parameters->setTimeout(toTimespan(knobs.bodyTimeout));
  parameters->setKeepAliveTimeout(toTimespan(knobs.keepAliveTimeout));
  return parameters;
}

Poco::Net::ServerSocket bindSocket(const SocketAddress& listen) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(listen.host, listen.port), true, false);
  socket.listen(kListenBacklog);
  return socket;
}

}  // namespace

HttpFront::HttpFront(NodeServices& services, OperatorServices& operators,
                     const SocketAddress& listen)
    : threads_(kMinimumThreads, static_cast<int>(services.knobs.httpThreads), 60,
               static_cast<int>(services.knobs.httpThreadStackBytes)) {
  server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(services, operators, open_),
                                                    threads_, bindSocket(listen),
                                                    makeParameters(services.knobs));
}

HttpFront::~HttpFront() {
  server_->stopAll(true);
}

void HttpFront::start() {
  server_->start();
}

void HttpFront::stopAccepting() {
  server_->stop();
}

bool HttpFront::idle() const {
  return open_.count() == 0 && server_->currentConnections() == 0;
}

}  // namespace fernmoor
