/// @file
/// Rendezvous (highest random weight) hashing: every node computes the same order of candidates
/// for a key without asking anybody, and a change of one candidate moves only its own keys.
/// D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", 1998.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace fernmoor {

/// @return the weight of a candidate (given by its hash) for a key (given by its hash).
inline uint64_t rendezvousWeight(uint64_t key, uint64_t candidate) {
  const uint64_t pair[2] = {key, candidate};
  return XXH3_64bits(pair, sizeof(pair));
}

/// @return a stable 64-bit hash of a name, equal on every machine.
inline uint64_t stableHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

/// Orders candidates by falling weight for the key and keeps the first few.
/// @param candidateHash function from a candidate to its stable 64-bit hash.
/// @return at most `count` candidates, the best first. Hashes each candidate once.
template <class Candidate, class HashFunction>
std::vector<Candidate> rendezvousTop(uint64_t key, std::vector<Candidate> candidates, size_t count,
                                     HashFunction candidateHash) {
  struct Weighted {
    uint64_t weight;
    size_t index;
  };
  std::vector<Weighted> weighted;
  weighted.reserve(candidates.size());
  for (size_t index = 0; index < candidates.size(); ++index) {
    weighted.push_back(Weighted{rendezvousWeight(key, candidateHash(candidates[index])), index});
  }
  const size_t kept = std::min(count, candidates.size());
  std::partial_sort(weighted.begin(), weighted.begin() + static_cast<ptrdiff_t>(kept),
                    weighted.end(),
                    [](const Weighted& a, const Weighted& b) { return a.weight > b.weight; });
  std::vector<Candidate> top;
  top.reserve(kept);
  for (size_t rank = 0; rank < kept; ++rank) {
    top.push_back(std::move(candidates[weighted[rank].index]));
  }
  return top;
}

}  // namespace fernmoor
