/// @file
/// Tests of src/peers/state_mirror.h.
#include "peers/state_mirror.h"

#include <doctest/doctest.h>

namespace fernmoor::peers {

namespace {

/// Notifications that a mirror sent to its listeners.
struct Notifications {
  std::vector<MirrorEntry> entries;
  int wholeCount = 0;
  std::vector<Time> confirmations;
};

MirrorEntry entry(const std::string& name, uint64_t revision, const std::string& text = "t") {
  return MirrorEntry{name, revision, false, text};
}

struct Mirrored {
  Mirrored()
      : mirror(
            [this](MirrorKind, const std::vector<MirrorEntry>& entries, bool isWhole) {
              notifications.wholeCount += isWhole ? 1 : 0;
              notifications.entries = entries;
            },
            [this](MirrorKind, uint64_t, Time confirmedAt) {
              notifications.confirmations.push_back(confirmedAt);
            }) {}

  MirrorOutcome apply(uint64_t from, uint64_t to, const std::vector<MirrorEntry>& entries) {
    return mirror.apply(kKind, MirrorDelta{from, to, entries});
  }
  std::optional<MirrorDelta> since(uint64_t revision) { return mirror.since(kKind, revision); }

  MirrorOutcome applyParts(uint64_t from, uint64_t to, const std::vector<MirrorEntry>& entries) {
    return mirror.apply(MirrorKind::kRows, MirrorDelta{from, to, entries});
  }
  std::optional<MirrorDelta> partsSince(uint64_t revision) {
    return mirror.since(MirrorKind::kRows, revision);
  }

  static constexpr MirrorKind kKind = MirrorKind::kBackends;
  Notifications notifications;
  StateMirror mirror;
};

Time at(int64_t milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

}  // namespace

TEST_CASE("changes are applied in order, known ones are ignored, and gaps are reported") {
  Mirrored copy;
  CHECK(copy.apply(5, 6, {entry("a", 6)}) == MirrorOutcome::kGap);
  CHECK(copy.apply(0, 10, {entry("a", 3), entry("b", 9)}) == MirrorOutcome::kApplied);
  CHECK(copy.notifications.wholeCount == 1);
  CHECK(copy.apply(0, 9, {}) == MirrorOutcome::kKnown);
  CHECK(copy.apply(12, 13, {entry("c", 13)}) == MirrorOutcome::kGap);
  CHECK(copy.apply(8, 13, {entry("c", 13)}) == MirrorOutcome::kApplied);
  CHECK(copy.notifications.entries.size() == 1);
  CHECK(copy.mirror.revision(Mirrored::kKind) == 13);
}

TEST_CASE("the changes of one copy bring another to the same state, including removals") {
  Mirrored first;
  Mirrored second;
  first.apply(0, 10, {entry("a", 3), entry("b", 9)});
  second.mirror.apply(Mirrored::kKind, *first.since(0));
  first.apply(10, 14, {entry("c", 12), MirrorEntry{"a", 3, true, ""}});
  REQUIRE(first.since(10).has_value());
  CHECK(second.mirror.apply(Mirrored::kKind, *first.since(10)) == MirrorOutcome::kApplied);
  CHECK(second.notifications.entries.size() == 2);
  CHECK_FALSE(first.since(14).has_value());
  CHECK(second.since(0)->entries.size() == 2);
  CHECK(second.since(0)->toRevision == 14);
}

TEST_CASE("a copy older than the remembered removals receives the whole kind") {
  Mirrored copy;
  copy.apply(0, 10, {entry("a", 3)});
  copy.apply(10, 20, {entry("b", 15)});
  CHECK(copy.since(12)->fromRevision == 12);
  CHECK(copy.since(5)->fromRevision == 0);
  CHECK(copy.since(5)->entries.size() == 2);
}

TEST_CASE("a list that is read again notifies only of differences") {
  Mirrored copy;
  copy.mirror.applyList(Mirrored::kKind, 10, {entry("a", 3), entry("b", 9)});
  copy.mirror.applyList(Mirrored::kKind, 20, {entry("b", 9), entry("c", 18)});
  CHECK(copy.notifications.wholeCount == 1);
  REQUIRE(copy.notifications.entries.size() == 2);
  CHECK(copy.notifications.entries[0].name == "c");
  CHECK(copy.notifications.entries[1].name == "a");
  CHECK(copy.notifications.entries[1].isGone);
}

TEST_CASE(
    "a confirmed read counts only for a copy that is complete up to it, and its time never "
    "decreases") {
  Mirrored copy;
  copy.apply(0, 10, {entry("a", 3)});
  copy.mirror.confirm(Mirrored::kKind, 11, at(100));
  CHECK_FALSE(copy.mirror.confirmedAt(Mirrored::kKind).has_value());
  copy.mirror.confirm(Mirrored::kKind, 10, at(200));
  copy.mirror.confirm(Mirrored::kKind, 9, at(150));
  CHECK(copy.mirror.confirmedAt(Mirrored::kKind) == at(200));
}

TEST_CASE("only the changed parts of an object that is read whole are notified and forwarded") {
  Mirrored reader;
  reader.applyParts(0, 5, {entry("a", 5, "old"), entry("b", 5)});
  Mirrored other;
  other.mirror.apply(MirrorKind::kRows, *reader.partsSince(0));
  reader.applyParts(0, 7, {entry("a", 7, "new"), entry("b", 7)});
  REQUIRE(reader.notifications.entries.size() == 1);
  CHECK(reader.notifications.entries[0].text == "new");

  SUBCASE("to a copy at a revision that this one has held") {
    const std::optional<MirrorDelta> delta = reader.partsSince(5);
    REQUIRE(delta);
    CHECK(delta->fromRevision == 5);
    CHECK(delta->entries.size() == 1);
    CHECK(other.mirror.apply(MirrorKind::kRows, *delta) == MirrorOutcome::kApplied);
    CHECK(other.partsSince(0)->entries.size() == 2);
  }
  SUBCASE("as a whole to a copy at another revision, which notifies only of differences") {
    Mirrored between;
    between.applyParts(0, 6, {entry("a", 6, "between"), entry("b", 6)});
    CHECK(between.mirror.apply(MirrorKind::kRows, MirrorDelta{5, 7, {}}) == MirrorOutcome::kGap);
    const std::optional<MirrorDelta> delta = reader.partsSince(6);
    REQUIRE(delta);
    CHECK(delta->fromRevision == 0);
    CHECK(between.mirror.apply(MirrorKind::kRows, *delta) == MirrorOutcome::kApplied);
    REQUIRE(between.notifications.entries.size() == 1);
    CHECK(between.notifications.entries[0].text == "new");
  }
}

TEST_CASE("a part that changes back is sent to copies that saw the change") {
  Mirrored reader;
  reader.applyParts(0, 5, {entry("a", 5, "one")});
  Mirrored other;
  other.applyParts(0, 6, {entry("a", 6, "two")});
  reader.applyParts(0, 7, {entry("a", 7, "one")});
  CHECK(other.mirror.apply(MirrorKind::kRows, *reader.partsSince(6)) == MirrorOutcome::kApplied);
  CHECK(other.partsSince(0)->entries[0].text == "one");
}

TEST_CASE("removed parts are reported as gone") {
  Mirrored reader;
  reader.applyParts(0, 5, {entry("a", 5), entry("b", 5)});
  reader.applyParts(0, 6, {entry("b", 6)});
  REQUIRE(reader.notifications.entries.size() == 1);
  CHECK(reader.notifications.entries[0].isGone);
  CHECK(reader.partsSince(5)->entries.size() == 1);
}

TEST_CASE("a confirmed read counts only after the listener was notified of the revision") {
  std::vector<uint64_t> confirmedRevisions;
  StateMirror* target = nullptr;
  StateMirror mirror(
      [&](MirrorKind kind, const std::vector<MirrorEntry>&, bool) {
        target->confirm(kind, 5, at(100));  // In the program another thread may do so at this time.
      },
      [&](MirrorKind, uint64_t revision, Time) { confirmedRevisions.push_back(revision); });
  target = &mirror;
  mirror.apply(MirrorKind::kRows, MirrorDelta{0, 5, {entry("a", 5)}});
  CHECK(confirmedRevisions.empty());
  mirror.confirm(MirrorKind::kRows, 5, at(200));
  CHECK(confirmedRevisions == std::vector<uint64_t>{5});
}

TEST_CASE("the contents of a store restored from an old copy supersede those of the former era") {
  Mirrored copy;
  copy.mirror.applyList(Mirrored::kKind, storeRevision(1, 50),
                        {entry("a", storeRevision(1, 3)), entry("b", storeRevision(1, 40)),
                         entry("c", storeRevision(1, 45))});
  const std::vector<MirrorEntry> listed = {entry("a", storeRevision(2, 3)),
                                           entry("b", storeRevision(2, 20), "older")};
  CHECK(copy.mirror.applyList(Mirrored::kKind, storeRevision(2, 30), listed) ==
        MirrorOutcome::kApplied);
  CHECK(copy.mirror.revision(Mirrored::kKind) == storeRevision(2, 30));
  SUBCASE("unchanged entries are not notified, missing ones are reported as lost") {
    REQUIRE(copy.notifications.entries.size() == 2);
    CHECK(copy.notifications.entries[0].text == "older");
    CHECK(copy.notifications.entries[1].name == "c");
    CHECK(copy.notifications.entries[1].isGone);
    CHECK(copy.notifications.entries[1].isLost);
  }
  SUBCASE("a copy of the former era receives all differences") {
    const std::optional<MirrorDelta> lacks = copy.since(storeRevision(1, 50));
    REQUIRE(lacks);
    CHECK(lacks->entries.size() == 3);
    CHECK(lacks->entries[2].isLost);
  }
  SUBCASE("late changes of the former era are ignored") {
    CHECK(copy.apply(storeRevision(1, 50), storeRevision(1, 60),
                     {entry("d", storeRevision(1, 60))}) == MirrorOutcome::kKnown);
  }
  SUBCASE("an entry removed afterwards is reported as gone, not lost") {
    MirrorEntry gone = entry("a", storeRevision(2, 31));
    gone.isGone = true;
    CHECK(copy.apply(storeRevision(2, 30), storeRevision(2, 31), {gone}) ==
          MirrorOutcome::kApplied);
    CHECK_FALSE(copy.notifications.entries[0].isLost);
  }
}

TEST_CASE("an older version of an object in parts is never applied") {
  Mirrored copy;
  copy.applyParts(0, 24, {entry("row", 24)});
  CHECK(copy.applyParts(0, 22, {entry("row", 22, "older")}) == MirrorOutcome::kKnown);
  CHECK(copy.mirror.revision(MirrorKind::kRows) == 24);
}

TEST_CASE("what a copy lacks of a long list is found without examining the rest") {
  constexpr uint64_t kListed = 3000;
  Mirrored copy;
  std::vector<MirrorEntry> list;
  for (uint64_t index = 1; index <= kListed; ++index) {
    list.push_back(entry("e" + std::to_string(index), index));
  }
  copy.apply(0, kListed, list);
  copy.apply(kListed, 4000, {entry("e7", 3500, "changed"), MirrorEntry{"e8", 4000, true, ""}});
  const uint64_t before = copy.mirror.entriesExamined();
  const auto missing = copy.since(kListed);
  REQUIRE(missing);
  REQUIRE(missing->entries.size() == 2);
  CHECK(missing->entries[0].name == "e7");
  CHECK(missing->entries[0].text == "changed");
  CHECK(missing->entries[1].name == "e8");
  CHECK(missing->entries[1].isGone);
  CHECK(copy.mirror.bytesSince(Mirrored::kKind, 3500) == 2);
  CHECK(copy.mirror.bytesSince(Mirrored::kKind, 4000) == 0);
  CHECK(copy.mirror.entriesExamined() - before == 3);

  SUBCASE("also after entries came back, and changed again") {
    copy.apply(4000, 4001, {entry("e8", 4001), entry("e7", 4001)});
    const auto again = copy.since(4000);
    REQUIRE(again);
    CHECK(again->entries.size() == 2);
    CHECK(copy.since(3600)->entries.size() == 2);
  }
  SUBCASE("also after the whole list was replaced") {
    copy.apply(0, 5000, {entry("e1", 1), entry("e9", 4500)});
    CHECK_FALSE(copy.since(5000));
    copy.apply(5000, 5001, {entry("e9", 5001)});
    CHECK(copy.since(5000)->entries.size() == 1);
  }
}

}  // namespace fernmoor::peers
