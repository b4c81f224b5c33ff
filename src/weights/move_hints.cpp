#include "weights/move_hints.h"

#include <algorithm>
#include <map>

namespace fernmoor::weights {

namespace {

/// A move takes well under this; older ones tell nothing.
constexpr Duration kHintMemory{1000000};
/// Ages are told in whole milliseconds and read a little later each time; a move whose time differs
/// by more is another one.
constexpr Duration kSameMove{200000};

}  // namespace

const std::vector<MoveHint>& MoveHints::take(const Ledger& ledger, Time now) {
  if (ledger.revision <= revision_) {
    return hints_;
  }
  revision_ = ledger.revision;
  std::map<std::string, Time> newest;
  for (const LedgerMove& move : movesSince(ledger, now - kHintMemory)) {
    Time& at = newest[move.engine];
    at = std::max(at, move.at);
  }
  std::vector<MoveHint> hints;
  for (const auto& entry : newest) {
    const auto known = std::find_if(hints_.begin(), hints_.end(), [&](const MoveHint& hint) {
      return hint.engine == entry.first && entry.second - hint.at < kSameMove;
    });
    hints.push_back(known != hints_.end() ? *known
                                          : MoveHint{entry.first, ledger.revision, entry.second});
  }
  hints_ = std::move(hints);
  return hints_;
}

}  // namespace fernmoor::weights
