#include "http/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>

#include <algorithm>
#include <iterator>

#include "http/header_block.h"
#include "http/json_text.h"
#include "http/message_head.h"

namespace fernmoor {

namespace {

constexpr size_t kMaxIdleConnections = 256;
constexpr size_t kMaxEventBytes = 1U << 20U;
/// Below the back ends' own limit, so that they do not close first.
constexpr std::chrono::seconds kMaxIdleTime{20};
constexpr size_t kMaxAnswerHeaderBytes = 32768;
constexpr size_t kReadBytes = 16384;
constexpr int kMaxInterimAnswers = 8;
constexpr int kFirstFinalStatus = 200;
constexpr std::string_view kDataField = "data:";

Poco::Timespan toTimespan(Duration duration) {
  return Poco::Timespan(duration.count());
}

HttpFailure tooLong(const HttpCall& call) {
  const std::string bound = std::to_string(call.mostAnswerBytes);
  return HttpFailure{CallProgress::kAnswered, "the answer is longer than " + bound + " bytes",
                     true};
}

/// @return the head of the call's request; nothing if a header cannot be written.
std::optional<std::string> requestHead(const HttpCall& call) {
  Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPMessage::HTTP_1_1);
  request.setHost(call.address.host, static_cast<Poco::UInt16>(call.address.port));
  for (const HttpHeader& header : call.headers) {
    request.set(header.name, header.value);
  }
  request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
  if (!call.body.empty()) {
    request.setContentType("application/json");
  }
  return formatHead(request);
}

/// Reads the head of the final answer. @return what went wrong; nothing if it is read.
std::optional<std::string> readHead(ByteConnection& connection, Duration timeout,
                                    Poco::Net::HTTPResponse& head) {
  const SystemClock clock;
  HeaderBounds bounds;
  bounds.maxBytes = kMaxAnswerHeaderBytes;
  bounds.firstByteBy = clock.now() + timeout;
  bounds.wholeWithin = timeout;
  std::string text;
  Time firstByteAt;
  for (int answers = 0; answers < kMaxInterimAnswers; ++answers) {
    const HeaderOutcome outcome = takeHeader(connection, bounds, clock, nullptr, text, firstByteAt);
    if (outcome != HeaderOutcome::kWhole) {
      return "no whole head of an answer came";
    }
    if (parseAnswerHead(text, head) != HeadOutcome::kParsed) {
      return "the head of the answer is malformed";
    }
    if (static_cast<int>(head.getStatus()) >= kFirstFinalStatus) {
      return std::nullopt;
    }
  }
  return "too many interim answers";
}

bool isBodyless(const HttpCall& call, int status) {
  return call.method == Poco::Net::HTTPRequest::HTTP_HEAD ||
         status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
         status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

bool closesConnection(const Poco::Net::HTTPResponse& head) {
  return head.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1 ||
         Poco::icompare(head.get("Connection", ""), "close") == 0;
}

}  // namespace

/// A connection to one address.
class HttpConnection : public ByteConnection {
 public:
  HttpConnection(const Poco::Net::StreamSocket& socket, const SocketAddress& address)
      : ByteConnection(socket), address_(address) {}
  /// Throws where it fails.
  static std::unique_ptr<HttpConnection> open(const SocketAddress& address, Duration timeout) {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address.host, static_cast<Poco::UInt16>(address.port)),
                   toTimespan(timeout));
    socket.setNoDelay(true);
    return std::make_unique<HttpConnection>(socket, address);
  }
  const SocketAddress& address() const { return address_; }
  /// While a call runs a close resets the connection, so that what the peer has not got by then
  /// never reaches it: a call that was given up must not be carried out seconds later.
  void resetOnClose(bool resets) { socket().setLinger(resets, 0); }
  void noteIdle() { idleSince_ = std::chrono::steady_clock::now(); }
  /// @return whether the other side has closed it, or will soon; also if it has sent something.
  bool isStale() {
    return std::chrono::steady_clock::now() - idleSince_ > kMaxIdleTime || hasBufferedBytes() ||
           socketReadable();
  }

 private:
  SocketAddress address_;
  std::chrono::steady_clock::time_point idleSince_;
};

EventStream::EventStream(std::unique_ptr<HttpConnection> connection, BodyShape shape)
    : connection_(std::move(connection)), body_(*connection_, shape) {}

EventStream::~EventStream() = default;

EventStream::Waited EventStream::waitReadable(Duration timeout, const Poco::Net::Socket* other) {
  if (body_.complete() || connection_->hasBufferedBytes()) {
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

std::optional<std::string> EventStream::takeLine() {
  const size_t end = unread_.find('\n', searched_);
  if (end == std::string::npos) {
    searched_ = unread_.size();
    return std::nullopt;
  }
  std::string line = unread_.substr(0, end);
  unread_.erase(0, end + 1);
  searched_ = 0;
  return line;
}

bool EventStream::readMore() {
  char buffer[kReadBytes];
  size_t count = 0;
  if (body_.read(buffer, sizeof(buffer), count) != BodyProgress::kBytes) {
    return false;
  }
  unread_.append(buffer, count);
  return true;
}

StreamRead EventStream::next(Duration timeout, const Poco::Net::Socket* other) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  try {
    while (true) {
      while (const std::optional<std::string> line = takeLine()) {
        if (line->compare(0, kDataField.size(), kDataField) == 0) {
          return StreamEvent{line->substr(kDataField.size())};
        }
      }
      const auto left =
          std::max(Duration(0),
                   std::chrono::duration_cast<Duration>(end - std::chrono::steady_clock::now()));
      const Waited waited = waitReadable(left, other);
      if (waited == Waited::kQuiet) {
        return StreamQuiet{};
      }
      if (waited == Waited::kInterrupted) {
        return StreamInterrupted{};
      }
      if (unread_.size() > kMaxEventBytes || !readMore()) {
        return StreamClosed{};
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
  connection->resetOnClose(false);
  connection->setWaitBound(std::nullopt);
  connection->noteIdle();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (idle_.size() >= kMaxIdleConnections) {
    idle_.erase(idle_.begin());
  }
  idle_.push_back(std::move(connection));
}

std::variant<HttpClient::Started, HttpFailure> HttpClient::startOn(
    std::unique_ptr<HttpConnection> connection, const HttpCall& call) {
  std::optional<std::string> request = requestHead(call);
  if (!request) {
    return HttpFailure{CallProgress::kNotSent, "a header of the call would end its line early"};
  }
  CallProgress progress = CallProgress::kNotSent;
  try {
    if (connection == nullptr) {
      connection = HttpConnection::open(call.address, call.connectTimeout.value_or(call.timeout));
    }
    connection->setIoTimeout(call.timeout);
    connection->resetOnClose(true);
    progress = CallProgress::kSent;
    if (!connection->writeAll(request->append(call.body))) {
      return HttpFailure{progress, "the connection broke while the call was sent"};
    }
    Poco::Net::HTTPResponse head;
    if (std::optional<std::string> fault = readHead(*connection, call.timeout, head)) {
      return HttpFailure{progress, *fault};
    }
    Started started;
    started.status = static_cast<int>(head.getStatus());
    started.shape = answerBodyShape(head, isBodyless(call, started.status));
    started.mayKeep = !closesConnection(head) && started.shape.framing != BodyFraming::kUntilClose;
    for (const auto& [name, value] : head) {
      started.headers.push_back(HttpHeader{name, value});
    }
    started.connection = std::move(connection);
    return started;
  } catch (const Poco::Exception& exception) {
    return HttpFailure{progress, exception.displayText()};
  }
}

std::variant<HttpClient::Started, HttpFailure> HttpClient::start(const HttpCall& call) {
  // A kept connection that the other side has closed is skipped before anything is sent, so that
  // a request that may not be repeated never needs a second try.
  auto connection = takeIdle(call.address);
  while (connection != nullptr && connection->isStale()) {
    connection = takeIdle(call.address);
  }
  if (connection == nullptr) {
    return startOn(nullptr, call);
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

HttpOutcome HttpClient::finish(Started& open, const HttpCall& call) {
  if (open.shape.length > call.mostAnswerBytes) {
    return tooLong(call);
  }
  const auto end = std::chrono::steady_clock::now() + call.transferTimeout;
  open.connection->setWaitBound(call.transferTimeout);
  BodyReader reader(*open.connection, open.shape);
  HttpAnswer answer{open.status, "", std::move(open.headers)};
  answer.body.reserve(static_cast<size_t>(open.shape.length));
  char buffer[kReadBytes];
  while (!reader.complete()) {
    size_t count = 0;
    if (std::chrono::steady_clock::now() >= end ||
        reader.read(buffer, sizeof(buffer), count) == BodyProgress::kBroken) {
      return HttpFailure{CallProgress::kAnswered, "the answer broke off or took too long"};
    }
    if (answer.body.size() + count > call.mostAnswerBytes) {
      return tooLong(call);
    }
    answer.body.append(buffer, count);
  }
  if (open.mayKeep) {
    giveBack(std::move(open.connection));
  }
  return answer;
}

HttpOutcome HttpClient::call(const HttpCall& call) {
  auto started = start(call);
  if (const auto* failure = std::get_if<HttpFailure>(&started)) {
    return *failure;
  }
  return finish(std::get<Started>(started), call);
}

StreamOutcome HttpClient::open(const HttpCall& call) {
  auto started = start(call);
  if (const auto* failure = std::get_if<HttpFailure>(&started)) {
    return *failure;
  }
  auto& open = std::get<Started>(started);
  if (open.status == Poco::Net::HTTPResponse::HTTP_OK) {
    return std::make_unique<EventStream>(std::move(open.connection), open.shape);
  }
  HttpOutcome outcome = finish(open, call);
  if (auto* failure = std::get_if<HttpFailure>(&outcome)) {
    return std::move(*failure);
  }
  return std::get<HttpAnswer>(std::move(outcome));
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
