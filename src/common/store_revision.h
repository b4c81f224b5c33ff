/// @file
/// Revisions of the operators' store as numbers that never go back. The store counts its changes;
/// after it came back from an old copy of itself it counts on from there, and says so by its era,
/// which rises by one each time. Era and count together are one number here, so that all that
/// orders by revisions, copies, fences and dates, orders by the era first.
#pragma once

#include <cstdint>

namespace fernmoor {

/// Bits of the count; a revision has 53 bits at most, which JSON's numbers hold exactly.
inline constexpr unsigned kCountBits = 40;
inline constexpr uint64_t kMostCount = (uint64_t{1} << kCountBits) - 1;
inline constexpr uint64_t kMostEra = (uint64_t{1} << 13U) - 1;

/// @param era, count at most kMostEra and kMostCount.
inline constexpr uint64_t storeRevision(uint64_t era, uint64_t count) {
  return era << kCountBits | count;
}

inline constexpr uint64_t eraOf(uint64_t revision) {
  return revision >> kCountBits;
}

/// @return the revision as the store counts it in that era.
inline constexpr uint64_t countOf(uint64_t revision) {
  return revision & kMostCount;
}

}  // namespace fernmoor
