/// @file
/// Logs the memory use of this process as it grows towards the memory limit of its machine. A
/// process that exceeds the limit is killed without a log line, so the use is logged before.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace fernmoor::gateway {

/// Memory use by purpose.
struct MemoryUse {
  size_t residentBytes = 0;   ///< Of the whole process.
  size_t peerQueueBytes = 0;  ///< Messages queued for other nodes.
  size_t requests = 0;        ///< Requests in flight.
  size_t requestBytes = 0;    ///< Their headers and bodies, and answers buffered for them.
  size_t tableTextBytes = 0;  ///< The operators' table in the form sent to other nodes.
};

/// Used by one thread.
class MemoryWatch {
 public:
  /// @param limitBytes the memory limit of the process; 0: unknown, nothing is logged.
  explicit MemoryWatch(size_t limitBytes) : limitBytes_(limitBytes) {}

  /// Call several times a second. Logs a line each time the resident size reaches a higher tenth of
  /// the limit than ever before.
  void note(const MemoryUse& use);
  /// @return the highest resident size seen, in bytes.
  size_t peakBytes() const { return peakBytes_; }

 private:
  const size_t limitBytes_;
  size_t peakBytes_ = 0;
  size_t loggedTenths_ = 0;  ///< Tenths of the limit in the last line logged.
};

}  // namespace fernmoor::gateway
