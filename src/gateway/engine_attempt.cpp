#include "gateway/engine_attempt.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <sstream>
#include <utility>

#include "http/header_block.h"

namespace fernmoor::gateway {

namespace {

constexpr size_t kMaxAnswerHeaderBytes = 32768;
constexpr size_t kReadBytes = 16384;
/// Shorter bodies are sent in one piece with their heads, which costs a copy; of longer ones, of up
/// to 4 MB each, a second copy would be held while the engine takes them.
constexpr size_t kMostCopiedBytes = 16384;
constexpr int kFirstFinalStatus = 200;
constexpr int kMostInterimAnswers = 8;
/// How long a back end that says nothing about it keeps an idle connection, at least.
constexpr Duration kUnstatedKeepAlive{3000000};
/// Longest wait for the rest of a header that has begun, or of a chunk.
constexpr Duration kRestOfMessage{3000000};

/// @return how long the back end says that it keeps the connection; 0: not at all.
Duration statedKeepAlive(const Poco::Net::HTTPResponse& head) {
  if (Poco::icompare(head.get("Connection", ""), "close") == 0) {
    return Duration(0);
  }
  const std::string value = head.get("Keep-Alive", "");
  const size_t found = Poco::toLower(value).find("timeout=");
  if (found == std::string::npos) {
    return kUnstatedKeepAlive;
  }
  const int seconds = std::atoi(value.c_str() + found + 8);
  return std::chrono::seconds(std::max(0, seconds));
}

}  // namespace

EngineAttempt::EngineAttempt(const IncomingRequest& request, const SendPlan& plan,
                             const BackendProtocol& protocol, ConnectionPool& pool,
                             const Clock& clock)
    : request_(request), plan_(plan), protocol_(protocol), pool_(pool), clock_(clock) {}

std::string EngineAttempt::headText() const {
  Poco::Net::HTTPRequest head(request_.method, request_.target, Poco::Net::HTTPMessage::HTTP_1_1);
  for (const auto& header : request_.headers) {
    head.add(header.first, header.second);
  }
  const bool hasBody = !request_.body.empty() || request_.method == "POST" ||
                       request_.method == "PUT" || request_.method == "PATCH";
  if (hasBody) {
    head.setContentLength64(static_cast<Poco::Int64>(request_.body.size()));
  }
  protocol_.addHeaders(request_, plan_, request_.deadline - clock_.now(), head);
  std::ostringstream out;
  head.write(out);
  return out.str();
}

AttemptStep EngineAttempt::writeAll(std::string_view bytes, CallerChannel& caller, Time deadline) {
  const int engine = connection_->socket().impl()->sockfd();
  while (!bytes.empty()) {
    const ssize_t sent = ::send(engine, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<size_t>(sent));
      continue;
    }
    if (sent < 0 && errno != EAGAIN && errno != EINTR) {
      return AttemptStep::kBroken;
    }
    pollfd entries[2] = {{engine, POLLOUT | POLLIN, 0},
                         {caller.connection().socket().impl()->sockfd(), POLLRDHUP, 0}};
    const Duration left = deadline - clock_.now();
    if (left.count() <= 0) {
      return AttemptStep::kSilent;
    }
    ::poll(entries, 2, static_cast<int>(left.count() / 1000 + 1));
    if (entries[1].revents != 0) {
      return AttemptStep::kCallerGone;
    }
    // An answer before the request was taken whole: read it, and don't use the connection again.
    if ((entries[0].revents & POLLIN) != 0 && (entries[0].revents & POLLOUT) == 0) {
      return AttemptStep::kDone;
    }
  }
  sentWhole_ = true;
  return AttemptStep::kDone;
}

AttemptStep EngineAttempt::writeRequest(CallerChannel& caller, Time deadline) {
  std::string head = headText();
  if (request_.body.size() <= kMostCopiedBytes) {
    return writeAll(head.append(request_.body), caller, deadline);
  }
  sentWhole_ = false;
  const AttemptStep step = writeAll(head, caller, deadline);
  // Without its body the head is no whole request, also where the engine has answered it already.
  const bool isTaken = std::exchange(sentWhole_, false);
  return step == AttemptStep::kDone && isTaken ? writeAll(request_.body, caller, deadline) : step;
}

AttemptStep EngineAttempt::open(Time deadline) {
  connection_ = pool_.borrow(incarnationHash(plan_.backend), plan_.backend.address, clock_.now());
  if (connection_ == nullptr) {
    return AttemptStep::kNotSent;
  }
  // Opening a connection takes its time.
  if (clock_.now() >= std::min(deadline, request_.deadline)) {
    return AttemptStep::kTooLate;
  }
  connection_->setIoTimeout(kRestOfMessage);
  return AttemptStep::kDone;
}

AttemptStep EngineAttempt::send(CallerChannel& caller, Time deadline) {
  const AttemptStep step = writeRequest(caller, deadline);
  // A failed send may have left an answer to be read, e.g. a refusal before the body was taken.
  return step == AttemptStep::kBroken && connection_->socketReadable() ? AttemptStep::kDone : step;
}

bool EngineAttempt::parseHead(const std::string& text) {
  try {
    std::istringstream in(text);
    head_.clear();
    head_.read(in);
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

AttemptStep EngineAttempt::awaitHead(CallerChannel& caller, Time deadline) {
  HeaderBounds bounds;
  bounds.maxBytes = kMaxAnswerHeaderBytes;
  bounds.firstByteBy = deadline;
  bounds.wholeWithin = kRestOfMessage;
  std::string text;
  Time firstByteAt;
  for (int answers = 0; answers < kMostInterimAnswers; ++answers) {
    const HeaderOutcome outcome =
        takeHeader(*connection_, bounds, clock_, &caller.connection(), text, firstByteAt);
    if (outcome == HeaderOutcome::kOtherClosed) {
      return AttemptStep::kCallerGone;
    }
    if (outcome == HeaderOutcome::kNothing && clock_.now() >= deadline) {
      return AttemptStep::kSilent;
    }
    if (outcome != HeaderOutcome::kWhole || !parseHead(text)) {
      return AttemptStep::kBroken;
    }
    if (static_cast<int>(head_.getStatus()) >= kFirstFinalStatus) {
      break;
    }
  }
  facts_ = protocol_.readAnswer(request_, head_);
  const int status = static_cast<int>(head_.getStatus());
  const bool bodyless = request_.method == "HEAD" || status == 204 || status == 304;
  shape_ = answerBodyShape(head_, bodyless);
  if (!facts_.isOurs || shape_.framing == BodyFraming::kInvalid || status < kFirstFinalStatus) {
    return AttemptStep::kBroken;
  }
  body_.emplace(*connection_, shape_);
  return AttemptStep::kDone;
}

AttemptStep EngineAttempt::readBody(CallerChannel& caller, Time deadline, std::string& bytes) {
  bytes.clear();
  if (body_->complete()) {
    return AttemptStep::kDone;
  }
  const Duration left = std::max(Duration(0), deadline - clock_.now());
  const WaitOutcome waited =
      connection_->waitReadable(std::min(left, kLongestWaitPiece), &caller.connection());
  if (waited == WaitOutcome::kOtherClosed) {
    return AttemptStep::kCallerGone;
  }
  if (waited == WaitOutcome::kTimeout) {
    return clock_.now() >= deadline ? AttemptStep::kSilent : AttemptStep::kDone;
  }
  bytes.resize(kReadBytes);
  size_t count = 0;
  const BodyProgress progress = body_->read(bytes.data(), bytes.size(), count);
  bytes.resize(count);
  return progress == BodyProgress::kBroken ? AttemptStep::kBroken : AttemptStep::kDone;
}

void EngineAttempt::keepConnection() {
  const bool fit = connection_ != nullptr && sentWhole_ && bodyComplete() &&
                   shape_.framing != BodyFraming::kUntilClose;
  if (fit) {
    pool_.giveBack(incarnationHash(plan_.backend), std::move(connection_), statedKeepAlive(head_),
                   clock_.now());
  }
}

}  // namespace fernmoor::gateway
