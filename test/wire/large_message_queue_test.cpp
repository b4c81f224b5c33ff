/// @file
/// Tests of src/wire/large_message_queue.h.
#include "wire/large_message_queue.h"

#include <doctest/doctest.h>

#include <vector>

namespace fernmoor {

namespace {

constexpr size_t kBudget = 1000000;
constexpr size_t kLong = 100000;
constexpr size_t kShort = 2000;

LargeMessage message(uint32_t to, size_t bytes) {
  return LargeMessage{NodeId(to), SocketAddress{}, std::string(bytes, 'x')};
}

std::vector<uint32_t> receiversInOrder(LargeMessageQueue& queue) {
  std::vector<uint32_t> order;
  while (const std::optional<LargeMessage> next = queue.pop()) {
    order.push_back(next->to.value());
  }
  return order;
}

}  // namespace

TEST_CASE("what waits never exceeds its bytes, however many messages come") {
  LargeMessageQueue queue(kBudget);
  size_t dropped = 0;
  for (uint32_t round = 0; round < 300; ++round) {
    dropped += queue.push(message(1 + round % 7, kLong));
    CHECK(queue.bytes() <= kBudget);
  }
  CHECK(dropped == 290);
  CHECK(receiversInOrder(queue).size() == 10);
  CHECK(queue.empty());
}

TEST_CASE("a receiver with a long backlog loses messages before others do") {
  LargeMessageQueue queue(kBudget);
  queue.push(message(1, kLong));
  for (int round = 0; round < 20; ++round) {
    queue.push(message(2, kLong));
  }
  CHECK(queue.bytesTo(NodeId(1)) == kLong);
  CHECK(queue.bytesTo(NodeId(2)) == kBudget - kLong);
}

TEST_CASE("a message longer than all the room is dropped, and nothing else") {
  LargeMessageQueue queue(kBudget);
  queue.push(message(1, kLong));
  CHECK(queue.push(message(2, kBudget + 1)) == 1);
  CHECK(queue.bytes() == kLong);
}

TEST_CASE("receivers take turns, and short messages go first") {
  LargeMessageQueue queue(kBudget);
  queue.push(message(1, kLong));
  queue.push(message(1, kLong));
  queue.push(message(2, kLong));
  queue.push(message(3, kShort));
  CHECK(receiversInOrder(queue) == std::vector<uint32_t>{3, 1, 2, 1});
}

TEST_CASE("a receiver that took one message too slowly loses the long ones only") {
  LargeMessageQueue queue(kBudget);
  queue.push(message(1, kLong));
  queue.push(message(1, kShort));
  CHECK(queue.dropLongTo(NodeId(1)) == 1);
  CHECK(queue.bytesTo(NodeId(1)) == kShort);
}

TEST_CASE("a receiver that takes nothing loses all that waits for it") {
  LargeMessageQueue queue(kBudget);
  queue.push(message(1, kLong));
  queue.push(message(1, kShort));
  queue.push(message(2, kLong));
  CHECK(queue.dropAllTo(NodeId(1)) == 2);
  CHECK(queue.bytes() == kLong);
  CHECK(receiversInOrder(queue) == std::vector<uint32_t>{2});
}

}  // namespace fernmoor
