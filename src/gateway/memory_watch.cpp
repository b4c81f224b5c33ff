#include "gateway/memory_watch.h"

#include <algorithm>
#include <string>

#include "common/log.h"

namespace fernmoor::gateway {

namespace {

constexpr size_t kTenthsOfLimit = 10;
constexpr size_t kKilobyte = 1024;

std::string kilobytes(size_t bytes) {
  return std::to_string(bytes / kKilobyte) + " KB";
}

}  // namespace

void MemoryWatch::note(const MemoryUse& use) {
  peakBytes_ = std::max(peakBytes_, use.residentBytes);
  if (limitBytes_ == 0) {
    return;
  }
  const size_t tenths = use.residentBytes * kTenthsOfLimit / limitBytes_;
  if (tenths <= loggedTenths_) {
    return;
  }
  loggedTenths_ = tenths;
  logInfo("memory: " + kilobytes(use.residentBytes) + " of " + kilobytes(limitBytes_) +
          " in use; " + kilobytes(use.peerQueueBytes) + " wait for other nodes, " +
          std::to_string(use.requests) + " requests under way hold " + kilobytes(use.requestBytes) +
          ", the table has " + kilobytes(use.tableTextBytes));
}

}  // namespace fernmoor::gateway
