/// @file
/// Which versions of each model's weights the operators have named, and since when. A version is to
/// serve all requests within a bound from its acknowledgement; an older engine must not be sent
/// requests after that.
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
  Time namedBy;             ///< An instant not later than its acknowledgement was seen here.
  bool isTimeKnown = true;  ///< False: it lay there when this node started to look.
};

/// Thread-safe.
class WantedWeights {
 public:
  /// @param inForce time from a version's naming until it must serve all requests.
  explicit WantedWeights(Duration inForce) : inForce_(inForce) {}

  /// Notes a version. @param namedBy the last instant at which it was known not to be named, or
  /// nothing if that is unknown: moving engines to it is then overdue.
  /// @return whether the version is news.
  bool note(const std::string& model, uint64_t version, std::optional<Time> namedBy);

  /// @return the newest version, 0 if none was named.
  uint64_t newest(const std::string& model) const;
  /// @return by when an engine that holds `held` must hold a newer one; nothing if it may stay.
  std::optional<Time> deadlineFor(const std::string& model, uint64_t held) const;
  /// @return the newest version whose bound has passed: what begins on an older one breaks it.
  uint64_t dueVersion(const std::string& model, Time now) const;
  /// @return the lowest version that requests may still be sent to at `now`, with a margin for the
  ///         time until they begin.
  uint64_t lowestServing(const std::string& model, Time now) const;
  /// @return the newest version of which nobody here knows since when it is named; 0: none. Whether
  ///         older engines may still be sent requests is uncertain.
  uint64_t uncertainVersion(const std::string& model) const;

 private:
  Duration inForce_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<NamedVersion>> named_;  ///< By rising version.
};

}  // namespace fernmoor
