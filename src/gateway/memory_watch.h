/// @file
/// Tells in the log what this process holds while its memory grows towards the limit of its
/// machine. A process that goes over the limit is killed without a word, so it speaks before.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace fernmoor::gateway {

/// What may have taken the memory.
struct MemoryUse {
  size_t residentBytes = 0;   ///< Of the whole process.
  size_t peerQueueBytes = 0;  ///< Messages that wait to be sent to other nodes.
  size_t requests = 0;        ///< Under way.
  size_t requestBytes = 0;    ///< Of their headers and bodies, and of answers held for them.
  size_t tableTextBytes = 0;  ///< Of the operators' table as it is passed on.
};

/// Used by one thread.
class MemoryWatch {
 public:
  /// @param limitBytes what the machine allows the process; 0: unknown, nothing is told.
  explicit MemoryWatch(size_t limitBytes) : limitBytes_(limitBytes) {}

  /// Called several times a second. Writes a line each time the process holds a tenth of the limit
  /// more than it ever did.
  void note(const MemoryUse& use);
  /// Most that the process was seen to hold, in bytes.
  size_t peakBytes() const { return peakBytes_; }

 private:
  const size_t limitBytes_;
  size_t peakBytes_ = 0;
  size_t toldTenths_ = 0;  ///< Tenths of the limit that the newest line told.
};

}  // namespace fernmoor::gateway
