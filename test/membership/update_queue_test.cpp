/// @file
/// Tests of src/membership/update_queue.h.
#include "membership/update_queue.h"

#include <doctest/doctest.h>

#include <vector>

namespace fernmoor {
namespace {

std::vector<uint32_t> takeUpTo(UpdateQueue& queue, size_t room, NodeId except, int64_t limit) {
  std::vector<uint32_t> taken;
  queue.take(
      [&](const PendingUpdate& update) {
        if (taken.size() == room) {
          return false;
        }
        taken.push_back(update.node.value());
        return true;
      },
      except, limit);
  return taken;
}

using Nodes = std::vector<uint32_t>;

}  // namespace

TEST_CASE("the least-sent updates go first, and leave after their last transmission") {
  UpdateQueue queue;
  queue.add(NodeId(1), false);
  queue.add(NodeId(2), false);
  queue.add(NodeId(3), false);
  CHECK(takeUpTo(queue, 2, NodeId(0), 2) == Nodes{1, 2});
  CHECK(takeUpTo(queue, 2, NodeId(0), 2) == Nodes{3, 1});
  CHECK(queue.size() == 2);
  CHECK(takeUpTo(queue, 9, NodeId(2), 2) == Nodes{3});
  CHECK(takeUpTo(queue, 9, NodeId(0), 2) == Nodes{2});
  CHECK(queue.empty());
}

TEST_CASE("news about a member starts afresh and keeps its identity in") {
  UpdateQueue queue;
  queue.add(NodeId(1), true);
  queue.add(NodeId(2), false);
  CHECK(takeUpTo(queue, 1, NodeId(0), 3) == Nodes{1});
  queue.add(NodeId(1), false);
  bool withIdentity = false;
  queue.take(
      [&](const PendingUpdate& update) {
        withIdentity = withIdentity || (update.node == NodeId(1) && update.withIdentity);
        return true;
      },
      NodeId(0), 3);
  CHECK(withIdentity);
  CHECK(queue.size() == 2);
  queue.remove(NodeId(1));
  CHECK(queue.size() == 1);
}

}  // namespace fernmoor
