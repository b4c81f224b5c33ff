#include "gateway/caller_buffer.h"

#include <algorithm>
#include <cstring>

namespace fernmoor::gateway {

namespace {

/// Interval between checks for a caller that acknowledges nothing (1 s); each is a system call.
constexpr Duration kLossCheckInterval{1000000};

}  // namespace

CallerBuffer::CallerBuffer(ByteConnection& connection, ByteBudget& budget, Metrics& metrics,
                           const Clock& clock)
    : connection_(connection), metrics_(metrics), clock_(clock), budget_(budget), held_(budget) {}

CallerBuffer::~CallerBuffer() {
  clear();
}

bool CallerBuffer::write(std::string_view bytes) {
  if (!hasWritten_) {
    hasWritten_ = true;
    const Time now = clock_.now();
    nextLossCheck_ = now + kLossCheckInterval;
    // The system must not close the connection of a caller that may still read in time.
    // mayGoOn() finds callers that are gone.
    connection_.setSilenceTimeout(std::max(kUnresponsiveCallerTimeout, deadline_ - now));
  }
  if (state_ != State::kOpen || !flush() || (size_ == 0 && !send(bytes))) {
    return false;
  }
  return bytes.empty() || keep(bytes);
}

bool CallerBuffer::send(std::string_view& bytes) {
  while (!bytes.empty()) {
    size_t sent = 0;
    switch (connection_.writeSome(bytes, sent)) {
      case WriteOutcome::kWritten:
        bytes.remove_prefix(sent);
        break;
      case WriteOutcome::kFull:
        return true;
      case WriteOutcome::kBroken:
        return fail();
    }
  }
  return true;
}

bool CallerBuffer::keep(std::string_view bytes) {
  const size_t size = size_ + bytes.size();
  const size_t blocks = (begin_ + size + kBlockBytes - 1) / kBlockBytes;
  if (size > kMaxBytes || !held_.resize((blocks - 1) * kBlockBytes)) {
    giveUp();
    return false;
  }
  if (size_ == 0) {
    progressAt_ = clock_.now();
    connection_.setPendingOutput(this);
  }
  size_t end = begin_ + size_;
  while (!bytes.empty()) {
    if (end / kBlockBytes == blocks_.size()) {
      blocks_.push_back(std::make_unique<Block>());
    }
    const size_t offset = end % kBlockBytes;
    const size_t count = std::min(bytes.size(), kBlockBytes - offset);
    std::memcpy(blocks_[end / kBlockBytes]->data() + offset, bytes.data(), count);
    bytes.remove_prefix(count);
    end += count;
  }
  changeSize(size);
  return true;
}

bool CallerBuffer::flush() {
  const size_t before = size_;
  bool accepts = true;
  while (size_ > 0 && accepts) {
    std::string_view bytes(blocks_.front()->data() + begin_, std::min(size_, kBlockBytes - begin_));
    const size_t offered = bytes.size();
    if (!send(bytes)) {
      return false;
    }
    accepts = bytes.empty();
    dropSent(offered - bytes.size());
  }
  if (size_ < before) {
    progressAt_ = clock_.now();
  }
  return state_ == State::kOpen;
}

void CallerBuffer::dropSent(size_t count) {
  begin_ += count;
  changeSize(size_ - count);
  if (size_ == 0) {
    clear();
  } else if (begin_ == kBlockBytes) {
    blocks_.erase(blocks_.begin());
    begin_ = 0;
    held_.resize((blocks_.size() - 1) * kBlockBytes);
  }
}

bool CallerBuffer::flushWithin(Duration time) {
  return !connection_.leftWithin(time) && state_ == State::kOpen;
}

bool CallerBuffer::mayGoOn() {
  const Time now = clock_.now();
  if (state_ == State::kOpen && hasWritten_ && now >= nextLossCheck_) {
    nextLossCheck_ = now + kLossCheckInterval;
    if (connection_.isUnacknowledgedFor(kUnresponsiveCallerTimeout)) {
      fail();
    }
  }
  if (state_ == State::kOpen && budget_.isMoreThanHalfUsed() &&
      stalledFor() >= kUnresponsiveCallerTimeout) {
    giveUp();
  }
  return state_ == State::kOpen;
}

Duration CallerBuffer::stalledFor() const {
  return size_ == 0 ? Duration(0) : clock_.now() - progressAt_;
}

bool CallerBuffer::fail() {
  state_ = State::kBroken;
  clear();
  return false;
}

void CallerBuffer::giveUp() {
  state_ = State::kGivenUp;
  clear();
}

void CallerBuffer::clear() {
  connection_.setPendingOutput(nullptr);
  blocks_.clear();
  begin_ = 0;
  changeSize(0);
  held_.clear();
}

void CallerBuffer::changeSize(size_t size) {
  if (size != size_) {
    metrics_.addSlowCallerBytes(static_cast<double>(size) - static_cast<double>(size_));
    size_ = size;
  }
}

}  // namespace fernmoor::gateway
