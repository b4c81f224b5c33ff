#include "membership/update_queue.h"

#include <vector>

namespace fernmoor {

void UpdateQueue::add(NodeId node, bool withIdentity) {
  PendingUpdate update{node, withIdentity};
  const auto known = places_.find(node);
  if (known != places_.end()) {
    update.withIdentity = update.withIdentity || pending_.at(known->second).withIdentity;
    pending_.erase(known->second);
  }
  put(Place{0, nextOrder_++}, update);
}

void UpdateQueue::remove(NodeId node) {
  const auto known = places_.find(node);
  if (known == places_.end()) {
    return;
  }
  pending_.erase(known->second);
  places_.erase(known);
}

void UpdateQueue::take(const std::function<bool(const PendingUpdate&)>& fits, NodeId except,
                       int64_t limit) {
  std::vector<Place> taken;
  for (const auto& entry : pending_) {
    if (entry.second.node == except) {
      continue;
    }
    if (!fits(entry.second)) {
      break;
    }
    taken.push_back(entry.first);
  }
  for (const Place& place : taken) {
    const PendingUpdate update = pending_.at(place);
    remove(update.node);
    if (place.timesSent + 1 < limit) {
      put(Place{place.timesSent + 1, place.order}, update);
    }
  }
}

void UpdateQueue::put(const Place& place, const PendingUpdate& update) {
  pending_[place] = update;
  places_[update.node] = place;
}

}  // namespace fernmoor
