/// @file
/// The desired versions of each model's weights, as named by the operators, and the deadline of
/// each. All requests must be served by a version, or a newer one, within a bound after the version
/// was acknowledged. A request that begins on an older version after that violates the bound, even
/// if the engine could not be moved, so nodes send no requests there. If no node knows when a
/// version was named, its deadline is the time from which a newly started node must keep the
/// bounds.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace fernmoor {

/// A desired version.
struct NamedVersion {
  uint64_t version = 0;
  /// The latest known time at which it had not been named yet; nothing: it already existed at the
  /// first read of this node, and no other node has reported a time.
  std::optional<Time> notBefore;
  Time dueAt;  ///< From this time no request may begin on an older version.
};

/// A version whose bound may not have ended on all nodes, as announced to other nodes.
struct RecentVersion {
  std::string model;
  uint64_t version = 0;
  Duration age{};  ///< Time since it was last known not to be named yet.
};

struct WeightBounds {
  Duration inForce{8000000};  ///< From a version's acknowledgement until it serves all requests.
  Time heldFrom;              ///< From when this node must keep the bound after its start.
};

/// Thread-safe.
class DesiredWeights {
 public:
  explicit DesiredWeights(WeightBounds bounds) : bounds_(bounds) {}

  /// Records a version that this node found. Has no effect on a known version, which was named
  /// earlier.
  /// @param notBefore a time at which it had not been named yet; nothing if none is known.
  void note(const std::string& model, uint64_t version, std::optional<Time> notBefore, Time now);
  /// Records a time, reported by another node, at which a version had not been named yet. All such
  /// times are lower bounds, so the latest one known to any node is the most accurate.
  void learnSince(const std::string& model, uint64_t version, Time notBefore, Time now);
  /// Records that the operators' store was unavailable at `at`. Engines can't be moved without the
  /// store, so bounds that had not ended by then are restarted at `at`.
  void noteStoreUnavailable(Time at);

  /// @return the newest version; 0 if none was named.
  uint64_t newest(const std::string& model) const;
  /// @return the deadline by which an engine with version `held` should have a newer one, without
  ///         extensions for store outages; nothing if there is no newer version.
  std::optional<Time> deadlineFor(const std::string& model, uint64_t held) const;
  /// @return the time from which no request may begin on an engine with version `held`; nothing if
  ///         there is no newer version.
  std::optional<Time> boundEnd(const std::string& model, uint64_t held) const;
  /// @return the newest version whose bound has ended: a request that begins on an older version
  ///         violates it.
  uint64_t dueVersion(const std::string& model, Time now) const;
  /// @return the lowest version to which requests may be sent at `now`, including a margin for the
  ///         time until they begin.
  uint64_t lowestServing(const std::string& model, Time now) const;
  /// @return recently named versions, for nodes that joined later.
  std::vector<RecentVersion> recentVersions(Time now) const;

 private:
  /// Records the version if it is unknown, or if another node reported it (`isFromPeer`) with a
  /// more accurate time. Call with the lock held.
  void noteLocked(const std::string& model, const NamedVersion& named, bool isFromPeer, Time now);
  /// @return the end of a version's bound without extensions for store outages.
  Time unextendedDueAt(std::optional<Time> notBefore) const;
  /// @return the end of a version's bound, extended if the store was unavailable. Call with the
  ///         lock held.
  Time dueAtOf(std::optional<Time> notBefore) const;

  WeightBounds bounds_;
  mutable std::mutex mutex_;
  std::optional<Time> storeUnavailableAt_;                  ///< The latest known time.
  std::map<std::string, std::vector<NamedVersion>> named_;  ///< Sorted by version.
};

}  // namespace fernmoor
