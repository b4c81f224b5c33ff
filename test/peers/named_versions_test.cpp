/// @file
/// Tests of the exchange of named versions between nodes (src/peers/mirror_role.h): the bound of a
/// desired version continues even if the processes that first read it end one after the other.
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
        desired(WeightBounds{std::chrono::seconds(8), startedAt + std::chrono::seconds(3)}),
        mirror([this](MirrorKind kind, const std::vector<MirrorEntry>& entries,
                      bool) { applyEntries(kind, entries); },
               [](MirrorKind, uint64_t, Time) {}),
        role(NodeId(id), mirror, desired, revisionTimes, startedAt) {
    auto members = std::make_shared<MembershipSnapshot>();
    for (const uint64_t member : {1, 2}) {
      members->members.emplace_back();
      members->members.back().life.node = NodeId(member);
    }
    members->self.node = NodeId(id);
    role.setMembers(members);
  }

  void send(NodeId, const proto::Envelope& envelope) override { sent.push_back(envelope); }
  void applyEntries(MirrorKind kind, const std::vector<MirrorEntry>& entries) {
    for (const MirrorEntry& entry : entries) {
      if (kind == MirrorKind::kWeights) {
        desired.note("m", std::stoull(entry.text), revisionTimes.notBefore(entry.revision), now);
      }
    }
  }
  /// Reads a version, written at the revision of the same number, by a call that began at
  /// `askedAt`.
  void readVersion(uint64_t version, Time askedAt) {
    now = askedAt;
    revisionTimes.note({version, askedAt});
    const MirrorEntry entry{"m", version, false, std::to_string(version)};
    mirror.applyList(MirrorKind::kWeights, version, {entry});
  }
  /// Reads, by a call that began at `askedAt`, that the store holds no newer revision.
  void readNothingNewer(Time askedAt) {
    revisionTimes.note({mirror.revision(MirrorKind::kWeights), askedAt});
  }
  void receiveFrom(Node& from, Time when) {
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
  DesiredWeights desired;
  RevisionTimes revisionTimes;
  StateMirror mirror;
  MirrorRole role;
};

}  // namespace

TEST_CASE("a started node receives the times at which the versions it read became desired") {
  Node old(1, at(-60000));
  old.readVersion(1, at(-60000));
  old.readNothingNewer(at(0));
  old.readVersion(2, at(900));
  old.readNothingNewer(at(3000));
  old.readVersion(3, at(3900));
  Node started(2, at(5000));
  started.readVersion(3, at(5050));
  CHECK(started.desired.dueVersion("m", at(8000)) == 3);

  started.role.onTick(at(5100), started);
  old.receiveFrom(started, at(5110));
  started.receiveFrom(old, at(5300));  // The answer was delayed.

  CHECK(started.desired.newest("m") == 3);
  CHECK(started.desired.dueVersion("m", at(7900)) == 0);
  CHECK(started.desired.dueVersion("m", at(8000)) == 2);
  CHECK(started.desired.dueVersion("m", at(10900)) == 2);
  CHECK(started.desired.dueVersion("m", at(11000)) == 3);

  SUBCASE("and later messages do not change these times") {
    started.role.onTick(at(6100), started);
    old.receiveFrom(started, at(6110));
    started.receiveFrom(old, at(7000));
    CHECK(started.desired.dueVersion("m", at(11000)) == 3);
  }
}

TEST_CASE("a running node dates a version by its own last read if the sender knows only the list") {
  Node sender(1, at(5000));  // It has just started and knows only the list.
  sender.readVersion(3, at(5050));
  Node old(2, at(-60000));
  old.readVersion(1, at(-60000));
  old.readNothingNewer(at(4900));
  old.role.onTick(at(5100), old);
  sender.receiveFrom(old, at(5110));
  old.receiveFrom(sender, at(5120));
  CHECK(old.desired.newest("m") == 3);
  CHECK(old.desired.dueVersion("m", at(12800)) == 1);
  CHECK(old.desired.dueVersion("m", at(12900)) == 3);
}

TEST_CASE("a version is dated by the last read without it, however late it is received") {
  Node reader(1, at(-60000));
  Node other(2, at(-60000));
  for (Node* node : {&reader, &other}) {
    node->readVersion(1, at(-60000));
    node->readNothingNewer(at(0));
  }
  reader.receiveFrom(other, at(10));
  other.role.onTick(at(20), other);  // Subscribes to changes.
  reader.receiveFrom(other, at(30));
  reader.sent.clear();

  SUBCASE("at a node that reads the version late") {
    reader.readVersion(2, at(5000));
    CHECK(reader.desired.dueVersion("m", at(7900)) == 1);
    CHECK(reader.desired.dueVersion("m", at(8000)) == 2);
  }
  SUBCASE("at a node that receives it late or was paused") {
    reader.readNothingNewer(at(900));
    reader.readVersion(2, at(1000));
    CHECK(reader.desired.dueVersion("m", at(8900)) == 2);
    reader.role.announce(MirrorKind::kWeights, 1, at(1000), reader);
    other.receiveFrom(reader, at(5000));
    CHECK(other.desired.dueVersion("m", at(8000)) == 2);

    SUBCASE("until the node receives the later date from another node") {
      other.role.onTick(at(5100), other);
      reader.receiveFrom(other, at(5110));
      other.receiveFrom(reader, at(5120));
      CHECK(other.desired.dueVersion("m", at(8800)) == 1);
      CHECK(other.desired.dueVersion("m", at(8900)) == 2);
    }
  }
}

}  // namespace fernmoor::peers
