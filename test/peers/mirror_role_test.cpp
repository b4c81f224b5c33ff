/// @file
/// Tests of src/peers/mirror_role.h on the simulated network: readers pass on what the store holds,
/// proofs of freshness never look younger than they are, and nodes without a reader read
/// themselves.
#include "peers/mirror_role.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace fernmoor::peers {

namespace {

/// One message on its way.
struct Letter {
  NodeId from;
  NodeId to;
  proto::Envelope envelope;
};

/// Nodes that know each other, a clock, and messages that the test delivers when it likes.
class RelayWorld {
 public:
  struct Node {
    Node(NodeId id, const RelayWorld& world, Time startedAt)
        : mirror([this](MirrorKind, const std::vector<MirrorEntry>& entries,
                        bool) { heard += entries.size(); },
                 [](MirrorKind, uint64_t, Time) {}),
          wanted(WeightBounds{std::chrono::seconds(8), startedAt + std::chrono::seconds(3)}),
          role(id, mirror, wanted, revisionTimes, startedAt),
          sender(id, world) {}

    class Outbox : public MessageSender {
     public:
      Outbox(NodeId from, const RelayWorld& world) : from_(from), world_(world) {}
      size_t waitingBytes() const override { return waiting; }
      void send(NodeId to, const proto::Envelope& envelope) override {
        world_.pulls += envelope.mirror().question().pulls() ? 1 : 0;
        world_.letters_.push_back(Letter{from_, to, envelope});
      }

      size_t waiting = 0;  ///< Bytes that wait to be sent.

     private:
      NodeId from_;
      const RelayWorld& world_;
    };

    size_t heard = 0;
    StateMirror mirror;
    DesiredWeights wanted;
    RevisionTimes revisionTimes;
    MirrorRole role;
    Outbox sender;
  };

  /// @param startedAt of all nodes.
  explicit RelayWorld(uint64_t count, Time startedAt = Time()) {
    auto members = std::make_shared<MembershipSnapshot>();
    for (uint64_t id = 1; id <= count; ++id) {
      Member member;
      member.life.node = NodeId(id);
      member.zone = ZoneId(id % 3 == 0 ? "a" : "b");
      members->members.push_back(member);
      nodes_.emplace(std::piecewise_construct, std::forward_as_tuple(id),
                     std::forward_as_tuple(NodeId(id), *this, startedAt));
    }
    snapshot_ = members;
    for (auto& node : nodes_) {
      auto own = std::make_shared<MembershipSnapshot>(*members);
      own->self.node = NodeId(node.first);
      node.second.role.setMembers(own);
    }
  }

  Node& node(uint64_t id) { return nodes_.at(id); }
  std::vector<NodeId> readers() const { return relayTiers(*snapshot_).readers; }
  std::vector<NodeId> relays() const { return relayTiers(*snapshot_).relays; }
  ZoneId zoneOf(NodeId node) const { return snapshot_->find(node)->zone; }
  size_t countWithDuty(ReadDuty duty) const {
    return static_cast<size_t>(std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
      return entry.second.role.duty(now) == duty;
    }));
  }
  /// @return the greatest age of a proof of the rows at any node; none where one has no proof.
  std::optional<Duration> oldestProof() const {
    Duration oldest(0);
    for (const auto& entry : nodes_) {
      const std::optional<Time> proof = entry.second.mirror.confirmedAt(MirrorKind::kRows);
      if (!proof) {
        return std::nullopt;
      }
      oldest = std::max(oldest, now - *proof);
    }
    return oldest;
  }
  /// Lets time go on in steps of a tick; the store answers those readers that it serves, each 0.6
  /// s.
  /// @param read what happens at the store in each of those intervals.
  template <class Read>
  void run(Duration duration, Read read) {
    constexpr Duration kTick{100000};
    constexpr int kTicksPerRead = 6;
    for (int tick = 0; tick * kTick < duration; ++tick) {
      if (tick % kTicksPerRead == 0) {
        read();
      }
      tickAll();
      deliver(Duration(0));
      now += kTick;
    }
  }
  /// A node that is no reader.
  Node& plainNode() {
    for (auto& entry : nodes_) {
      if (entry.second.role.duty(now) == ReadDuty::kFallback) {
        return entry.second;
      }
    }
    throw std::logic_error("all nodes are readers");
  }
  void readersRead(uint64_t revision, const std::string& text) {
    for (const NodeId reader : readers()) {
      Node& each = node(reader.value());
      MirrorDelta delta{0, revision, {MirrorEntry{"main", revision, false, text}}};
      each.mirror.apply(MirrorKind::kRows, delta);
      each.mirror.confirm(MirrorKind::kRows, revision, now);
    }
  }
  /// The store answers the nodes that read instead of the readers.
  void fallbackNodesRead(uint64_t revision, const std::string& text) {
    for (auto& [id, each] : nodes_) {
      if (each.role.duty(now) == ReadDuty::kFallback) {
        ++fallbackReads;
        MirrorDelta delta{0, revision, {MirrorEntry{"main", revision, false, text}}};
        each.mirror.apply(MirrorKind::kRows, delta);
        each.mirror.confirm(MirrorKind::kRows, revision, now);
      }
    }
  }
  void tickAll() {
    for (auto& entry : nodes_) {
      entry.second.role.onTick(now, entry.second.sender);
    }
  }
  /// Delivers all letters, also those that they cause, after a delay each.
  void deliver(Duration delay = Duration(1000)) {
    while (!letters_.empty()) {
      const Letter letter = letters_.front();
      letters_.pop_front();
      now += delay;
      if (lost.count(letter.to) > 0) {
        continue;
      }
      Node& to = node(letter.to.value());
      to.role.onMessage(NodeLife{letter.from, Incarnation(1)}, letter.envelope, now, to.sender);
    }
  }

  Time now{std::chrono::seconds(100)};
  std::set<NodeId> lost;     ///< Nodes that get no messages.
  size_t fallbackReads = 0;  ///< Reads of nodes that others should have told.
  mutable size_t pulls = 0;  ///< Questions for all that the asker lacks.

 private:
  mutable std::deque<Letter> letters_;
  std::map<uint64_t, Node> nodes_;
  std::shared_ptr<const MembershipSnapshot> snapshot_;
};

}  // namespace

TEST_CASE("a few nodes read the store, and others that grow in number pass on what they read") {
  CHECK(RelayWorld(1).readers().size() == 1);
  CHECK(RelayWorld(7).readers().size() == 2);
  CHECK(RelayWorld(96).readers().size() == 3);
  CHECK(RelayWorld(300).readers().size() == 3);
  CHECK(RelayWorld(96).relays().size() == 3 + 5);
  std::set<bool> zones;
  for (const NodeId reader : RelayWorld(18).readers()) {
    zones.insert(reader.value() % 3 == 0);
  }
  CHECK(zones.size() == 2);
  const RelayWorld large(300);
  const std::vector<NodeId> relays = large.relays();
  std::set<ZoneId> zonesOfReaders;
  for (const NodeId reader : large.readers()) {
    zonesOfReaders.insert(large.zoneOf(reader));
    CHECK(std::count(relays.begin(), relays.end(), reader) == 1);
  }
  CHECK(zonesOfReaders.size() == 2);
}

TEST_CASE("a node that is told by a reader neither reads itself nor lacks anything") {
  RelayWorld world(7);
  RelayWorld::Node& plain = world.plainNode();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  CHECK(plain.mirror.revision(MirrorKind::kRows) == 5);
  CHECK(plain.role.duty(world.now) == ReadDuty::kNone);
}

TEST_CASE("changes reach those that asked lately at once") {
  RelayWorld world(7);
  RelayWorld::Node& plain = world.plainNode();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  world.readersRead(6, "six");
  for (const NodeId reader : world.readers()) {
    RelayWorld::Node& node = world.node(reader.value());
    node.role.announce(MirrorKind::kRows, 5, world.now, node.sender);
  }
  world.deliver();
  CHECK(plain.mirror.revision(MirrorKind::kRows) == 6);
}

TEST_CASE("a change too long for a datagram is pulled once, and offered until it is") {
  RelayWorld world(7);
  RelayWorld::Node& plain = world.plainNode();
  std::string text;  // Varied, so that it stays long when it is packed.
  for (int number = 0; number < 2000; ++number) {
    text += std::to_string(number * number % 9973);
  }
  world.readersRead(5, text);
  world.tickAll();
  world.deliver();
  CHECK(plain.mirror.revision(MirrorKind::kRows) == 5);
  const size_t pulls = world.pulls;
  CHECK(pulls == 5);  // By each node that is no reader.
  world.tickAll();
  world.now += std::chrono::milliseconds(500);
  world.tickAll();
  world.deliver();
  CHECK(world.pulls == pulls);
}

TEST_CASE("a node whose queue is long puts off those that pull, and tells them proofs meanwhile") {
  RelayWorld world(7);
  RelayWorld::Node& plain = world.plainNode();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  for (const NodeId reader : world.readers()) {
    world.node(reader.value()).sender.waiting = 4U << 20U;
  }
  std::string text;
  for (int number = 0; number < 2000; ++number) {
    text += std::to_string(number * number % 9973);
  }
  for (int tick = 0; tick < 10; ++tick) {
    world.now += std::chrono::milliseconds(100);
    world.readersRead(6, text);
    world.tickAll();
    world.deliver();
  }
  CHECK(plain.mirror.revision(MirrorKind::kRows) == 5);
  CHECK(world.pulls <= 5 * 4);  // With each question at the most, not with each offer.
  for (const NodeId reader : world.readers()) {
    world.node(reader.value()).sender.waiting = 0;
  }
  world.now += std::chrono::milliseconds(500);
  world.tickAll();
  world.deliver();
  CHECK(plain.mirror.revision(MirrorKind::kRows) == 6);
}

TEST_CASE("a proof counts from the question, however long the answer was under way") {
  RelayWorld world(7);
  RelayWorld::Node& plain = world.plainNode();
  world.readersRead(5, "five");
  const Time provenAt = world.now;
  world.now += std::chrono::milliseconds(500);
  const Time askedAt = world.now;
  world.tickAll();
  world.deliver(std::chrono::milliseconds(20));
  const auto proof = plain.mirror.confirmedAt(MirrorKind::kRows);
  REQUIRE(proof.has_value());
  CHECK(*proof <= askedAt - std::chrono::milliseconds(500));
  CHECK(*proof <= provenAt);
}

TEST_CASE("what comes without a question proves nothing") {
  RelayWorld world(7);
  RelayWorld::Node& plain = world.plainNode();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  const auto before = plain.mirror.confirmedAt(MirrorKind::kRows);
  world.now += std::chrono::seconds(1);
  world.readersRead(6, "six");
  for (const NodeId reader : world.readers()) {
    RelayWorld::Node& node = world.node(reader.value());
    node.role.announce(MirrorKind::kRows, 5, world.now, node.sender);
  }
  world.deliver();
  CHECK(plain.mirror.confirmedAt(MirrorKind::kRows) == before);
}

TEST_CASE("a node whose readers are silent, or know nothing new, reads the store itself") {
  RelayWorld world(7);
  RelayWorld::Node& plain = world.plainNode();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  CHECK(plain.role.duty(world.now) == ReadDuty::kNone);
  for (const NodeId reader : world.readers()) {
    world.lost.insert(reader);
  }
  for (int tick = 0; tick < 40; ++tick) {
    world.now += std::chrono::milliseconds(50);
    world.tickAll();
    world.deliver(Duration(0));
  }
  CHECK(plain.role.duty(world.now) == ReadDuty::kFallback);
}

TEST_CASE("a reader that is silent is replaced by the other one") {
  RelayWorld world(7);
  world.readersRead(5, "five");
  world.lost.insert(world.readers().front());
  for (int tick = 0; tick < 24; ++tick) {
    world.now += std::chrono::milliseconds(50);
    world.readersRead(5, "five");
    world.tickAll();
    world.deliver(Duration(0));
  }
  size_t told = 0;
  for (uint64_t id = 1; id <= 7; ++id) {
    told += world.node(id).role.duty(world.now) == ReadDuty::kNone ? 1 : 0;
  }
  CHECK(told == 5);
}

TEST_CASE("readers that the store turns away learn from the nodes that read instead of them") {
  RelayWorld world(7);
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  // From now on the store serves all but the readers.
  for (int tick = 0; tick < 80; ++tick) {
    world.now += std::chrono::milliseconds(50);
    world.fallbackNodesRead(6, "six");
    world.tickAll();
    world.deliver(Duration(0));
  }
  for (const NodeId reader : world.readers()) {
    const StateMirror& mirror = world.node(reader.value()).mirror;
    CHECK(mirror.revision(MirrorKind::kRows) == 6);
    CHECK(world.now - *mirror.confirmedAt(MirrorKind::kRows) < std::chrono::milliseconds(1500));
  }
}

TEST_CASE("a node that reads instead of the readers goes on until they tell it again") {
  RelayWorld world(7);
  RelayWorld::Node& plain = world.plainNode();
  world.readersRead(5, "five");
  world.tickAll();
  world.deliver();
  int pauses = 0;
  bool hasBegun = false;
  for (int tick = 0; tick < 80; ++tick) {
    world.now += std::chrono::milliseconds(50);
    world.fallbackNodesRead(6, "six");
    world.tickAll();
    world.deliver(Duration(0));
    const bool reads = plain.role.duty(world.now) == ReadDuty::kFallback;
    pauses += hasBegun && !reads ? 1 : 0;
    hasBegun = hasBegun || reads;
  }
  CHECK(hasBegun);
  CHECK(pauses == 0);
  world.readersRead(7, "seven");
  world.now += std::chrono::milliseconds(500);
  world.tickAll();
  world.deliver();
  CHECK(plain.role.duty(world.now) == ReadDuty::kNone);
}

TEST_CASE("the same few nodes stand by at any size, each in another place") {
  for (const uint64_t count : {1, 3, 7, 300}) {
    RelayWorld world(count);
    std::set<size_t> ranks;
    for (uint64_t id = 1; id <= count; ++id) {
      const std::optional<size_t> rank = world.node(id).role.standbyRank();
      CHECK((!rank || ranks.insert(*rank).second));
    }
    CHECK(ranks.size() == std::min<uint64_t>(count, 4));
    CHECK(*ranks.rbegin() == ranks.size() - 1);
  }
}

TEST_CASE("in a large deployment") {
  RelayWorld world(300);
  const auto readersRead = [&] { world.readersRead(5, "five"); };
  world.run(std::chrono::seconds(5), readersRead);

  SUBCASE("nobody but the readers reads, and no proof gets old") {
    CHECK(world.countWithDuty(ReadDuty::kReader) == 3);
    CHECK(world.countWithDuty(ReadDuty::kNone) == 297);
    const std::optional<Duration> oldest = world.oldestProof();
    REQUIRE(oldest);
    CHECK(*oldest < std::chrono::milliseconds(1700));
  }
  SUBCASE("a change goes from the readers over the relays to all nodes at once") {
    world.readersRead(6, "six");
    for (const NodeId reader : world.readers()) {
      RelayWorld::Node& node = world.node(reader.value());
      node.role.announce(MirrorKind::kRows, 5, world.now, node.sender);
    }
    world.deliver(Duration(0));
    for (uint64_t id = 1; id <= 300; ++id) {
      CHECK(world.node(id).mirror.revision(MirrorKind::kRows) == 6);
    }
  }
  SUBCASE("while the store answers nobody, only relays ask it before three seconds have passed") {
    world.run(std::chrono::milliseconds(2500), [] {});
    const size_t asking = world.countWithDuty(ReadDuty::kFallback);
    CHECK(asking > 0);
    CHECK(asking + world.readers().size() <= world.relays().size());
  }
  SUBCASE("when the store is back after an outage, the readers relieve all that read themselves") {
    world.run(std::chrono::seconds(6), [] {});
    CHECK(world.countWithDuty(ReadDuty::kFallback) == 297);
    world.run(std::chrono::seconds(4), [&] {
      world.readersRead(6, "six");
      world.fallbackNodesRead(6, "six");
    });
    CHECK(world.countWithDuty(ReadDuty::kFallback) == 0);
  }
  SUBCASE("while the store turns the readers away, relays read for all") {
    const auto relaysRead = [&] { world.fallbackNodesRead(6, "six"); };
    world.run(std::chrono::seconds(5), relaysRead);
    const std::optional<Duration> oldest = world.oldestProof();
    REQUIRE(oldest);
    CHECK(*oldest < std::chrono::seconds(3));
    for (uint64_t id = 1; id <= 300; ++id) {
      CHECK(world.node(id).mirror.revision(MirrorKind::kRows) == 6);
    }
    SUBCASE("and go on doing so at a cost that does not grow") {
      world.fallbackReads = 0;
      world.run(std::chrono::seconds(6), relaysRead);
      CHECK(world.countWithDuty(ReadDuty::kFallback) < world.relays().size());
      CHECK(world.fallbackReads <= 10 * world.relays().size());
      CHECK(*world.oldestProof() < std::chrono::seconds(3));
    }
  }
}

TEST_CASE("nodes that start together") {
  constexpr std::chrono::milliseconds kMoment(200);
  constexpr std::chrono::milliseconds kSettled(1100);
  constexpr std::chrono::milliseconds kLate(3100);
  RelayWorld world(300, Time{std::chrono::seconds(100)});

  SUBCASE("read each kind once and do not follow the store before they know who does") {
    world.now += kMoment;
    CHECK(world.countWithDuty(ReadDuty::kStart) == 300);
    world.now += kSettled;
    CHECK(world.countWithDuty(ReadDuty::kReader) == 3);
    CHECK(world.countWithDuty(ReadDuty::kStart) == 297);
  }
  SUBCASE("are relieved by the readers") {
    world.now += kSettled;
    world.run(std::chrono::seconds(2), [&] { world.readersRead(5, "five"); });
    CHECK(world.countWithDuty(ReadDuty::kReader) == 3);
    CHECK(world.countWithDuty(ReadDuty::kNone) == 297);
  }
  SUBCASE("read by themselves where nobody tells them anything") {
    world.now += kLate;
    CHECK(world.countWithDuty(ReadDuty::kFallback) == 297);
  }
}

TEST_CASE("a node that knows no other one reads the store") {
  RelayWorld world(1, Time{std::chrono::seconds(100)});
  CHECK(world.node(1).role.duty(world.now) == ReadDuty::kStart);
  world.now += std::chrono::milliseconds(1100);
  CHECK(world.node(1).role.duty(world.now) == ReadDuty::kReader);
}

}  // namespace fernmoor::peers
