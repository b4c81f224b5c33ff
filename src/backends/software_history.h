/// @file
/// Which versions of their software the back ends of each pool run, or ran until lately. Proves
/// that a stream of a pool can have begun at one version only: that no other was listed since
/// before it could begin.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/time.h"

namespace fernmoor {

struct BackendListing;

/// Not thread-safe.
class SoftwareHistory {
 public:
  /// The list of back ends was received as a whole; only the first call counts.
  void noteWhole(Time now);
  /// @return since when a back end of the pool has been listed with this version.
  Time add(const BackendListing& listing, Time now);
  void remove(const BackendListing& listing);
  /// Dates the versions that are no longer listed, and forgets those gone for long.
  void age(Time now);
  /// @return the only version that any back end of the pool ran since that time; nothing if there
  ///         were others, if one is not known, or if the list was not known all the while.
  std::optional<std::string> sole(const std::string& pool, Time since) const;

 private:
  /// A version that back ends of one pool run; nothing: unknown.
  using Software = std::optional<std::string>;
  struct Use {
    size_t listed = 0;           ///< Back ends that run it now.
    Time since;                  ///< When the first of them was listed.
    std::optional<Time> goneAt;  ///< When age() first found none; nothing: some, or not dated yet.
  };

  std::map<std::string, std::map<Software, Use>> pools_;
  std::optional<Time> wholeSince_;
};

}  // namespace fernmoor
