/// @file
/// Tests of src/weights/move_hints.h: each move is forwarded once, while it is recent.
#include "weights/move_hints.h"

#include <doctest/doctest.h>

namespace fernmoor::weights {

namespace {

constexpr Time kStart{std::chrono::seconds(100)};

Ledger ledgerOf(uint64_t revision, const std::vector<LedgerMove>& moves) {
  Ledger ledger;
  ledger.revision = revision;
  ledger.moves = moves;
  return ledger;
}

LedgerMove moveOf(const std::string& engine, Time at) {
  return LedgerMove{engine, "m", 2, "node", at};
}

size_t countAtRevision(const std::vector<MoveHint>& hints, uint64_t revision) {
  size_t count = 0;
  for (const MoveHint& hint : hints) {
    count += hint.revision == revision ? 1 : 0;
  }
  return count;
}

}  // namespace

TEST_CASE("only the new moves of a growing ledger have its revision") {
  MoveHints hints;
  std::vector<LedgerMove> moves;
  for (uint64_t write = 1; write <= 8; ++write) {
    const Time now = kStart + std::chrono::milliseconds(100) * static_cast<int>(write);
    for (int index = 0; index < 15; ++index) {
      moves.push_back(moveOf("e" + std::to_string(write) + "-" + std::to_string(index), now));
    }
    const std::vector<MoveHint>& recent = hints.take(ledgerOf(write, moves), now);
    CHECK(recent.size() == 15 * write);
    CHECK(countAtRevision(recent, write) == 15);
  }
}

TEST_CASE("old moves are omitted, and a second move of an engine is new") {
  MoveHints hints;
  const Ledger first = ledgerOf(1, {moveOf("e", kStart), moveOf("f", kStart)});
  CHECK(hints.take(first, kStart).size() == 2);
  const Time later = kStart + std::chrono::milliseconds(1500);
  const Ledger second = ledgerOf(2, {moveOf("e", kStart), moveOf("f", kStart), moveOf("e", later)});
  const std::vector<MoveHint>& recent = hints.take(second, later);
  REQUIRE(recent.size() == 1);
  CHECK(recent.front().engine == "e");
  CHECK(recent.front().revision == 2);
}

TEST_CASE("a ledger older than the known one is ignored") {
  MoveHints hints;
  hints.take(ledgerOf(5, {moveOf("e", kStart)}), kStart);
  CHECK(hints.take(ledgerOf(4, {}), kStart).size() == 1);
}

}  // namespace fernmoor::weights
