#include "http/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/String.h>

#include <algorithm>
#include <istream>
#include <iterator>

#include "http/json_text.h"

namespace fernmoor {

namespace {

constexpr size_t kMaxIdleConnections = 256;
constexpr size_t kMaxEventBytes = 1U << 20U;
constexpr int kIdleSeconds =
    20;  ///< Below the back ends' own limit, so that they do not close first.
constexpr std::string_view kDataField = "data:";

Poco::Timespan toTimespan(Duration duration) {
  return Poco::Timespan(duration.count());
}

/// Reads an answer. @return more than `limit` bytes where it is longer; the rest is not read.
std::string readBounded(std::istream& body, size_t limit) {
  std::string text;
  std::vector<char> buffer(16384);
  while (body.good() && text.size() <= limit) {
    body.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    text.append(buffer.data(), static_cast<size_t>(body.gcount()));
  }
  return text;
}

HttpFailure tooLong(const HttpCall& call) {
  return HttpFailure{CallProgress::kAnswered, "the answer is longer than " +
                                                  std::to_string(call.mostAnswerBytes) + " bytes"};
}

}  // namespace

/// A client session that tells whether bytes wait in its own buffer.
class HttpConnection : public Poco::Net::HTTPClientSession {
 public:
  explicit HttpConnection(const SocketAddress& address)
      : Poco::Net::HTTPClientSession(address.host, address.port), address_(address) {
    setKeepAlive(true);
    setKeepAliveTimeout(Poco::Timespan(kIdleSeconds, 0));
  }
  const SocketAddress& address() const { return address_; }
  bool hasBuffered() const { return buffered() > 0; }
  /// Connects where that is still to be done; throws where it fails.
  void ensureConnected() {
    if (!connected()) {
      reconnect();
    }
  }
  /// Bounds each read. Poco's setTimeout() alone leaves a connection that is already open with the
  /// bound of the call that opened it.
  void boundReads(Duration timeout) {
    setTimeout(toTimespan(timeout));
    if (connected()) {
      socket().setReceiveTimeout(toTimespan(timeout));
    }
  }
  /// While a call runs a close resets the connection, so that what the peer has not got by then
  /// never reaches it: a call that was given up must not be carried out seconds later. Poco closes
  /// by itself where a call fails, so this is set before.
  void resetOnClose(bool resets) {
    if (connected()) {
      socket().setLinger(resets, 0);
    }
  }
  /// True where an idle connection has something to read: the other side closed it.
  bool closedByPeer() {
    return !connected() || socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }

 private:
  SocketAddress address_;
};

EventStream::EventStream(HttpClient& client, std::unique_ptr<HttpConnection> connection,
                         std::istream& body)
    : client_(client), connection_(std::move(connection)), body_(body) {}

EventStream::~EventStream() = default;

EventStream::Waited EventStream::waitReadable(Duration timeout, const Poco::Net::Socket* other) {
  if (body_.rdbuf()->in_avail() > 0 || connection_->hasBuffered()) {
    return Waited::kReadable;
  }
  Poco::Net::Socket::SocketList readable{connection_->socket()};
  if (other != nullptr) {
    readable.push_back(*other);
  }
  Poco::Net::Socket::SocketList writable;
  Poco::Net::Socket::SocketList failed;
  if (Poco::Net::Socket::select(readable, writable, failed, toTimespan(timeout)) == 0) {
    return Waited::kQuiet;
  }
  const bool streamReady =
      std::find(readable.begin(), readable.end(), connection_->socket()) != readable.end();
  return streamReady ? Waited::kReadable : Waited::kInterrupted;
}

StreamRead EventStream::next(Duration timeout, const Poco::Net::Socket* other) {
  try {
    while (true) {
      const Waited waited = waitReadable(timeout, other);
      if (waited == Waited::kQuiet) {
        return StreamQuiet{};
      }
      if (waited == Waited::kInterrupted) {
        return StreamInterrupted{};
      }
      if (!std::getline(body_, line_) || line_.size() > kMaxEventBytes) {
        return StreamClosed{};
      }
      const std::string_view line(line_);
      if (line.substr(0, kDataField.size()) == kDataField) {
        return StreamEvent{std::string(line.substr(kDataField.size()))};
      }
    }
  } catch (const Poco::Exception&) {
    return StreamClosed{};
  }
}

HttpClient::HttpClient() = default;
HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection> HttpClient::takeIdle(const SocketAddress& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = std::find_if(idle_.rbegin(), idle_.rend(), [&](const auto& connection) {
    return connection->address() == address;
  });
  if (found == idle_.rend()) {
    return nullptr;
  }
  auto connection = std::move(*found);
  idle_.erase(std::next(found).base());
  return connection;
}

void HttpClient::dropIdle(const SocketAddress& address) {
  std::vector<std::unique_ptr<HttpConnection>> dropped;  // Destroyed after the lock is released.
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto first = std::stable_partition(idle_.begin(), idle_.end(), [&](const auto& connection) {
    return !(connection->address() == address);
  });
  std::move(first, idle_.end(), std::back_inserter(dropped));
  idle_.erase(first, idle_.end());
}

void HttpClient::giveBack(std::unique_ptr<HttpConnection> connection) {
  if (!connection->connected()) {
    return;
  }
  connection->resetOnClose(false);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (idle_.size() >= kMaxIdleConnections) {
    idle_.erase(idle_.begin());
  }
  idle_.push_back(std::move(connection));
}

std::variant<HttpClient::Started, HttpFailure> HttpClient::startOn(
    std::unique_ptr<HttpConnection> connection, const HttpCall& call) {
  CallProgress progress = CallProgress::kNotSent;
  try {
    connection->boundReads(call.timeout);
    Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const HttpHeader& header : call.headers) {
      request.set(header.name, header.value);
    }
    request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    if (!call.body.empty()) {
      request.setContentType("application/json");
    }
    connection->ensureConnected();
    connection->resetOnClose(true);
    progress = CallProgress::kSent;
    std::ostream& out = connection->sendRequest(request);
    out << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& body = connection->receiveResponse(response);
    std::vector<HttpHeader> headers;
    for (const auto& [name, value] : response) {
      headers.push_back(HttpHeader{name, value});
    }
    return Started{std::move(connection), &body, static_cast<int>(response.getStatus()),
                   std::move(headers)};
  } catch (const Poco::Exception& exception) {
    return HttpFailure{progress, exception.displayText()};
  }
}

std::variant<HttpClient::Started, HttpFailure> HttpClient::start(const HttpCall& call) {
  // A kept connection that the other side has closed is skipped before anything is sent, so that
  // a request that may not be repeated never needs a second try.
  auto connection = takeIdle(call.address);
  while (connection != nullptr && connection->closedByPeer()) {
    connection = takeIdle(call.address);
  }
  if (connection == nullptr) {
    return startOn(std::make_unique<HttpConnection>(call.address), call);
  }
  auto started = startOn(std::move(connection), call);
  if (std::holds_alternative<HttpFailure>(started)) {
    dropIdle(call.address);
  }
  return started;
}

const std::string* findHeader(const HttpAnswer& answer, const std::string& name) {
  const auto found = std::find_if(
      answer.headers.begin(), answer.headers.end(),
      [&](const HttpHeader& header) { return Poco::icompare(header.name, name) == 0; });
  return found == answer.headers.end() ? nullptr : &found->value;
}

HttpOutcome HttpClient::call(const HttpCall& call) {
  auto started = start(call);
  if (const auto* failure = std::get_if<HttpFailure>(&started)) {
    return *failure;
  }
  auto& open = std::get<Started>(started);
  try {
    HttpAnswer answer{open.status, readBounded(*open.body, call.mostAnswerBytes), open.headers};
    if (open.body->bad()) {
      return HttpFailure{CallProgress::kSent, "the answer broke off"};
    }
    if (answer.body.size() > call.mostAnswerBytes) {
      return tooLong(call);
    }
    giveBack(std::move(open.connection));
    return answer;
  } catch (const Poco::Exception& exception) {
    return HttpFailure{CallProgress::kSent, exception.displayText()};
  }
}

StreamOutcome HttpClient::open(const HttpCall& call) {
  auto started = start(call);
  if (const auto* failure = std::get_if<HttpFailure>(&started)) {
    return *failure;
  }
  auto& open = std::get<Started>(started);
  if (open.status == Poco::Net::HTTPResponse::HTTP_OK) {
    return std::make_unique<EventStream>(*this, std::move(open.connection), *open.body);
  }
  try {
    HttpAnswer answer{open.status, readBounded(*open.body, call.mostAnswerBytes), open.headers};
    if (answer.body.size() > call.mostAnswerBytes) {
      return tooLong(call);
    }
    giveBack(std::move(open.connection));
    return answer;
  } catch (const Poco::Exception& exception) {
    return HttpFailure{CallProgress::kAnswered, exception.displayText()};
  }
}

Result<Poco::JSON::Object::Ptr> callJson(HttpClient& client, const HttpCall& call) {
  const HttpOutcome outcome = client.call(call);
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    return Error{ErrorKind::kUnavailable,
                 call.address.host + ":" + std::to_string(call.address.port) + " did not answer (" +
                     failure->detail + "); check that it runs.",
                 RunState::kUnknown, std::nullopt};
  }
  const auto& answer = std::get<HttpAnswer>(outcome);
  if (answer.status != Poco::Net::HTTPResponse::HTTP_OK) {
    return Error{ErrorKind::kUnavailable,
                 call.path + " answered status " + std::to_string(answer.status) + ": " +
                     answer.body.substr(0, 200),
                 RunState::kUnknown, std::nullopt};
  }
  return parseJsonObject(answer.body);
}

}  // namespace fernmoor
