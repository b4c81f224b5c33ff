#include "wire/large_message_queue.h"

#include <utility>

namespace fernmoor {

namespace {

constexpr size_t kMaxLargeQueue = 256;  ///< Larger backlogs mean dead peers; the oldest go.

}  // namespace

size_t LargeMessageQueue::push(LargeMessage message) {
  size_t dropped = 0;
  if (messages_.size() >= kMaxLargeQueue) {
    bytes_ -= messages_.front().bytes.size();
    messages_.pop_front();
    ++dropped;
  }
  bytes_ += message.bytes.size();
  messages_.push_back(std::move(message));
  return dropped;
}

std::optional<LargeMessage> LargeMessageQueue::pop() {
  if (messages_.empty()) {
    return std::nullopt;
  }
  LargeMessage message = std::move(messages_.front());
  messages_.pop_front();
  bytes_ -= message.bytes.size();
  return message;
}

}  // namespace fernmoor
