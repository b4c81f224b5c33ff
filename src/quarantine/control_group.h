/// @file
/// The control group of a part of prompts that is suspected to crash engines: requests without it
/// that were served meanwhile, and crashes without it. Where nothing else is served either, a part
/// that all requests share stands at every crash, whatever caused it, and its quarantine would
/// refuse everybody. Where most engines that crashed did not run it, something else ends them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <set>
#include <utility>
#include <vector>

#include "common/time.h"
#include "quarantine/crash_evidence.h"

namespace fernmoor::quarantine {

/// Not thread-safe.
class ControlGroup {
 public:
  /// Records a request that was served. One without shared parts is none of the group.
  void note(const std::vector<uint64_t>& parts, Time now) {
    if (parts.empty()) {
      return;
    }
    if (served_.size() >= kMaxServed) {
      served_.pop_front();
    }
    served_.emplace_back(now, parts);
  }
  /// Records that an engine crashed while it ran a request with these parts.
  void noteCrash(const std::vector<uint64_t>& parts, const CrashedRun& run) {
    if (parts.empty()) {
      return;
    }
    if (crashed_.size() >= kMaxCrashed) {
      crashed_.pop_front();
    }
    crashed_.emplace_back(run, parts);
  }
  /// @return the number of engines that crashed after the first run of the suspicion began, and are
  ///         not known to have run the part.
  size_t crashesWithout(const Suspicion& suspicion) const {
    const Time since = suspicion.since();
    std::set<uint64_t> engines;
    for (const auto& [run, parts] : crashed_) {
      if (run.endedAt > since) {
        engines.insert(run.incarnation);
      }
    }
    for (const auto& [run, parts] : crashed_) {
      if (std::find(parts.begin(), parts.end(), suspicion.fingerprint) != parts.end()) {
        engines.erase(run.incarnation);
      }
    }
    for (const CrashedRun& run : suspicion.runs) {
      engines.erase(run.incarnation);
    }
    return engines.size();
  }
  /// @return whether a request without this part was served after `since`.
  bool wasServedWithout(uint64_t part, Time since) const {
    return std::any_of(served_.begin(), served_.end(), [&](const auto& each) {
      return each.first > since &&
             std::find(each.second.begin(), each.second.end(), part) == each.second.end();
    });
  }

 private:
  /// The latest ones; at least one in 64 lacks a part that is not common to nearly all.
  static constexpr size_t kMaxServed = 64;

  /// More engines than crash within the time that a suspicion takes, with several runs each.
  static constexpr size_t kMaxCrashed = 256;

  std::deque<std::pair<Time, std::vector<uint64_t>>> served_;         ///< The oldest first.
  std::deque<std::pair<CrashedRun, std::vector<uint64_t>>> crashed_;  ///< The oldest first.
};

}  // namespace fernmoor::quarantine
