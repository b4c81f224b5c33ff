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
constexpr size_t kReadBufferBytes = 16384;
/// Bodies up to this size are copied behind the head and sent in one write. For longer ones, of up
/// to 4 MB each, the copy would occupy memory until the engine has received it.
constexpr size_t kMaxCombinedBodyBytes = 16384;
constexpr int kFirstFinalStatus = 200;
constexpr int kMaxInterimAnswers = 8;
/// Time for which a back end that sends no Keep-Alive header keeps an idle connection at least (3
/// s).
constexpr Duration kDefaultKeepAlive{3000000};
/// Longest wait for the rest of a header or chunk that has begun to arrive (3 s).
constexpr Duration kPartialMessageTimeout{3000000};

/// @return how long the back end keeps the connection open by its headers; 0: it closes it.
Duration statedKeepAlive(const Poco::Net::HTTPResponse& head) {
  if (Poco::icompare(head.get("Connection", ""), "close") == 0) {
    return Duration(0);
  }
  const std::string value = head.get("Keep-Alive", "");
  const size_t found = Poco::toLower(value).find("timeout=");
  if (found == std::string::npos) {
    return kDefaultKeepAlive;
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
    // The back end answered before it received the whole request: read the answer. `requestSent_`
    // stays false, so the connection is not reused.
    if ((entries[0].revents & POLLIN) != 0 && (entries[0].revents & POLLOUT) == 0) {
      return AttemptStep::kDone;
    }
  }
  requestSent_ = true;
  return AttemptStep::kDone;
}

AttemptStep EngineAttempt::writeRequest(CallerChannel& caller, Time deadline) {
  std::string head = headText();
  if (request_.body.size() <= kMaxCombinedBodyBytes) {
    return writeAll(head.append(request_.body), caller, deadline);
  }
  requestSent_ = false;
  const AttemptStep step = writeAll(head, caller, deadline);
  // The request is incomplete until its body is sent, even if the engine has answered already.
  const bool isTaken = std::exchange(requestSent_, false);
  return step == AttemptStep::kDone && isTaken ? writeAll(request_.body, caller, deadline) : step;
}

AttemptStep EngineAttempt::open(Time deadline, ConnectionUse use) {
  if (use.mayReuse) {
    connection_ = pool_.takeIdle(incarnationHash(plan_.backend), clock_.now());
  }
  if (connection_ == nullptr && use.mayOpen) {
    triedNewConnection_ = true;
    connection_ = pool_.open(plan_.backend.address);
  }
  if (connection_ == nullptr) {
    return AttemptStep::kNotSent;
  }
  // The deadline may have passed while the connection was opened.
  if (clock_.now() >= std::min(deadline, request_.deadline)) {
    return AttemptStep::kTooLate;
  }
  connection_->setIoTimeout(kPartialMessageTimeout);
  return AttemptStep::kDone;
}

AttemptStep EngineAttempt::send(CallerChannel& caller, Time deadline) {
  const AttemptStep step = writeRequest(caller, deadline);
  // An answer may be readable after a failed send, e.g. a rejection before the body was received.
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
  bounds.wholeWithin = kPartialMessageTimeout;
  std::string text;
  Time firstByteAt;
  for (int answers = 0; answers < kMaxInterimAnswers; ++answers) {
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
  bytes.resize(kReadBufferBytes);
  size_t count = 0;
  const BodyProgress progress = body_->read(bytes.data(), bytes.size(), count);
  bytes.resize(count);
  return progress == BodyProgress::kBroken ? AttemptStep::kBroken : AttemptStep::kDone;
}

void EngineAttempt::keepConnection() {
  const bool fit = connection_ != nullptr && requestSent_ && bodyComplete() &&
                   shape_.framing != BodyFraming::kUntilClose;
  if (fit) {
    pool_.giveBack(incarnationHash(plan_.backend), std::move(connection_), statedKeepAlive(head_),
                   clock_.now());
  }
}

}  // namespace fernmoor::gateway
