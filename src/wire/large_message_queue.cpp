#include "wire/large_message_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fernmoor {

namespace {

/// Bytes; a link of 10 Mbit/s carries so many in 13 ms, so that what is this short holds no long
/// message up.
constexpr size_t kShortMessage = 16384;

}  // namespace

LargeMessageQueue::Lane& LargeMessageQueue::laneOf(const LargeMessage& message) {
  return lanes_[message.bytes.size() <= kShortMessage ? 0 : 1];
}

size_t LargeMessageQueue::bytesTo(NodeId receiver) const {
  size_t bytes = 0;
  for (const Lane& lane : lanes_) {
    const auto backlog = lane.backlogs.find(receiver);
    bytes += backlog == lane.backlogs.end() ? 0 : backlog->second.bytes;
  }
  return bytes;
}

LargeMessage LargeMessageQueue::takeOldest(Lane& lane,
                                           std::map<NodeId, Backlog>::iterator backlog) {
  LargeMessage message = std::move(backlog->second.messages.front());
  backlog->second.messages.pop_front();
  backlog->second.bytes -= message.bytes.size();
  bytes_ -= message.bytes.size();
  if (backlog->second.messages.empty()) {
    lane.backlogs.erase(backlog);
  }
  return message;
}

void LargeMessageQueue::dropFromLongest() {
  Lane* lane = nullptr;
  std::map<NodeId, Backlog>::iterator longest;
  for (Lane& each : lanes_) {
    for (auto backlog = each.backlogs.begin(); backlog != each.backlogs.end(); ++backlog) {
      if (lane == nullptr || backlog->second.bytes > longest->second.bytes) {
        lane = &each;
        longest = backlog;
      }
    }
  }
  assert(lane != nullptr && "bytes wait, so some receiver has a backlog");
  takeOldest(*lane, longest);
}

size_t LargeMessageQueue::push(LargeMessage message) {
  if (message.bytes.size() > mostBytes_) {
    return 1;
  }
  size_t dropped = 0;
  while (bytes_ + message.bytes.size() > mostBytes_) {
    dropFromLongest();
    ++dropped;
  }
  bytes_ += message.bytes.size();
  Backlog& backlog = laneOf(message).backlogs[message.to];
  backlog.bytes += message.bytes.size();
  backlog.messages.push_back(std::move(message));
  return dropped;
}

std::optional<LargeMessage> LargeMessageQueue::popFrom(Lane& lane) {
  if (lane.backlogs.empty()) {
    return std::nullopt;
  }
  auto next = lane.backlogs.upper_bound(lane.lastServed);
  if (next == lane.backlogs.end()) {
    next = lane.backlogs.begin();
  }
  lane.lastServed = next->first;
  return takeOldest(lane, next);
}

std::optional<LargeMessage> LargeMessageQueue::pop() {
  for (Lane& lane : lanes_) {
    if (std::optional<LargeMessage> message = popFrom(lane)) {
      return message;
    }
  }
  return std::nullopt;
}

size_t LargeMessageQueue::dropFrom(Lane& lane, NodeId receiver) {
  const auto backlog = lane.backlogs.find(receiver);
  if (backlog == lane.backlogs.end()) {
    return 0;
  }
  const size_t dropped = backlog->second.messages.size();
  bytes_ -= backlog->second.bytes;
  lane.backlogs.erase(backlog);
  return dropped;
}

size_t LargeMessageQueue::dropLongTo(NodeId receiver) {
  return dropFrom(lanes_.back(), receiver);
}

size_t LargeMessageQueue::dropAllTo(NodeId receiver) {
  size_t dropped = 0;
  for (Lane& lane : lanes_) {
    dropped += dropFrom(lane, receiver);
  }
  return dropped;
}

}  // namespace fernmoor
