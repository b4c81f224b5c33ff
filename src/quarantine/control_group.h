/// @file
/// The control group of a part of prompts that is suspected to crash engines: requests without it
/// that were served meanwhile. Where nothing else is served either, a part that all requests share
/// stands at every crash, whatever caused it, and its quarantine would refuse everybody.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "common/time.h"

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

  std::deque<std::pair<Time, std::vector<uint64_t>>> served_;  ///< The oldest first.
};

}  // namespace fernmoor::quarantine
