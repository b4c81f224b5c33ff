#include "weights/move_hints.h"

#include <algorithm>
#include <map>

namespace fernmoor::weights {

namespace {

/// Moves take well under 1 s, so an older entry says nothing about whether its engine is busy.
constexpr Duration kHintLifetime{1000000};
/// Ledger entries carry ages in whole milliseconds, and each read converts them to a slightly later
/// time. A difference of 200 ms or more means that it is another move.
constexpr Duration kSameMoveTolerance{200000};

}  // namespace

const std::vector<MoveHint>& MoveHints::take(const Ledger& ledger, Time now) {
  if (ledger.revision <= revision_) {
    return hints_;
  }
  revision_ = ledger.revision;
  std::map<std::string, Time> newest;
  for (const LedgerMove& move : movesSince(ledger, now - kHintLifetime)) {
    Time& at = newest[move.engine];
    at = std::max(at, move.at);
  }
  std::vector<MoveHint> hints;
  for (const auto& entry : newest) {
    const auto known = std::find_if(hints_.begin(), hints_.end(), [&](const MoveHint& hint) {
      return hint.engine == entry.first && entry.second - hint.at < kSameMoveTolerance;
    });
    hints.push_back(known != hints_.end() ? *known
                                          : MoveHint{entry.first, ledger.revision, entry.second});
  }
  hints_ = std::move(hints);
  return hints_;
}

}  // namespace fernmoor::weights
