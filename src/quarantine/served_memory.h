/// @file
/// Remembers when requests, and parts of prompts, were last served, in bounded memory: two
/// generations, of which the older is dropped when the newer is full.
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
    if (newer_.size() >= kGenerationSize) {
      older_.swap(newer_);
      newer_.clear();
    }
    newer_[fingerprint] = now;
  }
  /// @return whether the request is known to have been served after `since`.
  bool wasServedAfter(uint64_t fingerprint, Time since) const {
    return isAfter(newer_, fingerprint, since) || isAfter(older_, fingerprint, since);
  }

 private:
  using Generation = std::unordered_map<uint64_t, Time>;
  /// Entries per generation. At the target load a node serves 22 requests per second, with two
  /// shared parts each, so a generation spans at least 62 s; two take 0.4 MB.
  static constexpr size_t kGenerationSize = 4096;

  static bool isAfter(const Generation& generation, uint64_t fingerprint, Time since) {
    const auto found = generation.find(fingerprint);
    return found != generation.end() && found->second > since;
  }

  Generation newer_;
  Generation older_;
};

}  // namespace fernmoor::quarantine
