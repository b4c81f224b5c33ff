/// @file
/// Load shedding near the limit of memory: a process over its limit is killed and cuts all that it
/// answers, while one that is near it can still refuse truthfully what it has not begun.
#pragma once

#include <atomic>
#include <cstddef>

#include "common/time.h"

namespace fernmoor::gateway {

/// How full the memory is, for taking requests.
enum class MemoryLevel {
  kBelow,  ///< Below the low-water mark.
  kBetween,
  kAbove,  ///< At the high-water mark or above it.
};

/// Whether new requests are refused, with hysteresis. One thread notes, any may ask.
class LoadShedding {
 public:
  /// @param limitBytes what the machine allows the process; 0: unknown, nothing is ever refused.
  explicit LoadShedding(size_t limitBytes) : limitBytes_(limitBytes) {}

  MemoryLevel level(size_t bytes) const;
  /// Begins to refuse at the high-water mark and ends below the low one.
  /// @param bytes held now, with what has arrived and is not read.
  /// @return whether that changed.
  bool note(size_t bytes);
  bool isShedding() const { return isShedding_; }

 private:
  const size_t limitBytes_;
  std::atomic<bool> isShedding_{false};
};

/// @return bytes that count toward the limit and that the resident size does not show: what has
///         arrived on the sockets of requests under way and is not read yet.
size_t unreadReserve(size_t requests);

/// @return how often to look at the memory, so that a link that carries nothing but what fills it
///         takes several looks from the high-water mark to the limit.
/// @param linkMegabits per second; 0: unknown.
Duration memoryLookInterval(size_t limitBytes, double linkMegabits);

}  // namespace fernmoor::gateway
