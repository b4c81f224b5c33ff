/// @file
/// Bounded log of the latest request records, indexed by request id. The oldest record is evicted
/// first.
#pragma once

#include <deque>
#include <optional>
#include <unordered_map>

#include "common/lock_order.h"
#include "relay/request_record.h"

namespace fernmoor {

/// Thread-safe.
class RequestLog {
 public:
  /// @param capacity maximum number of records.
  explicit RequestLog(size_t capacity) : capacity_(capacity) {}
  void add(RequestRecord record);
  std::optional<RequestRecord> find(const RequestId& request) const;

 private:
  const size_t capacity_;
  mutable RankedMutex mutex_{LockRank::kRequests};
  std::unordered_map<RequestId, RequestRecord> records_;
  std::deque<RequestId> order_;
};

}  // namespace fernmoor
