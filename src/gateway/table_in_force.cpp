#include "gateway/table_in_force.h"

#include <algorithm>

namespace fernmoor::gateway {

bool TableInForce::take(TrafficTablePtr table, Time askedAt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (view_.table != nullptr && table->version < view_.table->version) {
    return false;
  }
  const bool replaces = view_.table == nullptr || table->version > view_.table->version;
  if (replaces) {
    view_.confirmedAt = view_.table == nullptr ? askedAt : std::max(view_.confirmedAt, askedAt);
    view_.table = std::move(table);
    return true;
  }
  view_.confirmedAt = std::max(view_.confirmedAt, askedAt);
  return false;
}

void TableInForce::confirm(uint64_t version, Time askedAt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (view_.table != nullptr && view_.table->version == version) {
    view_.confirmedAt = std::max(view_.confirmedAt, askedAt);
  }
}

TableView TableInForce::view() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return view_;
}

}  // namespace fernmoor::gateway
