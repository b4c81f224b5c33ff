#include <algorithm>
#include <iterator>

#include "weights/move_ledger.h"

namespace fernmoor::weights {

std::vector<LedgerMove> movesSince(const Ledger& ledger, Time earliest) {
  std::vector<LedgerMove> moves;
  std::copy_if(ledger.moves.begin(), ledger.moves.end(), std::back_inserter(moves),
               [&](const LedgerMove& move) { return move.at >= earliest; });
  return moves;
}

bool LedgerView::take(const Ledger& ledger, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (ledger.revision <= seen_.ledger.revision) {
    return false;
  }
  seen_ = ObservedLedger{ledger, now};
  return true;
}

std::string LedgerView::holder() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return seen_.ledger.holder;
}

ObservedLedger LedgerView::seen() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return seen_;
}

}  // namespace fernmoor::weights
