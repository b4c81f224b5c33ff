#include "standin/http_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SocketAddress.h>

#include <csignal>

namespace fernmoor::standin {

namespace {

constexpr int kMostThreads = 900;  ///< One for each open connection: 400 streams and the rest.
constexpr int kThreadIdleSeconds = 300;
constexpr int kThreadStackBytes = 256 * 1024;
constexpr int kBacklog = 512;
constexpr int kMostQueued = 1024;
constexpr int kKeepAliveSeconds = 60;
constexpr Duration kReopenRetry{20000};

/// Counts a request while it lives.
class InFlight {
 public:
  explicit InFlight(std::atomic<int64_t>& count) : count_(count) { ++count_; }
  ~InFlight() { --count_; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  std::atomic<int64_t>& count_;
};

}  // namespace

class HttpService::RequestHandler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit RequestHandler(HttpService& service) : service_(service) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const InFlight counted(service_.inFlight_);
    HttpExchange exchange(request, response);
    service_.handle(exchange);
  }

 private:
  HttpService& service_;
};

class HttpService::HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit HandlerFactory(HttpService& service) : service_(service) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new RequestHandler(service_);
  }

 private:
  HttpService& service_;
};

HttpService::HttpService(SocketAddress listen, Handler handler, int warmThreads)
    : listen_(std::move(listen)),
      handler_(std::move(handler)),
      threads_("standin", warmThreads, kMostThreads, kThreadIdleSeconds, kThreadStackBytes) {}

HttpService::~HttpService() {
  stop();
}

Result<Done> HttpService::start() {
  // Connections cut by either side show as failed writes, not as a signal.
  std::signal(SIGPIPE, SIG_IGN);
  port_ = listen_.port;
  if (!open()) {
    return Error{ErrorKind::kUnavailable,
                 "Cannot listen on " + listen_.host + ":" + std::to_string(listen_.port) +
                     ". Choose a free port, or port 0.",
                 RunState::kNotRun, std::nullopt};
  }
  supervisor_ = std::thread([this] { supervise(); });
  return Done{};
}

void HttpService::stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    frozenUntil_ = Time();
  }
  changed_.notify_all();
  if (supervisor_.joinable()) {
    supervisor_.join();
  }
  close(true);
  for (const auto& server : closedServers_) {
    server->stopAll(true);
  }
  threads_.joinAll();
  closedServers_.clear();
}

bool HttpService::open() {
  try {
    socket_ = Poco::Net::ServerSocket();
    socket_.bind(Poco::Net::SocketAddress(listen_.host, port_), true);
    socket_.listen(kBacklog);
    port_ = socket_.address().port();
  } catch (const Poco::Exception&) {
    return false;
  }
  Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
  parameters->setMaxThreads(kMostThreads);
  parameters->setMaxQueued(kMostQueued);
  parameters->setThreadIdleTime(Poco::Timespan(1, 0));
  parameters->setKeepAlive(true);
  parameters->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  parameters->setMaxKeepAliveRequests(0);
  server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(*this), threads_, socket_,
                                                    parameters);
  down_ = false;
  server_->start();
  return true;
}

void HttpService::close(bool cutConnections) {
  if (!server_) {
    return;
  }
  // Wakes the accepting thread and refuses connections from now on.
  socket_.impl()->shutdown();
  if (cutConnections) {
    server_->stopAll(true);
  } else {
    server_->stop();
  }
  socket_.close();
  closedServers_.push_back(std::move(server_));
}

void HttpService::supervise() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (closeAsked_) {
      const bool cutConnections = cutAsked_;
      closeAsked_ = false;
      cutAsked_ = false;
      lock.unlock();
      close(cutConnections);
      lock.lock();
    } else if (server_) {
      changed_.wait(lock);
    } else if (clock_.now() < reopenAt_) {
      changed_.wait_until(lock, toSteady(reopenAt_));
    } else if (!open()) {
      reopenAt_ = clock_.now() + kReopenRetry;
    }
  }
}

void HttpService::askToClose(Duration duration, bool cutConnections) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    reopenAt_ = clock_.now() + duration;
    closeAsked_ = true;
    cutAsked_ = cutAsked_ || cutConnections;
  }
  changed_.notify_all();
}

void HttpService::goDown(Duration duration) {
  down_ = true;
  askToClose(duration, true);
}

void HttpService::refuseConnections(Duration duration) {
  askToClose(duration, false);
}

void HttpService::freeze(Duration duration) {
  const std::lock_guard<std::mutex> lock(mutex_);
  frozenUntil_ = clock_.now() + duration;
}

void HttpService::waitWhileFrozen() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_ && clock_.now() < frozenUntil_) {
    changed_.wait_until(lock, toSteady(frozenUntil_));
  }
}

void HttpService::handle(HttpExchange& exchange) {
  const bool forTests = exchange.path() == "/fault" || exchange.path() == "/record";
  if (!forTests) {
    waitWhileFrozen();
  }
  if (down_) {
    exchange.cut();
    return;
  }
  handler_(exchange);
  if (!exchange.responded()) {
    exchange.respond(Error{ErrorKind::kNotFound,
                           "There is no " + exchange.method() + " " + exchange.path() +
                               " here. See the stand-in's protocol page.",
                           RunState::kNotRun, std::nullopt});
  }
}

}  // namespace fernmoor::standin
