#include "membership/update_queue.h"

#include <algorithm>

namespace fernmoor {

void UpdateQueue::add(NodeId node, bool withIdentity) {
  Entry& entry = entries_[node];
  entry.timesSent = 0;
  entry.order = nextOrder_++;
  entry.withIdentity = entry.withIdentity || withIdentity;
}

std::vector<PendingUpdate> UpdateQueue::inOrder() const {
  struct Candidate {
    NodeId node;
    Entry entry;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(entries_.size());
  for (const auto& entry : entries_) {
    candidates.push_back(Candidate{entry.first, entry.second});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.entry.timesSent != b.entry.timesSent ? a.entry.timesSent < b.entry.timesSent
                                                  : a.entry.order < b.entry.order;
  });
  std::vector<PendingUpdate> ordered;
  ordered.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    ordered.push_back(PendingUpdate{candidate.node, candidate.entry.withIdentity});
  }
  return ordered;
}

void UpdateQueue::noteSent(NodeId node, int64_t limit) {
  const auto found = entries_.find(node);
  if (found == entries_.end()) {
    return;
  }
  if (++found->second.timesSent >= limit) {
    entries_.erase(found);
  }
}

}  // namespace fernmoor
