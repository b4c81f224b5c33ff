/// @file
/// Tests how a change of the operators' table spreads between nodes over narrow links. Combines
/// platform/table_entries.h, src/peers/mirror_role.h and src/wire/large_message_queue.h in virtual
/// time.
///
/// Guards against nodes running out of memory when the table grows. After 1,400 rows were added,
/// processes on machines with 88 MB and 10 Mbit/s were killed one after the other and cut their
/// responses. The table was sent as one object: each node requested all of it, and requested it
/// again from the same and other nodes before a response could arrive over such a link, and every
/// response was queued in full. Peak memory was 47.5 MB after one growth; after two growths and a
/// series of changes it was 89.8 MB, and 20 processes were killed.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <sstream>

#include "common/knobs.h"
#include "common/rendezvous.h"
#include "http/json_text.h"
#include "peers/mirror_role.h"
#include "platform/table_entries.h"
#include "wire/envelope_sealer.h"
#include "wire/large_message_queue.h"

namespace fernmoor::platform {

namespace {

using peers::MirrorKind;

constexpr double kLinkBytesPerSecond = 1.25e6;  ///< 10 Mbit/s, as on the machines above.
constexpr Duration kStep{10000};
constexpr Duration kTick{100000};
constexpr Duration kReadInterval{600000};
constexpr Duration kDatagramTime{1000};
constexpr uint64_t kNodes = 79;
constexpr size_t kFirstRows = 400;
constexpr size_t kGrowth = 1400;
/// A change must be in force on all nodes within this, as the users' settings require.
constexpr Duration kInForceBound{3000000};
/// Limit of bytes queued for other nodes: a quarter of the 32 MB that a node may use for control
/// traffic.
constexpr size_t kMostWaiting = 8000000;
/// Limit of the mean control traffic that a node sends: 22 KB per second.
constexpr double kControlBytesPerSecond = 22000;
constexpr Duration kStormPause{300000};

Duration linkTime(size_t bytes) {
  return fromSeconds(static_cast<double>(bytes) / kLinkBytesPerSecond);
}

/// Names in no particular order, as in the users' tables.
std::string nameOf(size_t row) {
  std::ostringstream out;
  out << std::hex << stableHash(std::to_string(row));
  return out.str();
}

StoreObject tableOf(uint64_t revision, size_t rows, size_t changed) {
  std::ostringstream out;
  out << R"({"version":)" << revision << R"(,"routes":[)";
  for (size_t row = 0; row < rows; ++row) {
    const std::string name = nameOf(row);
    out << (row == 0 ? "" : ",") << R"({"name":"row-)" << name << R"(","host":"tenant)"
        << nameOf(row % 97) << R"(.example","path-prefix":"/path)" << name
        << R"(/","type":"unsafe","service":")" << (row == changed ? "other" : "pool")
        << R"(","attempts":1,"timeout-ms":1500,"target-ms":120,"priority":2,"sticky":false,)"
        << R"("resumable":false,"public":false})";
  }
  out << R"(],"services":[{"name":"pool"},{"name":"other"}]})";
  return StoreObject{"main", revision, valueOf(parseJsonObject(out.str()))};
}

/// Nodes with one link each, and a store that serves all of them.
class LinkWorld {
 public:
  LinkWorld() {
    auto members = std::make_shared<MembershipSnapshot>();
    const std::array<const char*, 3> zones = {"a", "b", "c"};
    for (uint64_t id = 1; id <= kNodes; ++id) {
      Member member;
      member.life.node = NodeId(id);
      member.zone = ZoneId(zones[id % zones.size()]);
      members->members.push_back(member);
      Node& node = nodes_
                       .emplace(std::piecewise_construct, std::forward_as_tuple(id),
                                std::forward_as_tuple(NodeId(id), *this))
                       .first->second;
      // Readers poll at different times, so that they see different versions.
      node.nextReadAt = now_ + (kReadInterval * id / kNodes) / kStep * kStep;
    }
    for (auto& [id, node] : nodes_) {
      auto own = std::make_shared<MembershipSnapshot>(*members);
      own->self.node = NodeId(id);
      node.role.setMembers(own);
    }
  }

  /// An operator writes the table.
  void write(size_t rows, size_t changed = 0) {
    ++revision_;
    table_ = tableOf(revision_, rows, changed);
    tableBytes_ = toText(*table_.spec).size();
    writtenAt_ = now_;
  }
  void run(Duration duration) {
    const Time until = now_ + duration;
    while (now_ < until) {
      step();
    }
  }
  /// @return the time from the latest write until its table was in force on all nodes; nothing if
  ///         it is not in force on all of them.
  std::optional<Duration> inForceAfter() const {
    return inForceAt_ ? std::optional(*inForceAt_ - writtenAt_) : std::nullopt;
  }
  size_t mostWaiting() const { return mostWaiting_; }
  size_t dropped() const { return dropped_; }
  /// Mean over all nodes since the start of the test.
  double bytesSentPerSecond() const {
    return static_cast<double>(bytesSent_) / kNodes / toSeconds(now_ - startedAt_);
  }

 private:
  struct Node : public MessageSender {
    Node(NodeId id, LinkWorld& world)
        : id(id),
          world(world),
          mirror([](auto, const auto&, bool) {}, [](auto, auto, auto) {}),
          wanted(WeightBounds{std::chrono::seconds(8), Time()}),
          role(id, mirror, wanted, revisionTimes, Time()) {}
    void send(NodeId to, const proto::Envelope& envelope) override {
      world.send(*this, to, envelope);
    }
    size_t waitingBytes(NodeId to) const override {
      return queue.bytesTo(to) + (sending && sending->to == to ? sending->bytes.size() : 0);
    }
    size_t waitingBytes() const override {
      return queue.bytes() + (sending ? sending->bytes.size() : 0);
    }

    NodeId id;
    LinkWorld& world;
    peers::StateMirror mirror;
    DesiredWeights wanted;
    RevisionTimes revisionTimes;
    peers::MirrorRole role;
    LargeMessageQueue queue{static_cast<size_t>(Knobs().peerQueueBytes)};
    std::optional<LargeMessage> sending;
    Time sentAt;      ///< When `sending` has been sent completely.
    Time linkFreeAt;  ///< When the last byte in transit to this node arrives.
    Time nextReadAt;  ///< Time of the next read of the store, if the node is a reader.
    std::optional<StoreObject> reading;
    Time readStartedAt;
  };
  struct Arrival {
    Time at;
    NodeId from;
    NodeId to;
    std::string bytes;
  };

  void send(Node& from, NodeId to, const proto::Envelope& envelope) {
    std::string bytes = sealer_.seal(envelope);
    bytesSent_ += bytes.size();
    if (static_cast<int64_t>(bytes.size()) <= Knobs().maxDatagramBytes) {
      arrivals_.push_back(Arrival{now_ + kDatagramTime, from.id, to, std::move(bytes)});
      return;
    }
    dropped_ += from.queue.push(LargeMessage{to, SocketAddress{}, std::move(bytes)});
    mostWaiting_ = std::max(mostWaiting_, from.queue.bytes());
  }
  void sendLarge(Node& node) {
    if (node.sending && now_ >= node.sentAt) {
      Node& to = nodes_.at(node.sending->to.value());
      to.linkFreeAt = std::max(now_, to.linkFreeAt + linkTime(node.sending->bytes.size()));
      arrivals_.push_back(Arrival{to.linkFreeAt, node.id, to.id, std::move(node.sending->bytes)});
      node.sending.reset();
    }
    if (!node.sending) {
      node.sending = node.queue.pop();
      node.sentAt = now_ + (node.sending ? linkTime(node.sending->bytes.size()) : Duration(0));
    }
  }
  /// The response of the store uses the same link.
  void readStore(Node& node) {
    if (node.reading && now_ >= node.nextReadAt) {
      const StoreObject object = *std::exchange(node.reading, std::nullopt);
      if (const auto since = applyTable(node.mirror, object)) {
        node.role.announce(MirrorKind::kRows, *since, now_, node);
      }
      node.mirror.confirm(MirrorKind::kRows, object.revision, node.readStartedAt);
      node.nextReadAt = std::max(now_, node.readStartedAt + kReadInterval);
    } else if (!node.reading && now_ >= node.nextReadAt && followsStore(node.role.duty(now_))) {
      node.reading = table_;
      node.readStartedAt = now_;
      node.linkFreeAt = std::max(now_, node.linkFreeAt) + linkTime(tableBytes_);
      node.nextReadAt = node.linkFreeAt;
    }
  }
  void deliver() {
    std::stable_sort(arrivals_.begin(), arrivals_.end(),
                     [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    while (!arrivals_.empty() && arrivals_.front().at <= now_) {
      const Arrival arrival = std::move(arrivals_.front());
      arrivals_.pop_front();
      Node& to = nodes_.at(arrival.to.value());
      to.role.onMessage(NodeLife{arrival.from, Incarnation(1)},
                        valueOf(sealer_.open(arrival.bytes)), now_, to);
    }
  }
  void noteInForce() {
    const bool isEverywhere = std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& entry) {
      return entry.second.mirror.revision(MirrorKind::kRows) >= revision_;
    });
    if (!isEverywhere) {
      inForceAt_.reset();
    } else if (!inForceAt_) {
      inForceAt_ = now_;
    }
  }
  void step() {
    deliver();
    const bool isTick = (now_ - Time()) % kTick == Duration(0);
    for (auto& [id, node] : nodes_) {
      if (isTick) {
        node.role.onTick(now_, node);
      }
      readStore(node);
      sendLarge(node);
    }
    noteInForce();
    now_ += kStep;
  }

  const Time startedAt_{std::chrono::seconds(100)};
  Time now_ = startedAt_;
  EnvelopeSealer sealer_{"key"};
  std::map<uint64_t, Node> nodes_;
  std::deque<Arrival> arrivals_;
  StoreObject table_;
  uint64_t revision_ = 0;
  size_t tableBytes_ = 0;
  Time writtenAt_;
  std::optional<Time> inForceAt_;
  size_t mostWaiting_ = 0;
  size_t bytesSent_ = 0;
  size_t dropped_ = 0;
};

}  // namespace

TEST_CASE("a table that grows spreads over narrow links") {
  LinkWorld world;
  world.write(kFirstRows);
  world.run(std::chrono::seconds(6));
  REQUIRE(world.inForceAfter());

  SUBCASE("within the bound, with few bytes queued for other nodes") {
    world.write(kFirstRows + kGrowth);
    world.run(std::chrono::seconds(8));
    REQUIRE(world.inForceAfter());
    CHECK(toSeconds(*world.inForceAfter()) <= toSeconds(kInForceBound));
    CHECK(world.mostWaiting() <= kMostWaiting);
    CHECK(world.dropped() == 0);
    CHECK(world.bytesSentPerSecond() <= kControlBytesPerSecond);
  }
  SUBCASE("while single rows are changed in quick succession") {
    world.write(kFirstRows + kGrowth);
    for (size_t change = 1; change <= 20; ++change) {
      world.run(kStormPause);
      world.write(kFirstRows + kGrowth, change);
    }
    world.run(kInForceBound);
    CHECK(world.inForceAfter());
    CHECK(world.mostWaiting() <= kMostWaiting);
    CHECK(world.dropped() == 0);
    CHECK(world.bytesSentPerSecond() <= kControlBytesPerSecond);
  }
  SUBCASE("when it grows again and single rows are changed, within the bound each time") {
    world.write(kFirstRows + kGrowth);
    world.run(std::chrono::seconds(4));
    world.write(kFirstRows + 2 * kGrowth);
    world.run(std::chrono::seconds(4));
    REQUIRE(world.inForceAfter());
    CHECK(toSeconds(*world.inForceAfter()) <= toSeconds(kInForceBound));
    for (size_t change = 1; change <= 4; ++change) {
      world.write(kFirstRows + 2 * kGrowth, change);
      world.run(kInForceBound);
      CHECK(world.inForceAfter());
    }
    CHECK(world.mostWaiting() <= kMostWaiting);
    CHECK(world.dropped() == 0);
    CHECK(world.bytesSentPerSecond() <= kControlBytesPerSecond);
  }
}

}  // namespace fernmoor::platform
