/// @file
/// Builds messages with the changes that a copy of the mirror is missing. A long message is cached,
/// so that it is built once for all nodes that are missing the same changes.
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
  proto::MirrorChanges changes;  ///< Without the time of the last confirmed read.
  size_t bytes = 0;              ///< Serialized size of `changes`.
};

using MirrorContentPtr = std::shared_ptr<const MirrorContentBlock>;

/// Thread-safe.
class MirrorContent {
 public:
  /// @param mirror must outlive this object.
  explicit MirrorContent(const StateMirror& mirror) : mirror_(mirror) {}

  /// @return whether the changes after revision `since` fit in a datagram, so that they can be sent
  ///         without being asked for.
  bool fitsInDatagram(MirrorKind kind, uint64_t since) const;
  /// @return the changes after revision `since`; null if there are none. Slow if there are many, as
  ///         it compresses them.
  MirrorContentPtr since(MirrorKind kind, uint64_t since);

 private:
  const StateMirror& mirror_;
  std::mutex mutex_;
  std::deque<MirrorContentPtr> cachedBlocks_;  ///< Long blocks, the most recently built one first.
};

}  // namespace fernmoor::peers
