/// @file
/// What a copy of the mirror lacks, as a message: made once for all nodes that lack the same.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>

#include "mirror.pb.h"
#include "peers/state_mirror.h"

namespace fernmoor::peers {

/// Changes of one kind from one revision to another.
struct MirrorContentBlock {
  MirrorKind kind = MirrorKind::kRows;
  proto::MirrorChanges changes;  ///< Without a proof.
  size_t bytes = 0;              ///< Of `changes` as a message.
};

using MirrorContentPtr = std::shared_ptr<const MirrorContentBlock>;

/// Thread-safe.
class MirrorContent {
 public:
  /// @param mirror outlives this.
  explicit MirrorContent(const StateMirror& mirror) : mirror_(mirror) {}

  /// @return whether what a copy at `since` lacks is short enough to be told unasked, in a
  /// datagram.
  bool isShort(MirrorKind kind, uint64_t since) const;
  /// @return what a copy at `since` lacks; null if it is up to date. Takes long where it is long.
  MirrorContentPtr since(MirrorKind kind, uint64_t since);

 private:
  const StateMirror& mirror_;
  std::mutex mutex_;
  std::deque<MirrorContentPtr> kept_;  ///< Long blocks that were asked for last, newest in front.
};

}  // namespace fernmoor::peers
