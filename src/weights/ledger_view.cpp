#include "weights/move_ledger.h"

namespace fernmoor::weights {

bool LedgerView::take(const Ledger& ledger, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (ledger.revision <= ledger_.revision) {
    return false;
  }
  ledger_ = ledger;
  changedAt_ = now;
  return true;
}

Ledger LedgerView::ledger() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ledger_;
}

Time LedgerView::changedAt() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return changedAt_;
}

}  // namespace fernmoor::weights
