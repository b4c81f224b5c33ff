#include "gateway/engine_attempt.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/String.h>
#include <poll.h>

#include <algorithm>
#include <utility>

#include "http/header_block.h"
#include "http/message_head.h"

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
/// Longest wait for the rest of a header or chunk that has begun to arrive (3 s), and the longest
/// one near the request's deadline (500 ms). For so long a body is read after its deadline.
constexpr Duration kPartialMessageTimeout{3000000};
constexpr Duration kLatePartialTimeout{500000};
/// Bytes of a body that are read after its deadline (256 KB): what may have arrived by then in the
/// buffers of the system.
constexpr size_t kMaxLateBytes = 256U << 10U;
/// Back ends cut off an answer that stays unread for some seconds. One that was unread for 1 s may
/// be cut off for that reason, as the network's buffers may have been full before.
constexpr Duration kMinUnreadTime{1000000};
/// Time (5 s) after an answer was left unread during which its end is ascribed to that: what was
/// sent before the cut-off is read first.
constexpr Duration kUnreadMemory{5000000};

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

std::optional<std::string> EngineAttempt::headText() const {
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
  return formatHead(head);
}

AttemptStep EngineAttempt::writeAll(std::string_view bytes, CallerChannel& caller,
                                    const SendLimits& limits) {
  const int engine = connection_->socket().impl()->sockfd();
  Time progressAt = clock_.now();
  while (!bytes.empty()) {
    size_t sent = 0;
    const WriteOutcome outcome = connection_->writeSome(bytes, sent);
    if (outcome == WriteOutcome::kWritten) {
      bytes.remove_prefix(sent);
      hasSentBytes_ = true;
      progressAt = clock_.now();
      continue;
    }
    if (outcome == WriteOutcome::kBroken) {
      return AttemptStep::kBroken;
    }
    const Time now = clock_.now();
    const bool mayStall = hasSentBytes_ && limits.mayStallOnceBegun;
    const Duration stallLeft = mayStall ? Duration::max() : limits.mostStall - (now - progressAt);
    const Duration left = std::min(limits.deadline - now, stallLeft);
    if (left.count() <= 0) {
      const AttemptStep unsent =
          stallLeft.count() <= 0 ? AttemptStep::kNotSent : AttemptStep::kTooLate;
      return hasSentBytes_ ? AttemptStep::kSilent : unsent;
    }
    ByteConnection& watched = caller.connection();
    pollfd entries[2] = {{engine, POLLOUT | POLLIN, 0},
                         {watched.socket().impl()->sockfd(), watched.watchedEvents(), 0}};
    ::poll(entries, 2, static_cast<int>(std::min(left, kLongestWaitPiece).count() / 1000 + 1));
    if (watched.handleWatched(entries[1].revents)) {
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

AttemptStep EngineAttempt::writeRequest(CallerChannel& caller, const SendLimits& limits) {
  std::optional<std::string> head = headText();
  if (!head) {
    return AttemptStep::kUnsendable;
  }
  if (request_.body.size() <= kMaxCombinedBodyBytes) {
    return writeAll(head->append(request_.body), caller, limits);
  }
  requestSent_ = false;
  const AttemptStep step = writeAll(*head, caller, limits);
  // The request is incomplete until its body is sent, even if the engine has answered already.
  const bool isTaken = std::exchange(requestSent_, false);
  return step == AttemptStep::kDone && isTaken ? writeAll(request_.body, caller, limits) : step;
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
  connection_->setWaitBound(std::nullopt);
  return AttemptStep::kDone;
}

AttemptStep EngineAttempt::send(CallerChannel& caller, const SendLimits& limits) {
  const AttemptStep step = writeRequest(caller, limits);
  // An answer may be readable after a failed send, e.g. a rejection before the body was received.
  // It is whole only if it states its own end: see ByteConnection.
  return step == AttemptStep::kBroken && connection_->socketReadable() ? AttemptStep::kDone : step;
}

AttemptStep EngineAttempt::awaitHead(CallerChannel& caller, Time deadline) {
  HeaderBounds bounds;
  bounds.maxBytes = kMaxAnswerHeaderBytes;
  bounds.firstByteBy = deadline;
  bounds.wholeWithin = partialMessageTimeout();
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
    if (outcome != HeaderOutcome::kWhole || parseAnswerHead(text, head_) != HeadOutcome::kParsed) {
      return AttemptStep::kBroken;
    }
    if (static_cast<int>(head_.getStatus()) >= kFirstFinalStatus) {
      break;
    }
    if (clock_.now() >= deadline) {
      return AttemptStep::kSilent;
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
  readAt_ = clock_.now();
  return AttemptStep::kDone;
}

AttemptStep EngineAttempt::readBody(CallerChannel& caller, Time deadline, std::string& bytes) {
  bytes.clear();
  if (body_->complete()) {
    return AttemptStep::kDone;
  }
  const Time start = clock_.now();
  if (!mayReadBody(start, deadline)) {
    return AttemptStep::kSilent;
  }
  const Duration piece = std::min(std::max(Duration(0), deadline - start), kLongestWaitPiece);
  const WaitOutcome waited = connection_->waitReadable(piece, &caller.connection());
  noteWait(start, piece);
  if (waited == WaitOutcome::kOtherClosed) {
    return AttemptStep::kCallerGone;
  }
  if (waited == WaitOutcome::kTimeout) {
    return clock_.now() >= deadline ? AttemptStep::kSilent : AttemptStep::kDone;
  }
  // Bounds the wait for bytes between two pieces of data, as those of a chunk's header are.
  connection_->setWaitBound(partialMessageTimeout());
  bytes.resize(kReadBufferBytes);
  size_t count = 0;
  const BodyProgress progress = body_->read(bytes.data(), bytes.size(), count);
  bytes.resize(count);
  lateBytes_ += start >= deadline ? count : 0;
  return progress == BodyProgress::kBroken ? AttemptStep::kBroken : AttemptStep::kDone;
}

Duration EngineAttempt::partialMessageTimeout() const {
  return std::clamp(request_.deadline - clock_.now(), kLatePartialTimeout, kPartialMessageTimeout);
}

bool EngineAttempt::mayReadBody(Time now, Time deadline) {
  if (now < deadline) {
    lateSince_.reset();
    lateBytes_ = 0;
    return true;
  }
  lateSince_ = lateSince_.value_or(now);
  return lateBytes_ < kMaxLateBytes && now - *lateSince_ < kLatePartialTimeout;
}

void EngineAttempt::noteWait(Time start, Duration longestWait) {
  const Time now = clock_.now();
  // A wait takes longer than asked for if the process was suspended.
  const Duration unread = std::max(start - readAt_.value_or(start), now - start - longestWait);
  if (unread >= kMinUnreadTime) {
    leftUnreadAt_ = now;
  }
  readAt_ = now;
}

bool EngineAttempt::wasLeftUnread() const {
  return leftUnreadAt_ && clock_.now() - *leftUnreadAt_ < kUnreadMemory;
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
