#include "table/startup_search.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// After this many waiting times a node serves what it has, though a peer named a newer version:
/// that peer is gone and its version with it.
constexpr int kWaitsForNamedVersion = 3;

}  // namespace

void StartupSearch::begin(Time now) {
  if (!startedAt_) {
    startedAt_ = now;
  }
}

void StartupSearch::onReply(NodeId peer, TableVersion version) {
  replied_.insert(peer);
  highest_ = std::max(highest_, version);
}

bool StartupSearch::takeRound(Time now) {
  if (now < nextRound_) {
    return false;
  }
  nextRound_ = now + knobs_.tableFetchTimeout;
  return true;
}

size_t StartupSearch::wantedReplies(size_t peerCount) const {
  return std::min(static_cast<size_t>(knobs_.tableStartupPeers), peerCount);
}

bool StartupSearch::lookedAround(Time now, size_t peerCount) const {
  return startedAt_ &&
         (replied_.size() >= wantedReplies(peerCount) || elapsed(now) >= knobs_.tableStartupWait);
}

bool StartupSearch::mayServe(Time now, size_t peerCount, TableVersion inForce) const {
  if (inForce == TableVersion() || !lookedAround(now, peerCount)) {
    return false;
  }
  return inForce >= highest_ || elapsed(now) >= kWaitsForNamedVersion * knobs_.tableStartupWait;
}

bool StartupSearch::needsPlatform(Time now, size_t peerCount) const {
  if (!lookedAround(now, peerCount)) {
    return false;
  }
  return highest_ == TableVersion() || elapsed(now) >= knobs_.tableStartupWait;
}

}  // namespace fernmoor
