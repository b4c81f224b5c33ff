/// @file
/// Cache of recent probe answers from engines' owners: which sampled blocks an engine held or
/// lacked.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "common/knobs.h"
#include "common/time.h"
#include "engine/engine_life.h"
#include "prefix/chain_sample.h"

namespace fernmoor {

/// Not thread-safe; memory is bounded by the knob probeFacts.
class ProbeFacts {
 public:
  explicit ProbeFacts(const Knobs& knobs);

  /// Records that the first `matchedHashes` hashes of the sample are held and the next is not.
  void record(const EngineLife& life, const ChainSample& sample, size_t matchedHashes, Time now);
  /// @return matched hashes of the sample as far as fresh answers cover it; none if the unknown
  /// part is longer than probeReuseSlack of the prompt.
  std::optional<size_t> matchedHashes(const EngineLife& life, const ChainSample& sample,
                                      Time now) const;
  size_t size() const { return facts_.size(); }

 private:
  struct Fact {
    bool held = false;
    Time at;
  };
  struct Expiry {
    Time at;
    uint64_t key = 0;
  };

  void add(uint64_t key, bool held, Time now);
  void dropOld(Time now);

  Duration reuse_;
  double slack_;
  size_t limit_;
  std::unordered_map<uint64_t, Fact> facts_;
  std::deque<Expiry> order_;  ///< Oldest first; a refreshed fact has two entries.
};

}  // namespace fernmoor
