/// @file
/// When requests were served lately, in bounded memory: two generations, the older one dropped when
/// the newer is full.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/time.h"

namespace fernmoor::quarantine {

/// Not thread-safe.
class ServedMemory {
 public:
  void note(uint64_t fingerprint, Time now) {
    if (newer_.size() >= kGeneration) {
      older_.swap(newer_);
      newer_.clear();
    }
    newer_[fingerprint] = now;
  }
  /// @return whether it is known to have been served later than that.
  bool wasServedAfter(uint64_t fingerprint, Time since) const {
    return isAfter(newer_, fingerprint, since) || isAfter(older_, fingerprint, since);
  }

 private:
  using Generation = std::unordered_map<uint64_t, Time>;
  /// A node of the target serves 22 requests a second, so each generation spans 46 s at least; two
  /// take 0.1 MB.
  static constexpr size_t kGeneration = 1024;

  static bool isAfter(const Generation& generation, uint64_t fingerprint, Time since) {
    const auto found = generation.find(fingerprint);
    return found != generation.end() && found->second > since;
  }

  Generation newer_;
  Generation older_;
};

}  // namespace fernmoor::quarantine
