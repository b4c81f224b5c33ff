/// @file
/// How long a restarted node looks for the highest version among its peers before it serves.
#pragma once

#include <optional>
#include <set>

#include "common/ids.h"
#include "common/knobs.h"
#include "common/time.h"

namespace fernmoor {

/// Bookkeeping of the questions after a start. Not thread-safe.
class StartupSearch {
 public:
  explicit StartupSearch(const Knobs& knobs) : knobs_(knobs) {}

  /// Marks the start; later calls change nothing.
  void begin(Time now);
  /// Takes a peer's own answer.
  void onReply(NodeId peer, TableVersion version);
  /// @return whether another round of questions is due; the next one is after a fetch's timeout.
  bool takeRound(Time now);
  /// @return how many peers to ask in a round.
  size_t wantedReplies(size_t peerCount) const;

  /// @return whether enough peers answered, or the time for it has passed.
  bool lookedAround(Time now, size_t peerCount) const;
  /// @return whether a node with this version in force may serve: it has a table, and none of the
  ///     peers that answered has a newer one; or that one can't be had.
  bool mayServe(Time now, size_t peerCount, TableVersion inForce) const;
  /// @return whether the platform should be asked for the whole table: no peer has one, or it
  ///     doesn't come.
  bool needsPlatform(Time now, size_t peerCount) const;

 private:
  Duration elapsed(Time now) const { return startedAt_ ? now - *startedAt_ : Duration(0); }

  Knobs knobs_;
  std::optional<Time> startedAt_;
  Time nextRound_;
  std::set<NodeId> replied_;
  TableVersion highest_;
};

}  // namespace fernmoor
