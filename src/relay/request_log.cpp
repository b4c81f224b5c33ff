#include "relay/request_log.h"

#include <utility>

namespace fernmoor {

void RequestLog::add(RequestRecord record) {
  const RankedLock lock(mutex_);
  const RequestId id = record.request;
  const bool isNew = records_.insert_or_assign(id, std::move(record)).second;
  if (!isNew) {
    return;
  }
  order_.push_back(id);
  if (order_.size() > capacity_) {
    records_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<RequestRecord> RequestLog::find(const RequestId& request) const {
  const RankedLock lock(mutex_);
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace fernmoor
