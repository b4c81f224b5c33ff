/// @file
/// HTTP client for back ends: kept-alive connections, JSON calls, and event streams that can be
/// waited for together with another socket. Each call is bounded in time and in bytes, whatever the
/// other side sends.
#pragma once

#include <Poco/JSON/Object.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/error.h"
#include "common/socket_address.h"
#include "http/message_body.h"

namespace fernmoor {

/// One header of a request.
struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpCall {
  SocketAddress address;
  std::string method = "GET";
  std::string path;
  std::string body;  ///< JSON; empty: none.
  std::vector<HttpHeader> headers;
  Duration timeout{2000000};  ///< For connecting, for the answer's head and for each read.
  std::optional<Duration> connectTimeout;  ///< For connecting, in place of `timeout`.
  /// From the answer's head to its last byte. Does not hold for a stream.
  Duration transferTimeout{10000000};
  /// A longer answer is a failure: what is left of a cut one would be taken for the whole. The
  /// default holds for short answers; a call that expects more states it.
  size_t mostAnswerBytes = 256U << 10U;
};

/// How far a failed call got; decides whether a request may be tried again.
enum class CallProgress {
  kNotSent,   ///< No byte left this process.
  kSent,      ///< Bytes left; no answer came.
  kAnswered,  ///< The back end answered.
};

struct HttpAnswer {
  int status = 0;
  std::string body;
  std::vector<HttpHeader> headers;
};

/// @return the value of the answer's first header of that name, in whatever case; null: none.
const std::string* findHeader(const HttpAnswer& answer, const std::string& name);

/// Failure of a call.
struct HttpFailure {
  CallProgress progress = CallProgress::kNotSent;
  std::string detail;
  bool isTooLong = false;  ///< The answer is longer than the call allows.
};

using HttpOutcome = std::variant<HttpAnswer, HttpFailure>;

/// One server-sent event's data.
struct StreamEvent {
  std::string data;
};
/// Nothing came within the time waited.
struct StreamQuiet {};
/// The other socket that was waited for became readable or was closed.
struct StreamInterrupted {};
/// The stream ended or broke.
struct StreamClosed {};
using StreamRead = std::variant<StreamEvent, StreamQuiet, StreamInterrupted, StreamClosed>;

class HttpConnection;
class HttpClient;

/// An open text/event-stream answer. Not thread-safe.
class EventStream {
 public:
  EventStream(std::unique_ptr<HttpConnection> connection, BodyShape shape);
  ~EventStream();
  EventStream(const EventStream&) = delete;
  EventStream& operator=(const EventStream&) = delete;

  /// Waits for the next event.
  /// @param timeout longest wait.
  /// @param other a socket to watch at the same time, or null.
  StreamRead next(Duration timeout, const Poco::Net::Socket* other);

 private:
  enum class Waited { kReadable, kQuiet, kInterrupted };
  Waited waitReadable(Duration timeout, const Poco::Net::Socket* other);
  /// Takes a whole line off what was read. @return nothing while there is none.
  std::optional<std::string> takeLine();
  /// Reads more of the body. @return false at its end, and where it broke.
  bool readMore();

  std::unique_ptr<HttpConnection> connection_;
  BodyReader body_;
  std::string unread_;   ///< What was read and not yet taken as a line.
  size_t searched_ = 0;  ///< Bytes of it without the end of a line.
};

/// Outcome of opening a stream: the stream, an answer with an error status, or a failure.
using StreamOutcome = std::variant<std::unique_ptr<EventStream>, HttpAnswer, HttpFailure>;

/// Thread-safe; keeps idle connections per address. Where one of them fails the others to its
/// address are closed: what silenced it may have silenced them, and each would cost a call its
/// time.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  /// Makes a call and reads the whole answer.
  HttpOutcome call(const HttpCall& call);
  /// Makes a call whose answer is an event stream.
  StreamOutcome open(const HttpCall& call);

 private:
  /// A call whose answer's head was read.
  struct Started {
    std::unique_ptr<HttpConnection> connection;
    BodyShape shape;
    bool mayKeep = false;  ///< The connection serves another call after the body.
    int status = 0;
    std::vector<HttpHeader> headers;
  };
  std::variant<Started, HttpFailure> start(const HttpCall& call);
  static std::variant<Started, HttpFailure> startOn(std::unique_ptr<HttpConnection> connection,
                                                    const HttpCall& call);
  /// Reads the body of the answer.
  HttpOutcome finish(Started& open, const HttpCall& call);
  std::unique_ptr<HttpConnection> takeIdle(const SocketAddress& address);
  /// Closes the kept connections to an address.
  void dropIdle(const SocketAddress& address);
  void giveBack(std::unique_ptr<HttpConnection> connection);

  std::mutex mutex_;
  std::vector<std::unique_ptr<HttpConnection>> idle_;
};

/// Makes a call and reads a JSON object.
/// @return kUnavailable where nothing answered; the answer's own error kind is lost, its status is
///         named in the message.
Result<Poco::JSON::Object::Ptr> callJson(HttpClient& client, const HttpCall& call);

}  // namespace fernmoor
