#include "gateway/peer_path.h"

namespace fernmoor::gateway {

namespace {

/// Other nodes learn within about this time that a node reaches no engine (1 s).
constexpr Duration kAvoidance{1000000};

}  // namespace

std::optional<PeerNode> PeerPath::choose(const std::set<NodeId>& tried, Time now) {
  const std::vector<PeerNode> others = nodes_.others();
  const std::lock_guard<std::mutex> lock(mutex_);
  std::set<NodeId> leftOut = tried;
  for (auto avoided = avoidedUntil_.begin(); avoided != avoidedUntil_.end();) {
    if (now >= avoided->second) {
      avoided = avoidedUntil_.erase(avoided);
      continue;
    }
    leftOut.insert(avoided->first);
    ++avoided;
  }
  return choosePeer(others, zone_, leftOut, random_);
}

void PeerPath::avoid(NodeId node, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  avoidedUntil_[node] = now + kAvoidance;
}

}  // namespace fernmoor::gateway
