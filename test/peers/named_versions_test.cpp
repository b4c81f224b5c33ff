/// @file
/// Tests of the exchange of named versions between nodes (src/peers/mirror_role.h): the bound of a
/// version continues even if the processes that saw it named end one after the other.
#include <doctest/doctest.h>

#include <deque>

#include "peers/mirror_role.h"

namespace fernmoor::peers {

namespace {

constexpr Time at(int64_t milliseconds) {
  return Time(std::chrono::seconds(1000)) + std::chrono::milliseconds(milliseconds);
}

/// One of two nodes; the messages that it sends are queued.
struct Node : MessageSender {
  Node(uint64_t id, Time startedAt)
      : id(id),
        wanted(WeightBounds{std::chrono::seconds(8), startedAt + std::chrono::seconds(3)}),
        mirror([this](MirrorKind kind, const std::vector<MirrorEntry>& entries,
                      bool) { take(kind, entries); },
               [](MirrorKind, uint64_t, Time) {}),
        role(NodeId(id), mirror, wanted, revisionTimes, startedAt) {
    auto members = std::make_shared<MembershipSnapshot>();
    for (const uint64_t member : {1, 2}) {
      members->members.emplace_back();
      members->members.back().life.node = NodeId(member);
    }
    members->self.node = NodeId(id);
    role.setMembers(members);
  }

  void send(NodeId, const proto::Envelope& envelope) override { sent.push_back(envelope); }
  void take(MirrorKind kind, const std::vector<MirrorEntry>& entries) {
    for (const MirrorEntry& entry : entries) {
      if (kind == MirrorKind::kWeights) {
        wanted.note("m", std::stoull(entry.text), revisionTimes.notBefore(entry.revision), now);
      }
    }
  }
  /// The store shows to this node a version that was written with that revision, by a call that
  /// began at `askedAt`.
  void find(uint64_t version, Time askedAt) {
    now = askedAt;
    revisionTimes.note({version, askedAt});
    const MirrorEntry entry{"m", version, false, std::to_string(version)};
    mirror.applyList(MirrorKind::kWeights, version, {entry});
  }
  /// By a call that began at `askedAt` the store shows that it holds nothing newer.
  void findNothingNewer(Time askedAt) {
    revisionTimes.note({mirror.revision(MirrorKind::kWeights), askedAt});
  }
  void hear(Node& from, Time when) {
    now = when;
    while (!from.sent.empty()) {
      const proto::Envelope envelope = from.sent.front();
      from.sent.pop_front();
      role.onMessage(NodeLife{NodeId(from.id), Incarnation(1)}, envelope, now, *this);
    }
  }

  uint64_t id;
  Time now;
  std::deque<proto::Envelope> sent;
  DesiredWeights wanted;
  RevisionTimes revisionTimes;
  StateMirror mirror;
  MirrorRole role;
};

}  // namespace

TEST_CASE("a started node learns since when the versions that it read have been named") {
  Node old(1, at(-60000));
  old.find(1, at(-60000));
  old.findNothingNewer(at(0));
  old.find(2, at(900));
  old.findNothingNewer(at(3000));
  old.find(3, at(3900));
  Node started(2, at(5000));
  started.find(3, at(5050));
  CHECK(started.wanted.dueVersion("m", at(8000)) == 3);

  started.role.onTick(at(5100), started);
  old.hear(started, at(5110));
  started.hear(old, at(5300));  // The answer was delayed.

  CHECK(started.wanted.newest("m") == 3);
  CHECK(started.wanted.dueVersion("m", at(7900)) == 0);
  CHECK(started.wanted.dueVersion("m", at(8000)) == 2);
  CHECK(started.wanted.dueVersion("m", at(10900)) == 2);
  CHECK(started.wanted.dueVersion("m", at(11000)) == 3);

  SUBCASE("and keeps these times whatever it receives later") {
    started.role.onTick(at(6100), started);
    old.hear(started, at(6110));
    started.hear(old, at(7000));
    CHECK(started.wanted.dueVersion("m", at(11000)) == 3);
  }
}

TEST_CASE("a version received in a whole list is new to a node that was running before") {
  Node teller(1, at(5000));  // It was started a moment ago and knows the list only.
  teller.find(3, at(5050));
  Node old(2, at(-60000));
  old.find(1, at(-60000));
  old.findNothingNewer(at(4900));
  old.role.onTick(at(5100), old);
  teller.hear(old, at(5110));
  old.hear(teller, at(5120));
  CHECK(old.wanted.newest("m") == 3);
  CHECK(old.wanted.dueVersion("m", at(12800)) == 1);
  CHECK(old.wanted.dueVersion("m", at(12900)) == 3);
}

TEST_CASE(
    "news are dated by how far the store had come before, however late they come and are read") {
  Node reader(1, at(-60000));
  Node other(2, at(-60000));
  for (Node* node : {&reader, &other}) {
    node->find(1, at(-60000));
    node->findNothingNewer(at(0));
  }
  reader.hear(other, at(10));
  other.role.onTick(at(20), other);  // So that it is told of changes.
  reader.hear(other, at(30));
  reader.sent.clear();

  SUBCASE("at a node that the store answers late") {
    reader.find(2, at(5000));
    CHECK(reader.wanted.dueVersion("m", at(7900)) == 1);
    CHECK(reader.wanted.dueVersion("m", at(8000)) == 2);
  }
  SUBCASE("to a node that they reach late, or that was suspended meanwhile") {
    reader.findNothingNewer(at(900));
    reader.find(2, at(1000));
    CHECK(reader.wanted.dueVersion("m", at(8900)) == 2);
    reader.role.announce(MirrorKind::kWeights, 1, at(1000), reader);
    other.hear(reader, at(5000));
    CHECK(other.wanted.dueVersion("m", at(8000)) == 2);

    SUBCASE("until it asks and receives what another node knows") {
      other.role.onTick(at(5100), other);
      reader.hear(other, at(5110));
      other.hear(reader, at(5120));
      CHECK(other.wanted.dueVersion("m", at(8800)) == 1);
      CHECK(other.wanted.dueVersion("m", at(8900)) == 2);
    }
  }
}

}  // namespace fernmoor::peers
