/// @file
/// Which versions of each model's weights the operators have named, and since when. A version is to
/// serve all requests within a bound from its acknowledgement; what an engine with an older one
/// begins after that breaks the bound, whether or not the engine could be moved. So a node sends
/// nothing there, and knows for every version when its bound ends: where nobody can tell, from the
/// time on at which a node that was just started is held to bounds.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"

namespace fernmoor {

/// One named version.
struct NamedVersion {
  uint64_t version = 0;
  /// An instant at which it was not named yet, the latest that is known; nothing: it lay there when
  /// this node started to look, and no other node has told since when.
  std::optional<Time> notBefore;
  Time dueAt;  ///< From then on no request may begin on an older one.
};

/// A version whose bound may not have passed everywhere, as other nodes are told of it.
struct YoungVersion {
  std::string model;
  uint64_t version = 0;
  Duration age{};  ///< Since an instant at which it was not named yet.
};

struct WeightBounds {
  Duration inForce{8000000};  ///< From a version's acknowledgement until it serves all requests.
  Time heldFrom;              ///< When this node is held to the bound first, after its start.
};

/// Thread-safe.
class WantedWeights {
 public:
  explicit WantedWeights(WeightBounds bounds) : bounds_(bounds) {}

  /// Notes a version that was found. Of one that is known here it tells nothing: what is found
  /// again was not named just now.
  /// @param notBefore an instant at which it was not named yet, or nothing if none is known.
  void note(const std::string& model, uint64_t version, std::optional<Time> notBefore, Time now);
  /// Notes an instant at which a version was not named yet, as another node knows it. The latest of
  /// all that nodes know is the nearest to the truth, and none is beyond it.
  void learnSince(const std::string& model, uint64_t version, Time notBefore, Time now);
  /// Notes that the operators' store served nobody at `at`. Engines can't be moved without it, so
  /// the bounds that had not passed by then count from there.
  void noteStoreAway(Time at);

  /// @return the newest version, 0 if none was named.
  uint64_t newest(const std::string& model) const;
  /// @return by when an engine that holds `held` should hold a newer one; nothing if it may stay.
  std::optional<Time> deadlineFor(const std::string& model, uint64_t held) const;
  /// @return when the bound ends within which requests may begin on an engine that holds `held`;
  ///         nothing while nothing newer is named.
  std::optional<Time> boundEnd(const std::string& model, uint64_t held) const;
  /// @return the newest version whose bound has passed: what begins on an older one breaks it.
  uint64_t dueVersion(const std::string& model, Time now) const;
  /// @return the lowest version that requests may still be sent to at `now`, with a margin for the
  ///         time until they begin.
  uint64_t lowestServing(const std::string& model, Time now) const;
  /// @return versions that were named lately, for nodes that were not there then.
  std::vector<YoungVersion> youngVersions(Time now) const;

 private:
  /// Call with the lock held. Notes the version where it is not known yet, or where `isTold` tells
  /// more of its time.
  void noteLocked(const std::string& model, const NamedVersion& named, bool isTold, Time now);
  /// @return when the bound of a version ends if the store is not away meanwhile.
  Time plainDueAt(std::optional<Time> notBefore) const;
  /// Call with the lock held.
  Time dueAtOf(std::optional<Time> notBefore) const;

  WeightBounds bounds_;
  mutable std::mutex mutex_;
  std::optional<Time> storeAwayAt_;                         ///< The newest instant.
  std::map<std::string, std::vector<NamedVersion>> named_;  ///< By rising version.
};

}  // namespace fernmoor
