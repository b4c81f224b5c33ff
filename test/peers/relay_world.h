/// @file
/// Test fixture with the mirror roles of several nodes, whose messages the test delivers.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>

#include "peers/mirror_role.h"

namespace fernmoor::peers::test {

/// A message that was sent and is not delivered yet.
struct QueuedMessage {
  NodeId from;
  NodeId to;
  proto::Envelope envelope;
};

/// Nodes that know each other, a clock, and a queue of messages that the test delivers.
class RelayWorld {
 public:
  struct Node {
    Node(NodeId id, const RelayWorld& world, Time startedAt)
        : mirror([this](MirrorKind, const std::vector<MirrorEntry>& entries,
                        bool) { receivedEntries += entries.size(); },
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
        world_.messages_.push_back(QueuedMessage{from_, to, envelope});
      }

      size_t waiting = 0;  ///< Bytes that wait to be sent.

     private:
      NodeId from_;
      const RelayWorld& world_;
    };

    size_t receivedEntries = 0;
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

  /// Limits what a node knows to itself and the first `others` other nodes.
  void knowOnly(uint64_t id, uint64_t others) {
    auto known = std::make_shared<MembershipSnapshot>();
    known->self.node = NodeId(id);
    for (const Member& member : snapshot_->members) {
      const bool isSelf = member.life.node == NodeId(id);
      if (isSelf || others > 0) {
        known->members.push_back(member);
        others -= isSelf ? 0 : 1;
      }
    }
    node(id).role.setMembers(known);
  }
  /// All nodes learn that these reach no engine.
  void setReachesNoEngine(const std::set<uint64_t>& ids) {
    for (auto& node : nodes_) {
      auto known = std::make_shared<MembershipSnapshot>(*snapshot_);
      known->self.node = NodeId(node.first);
      for (Member& member : known->members) {
        member.reachesNoEngine = ids.count(member.life.node.value()) > 0;
      }
      node.second.role.setMembers(known);
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
  /// @return the greatest age of the last confirmed read of the rows at any node; none if a node
  /// has no confirmed read.
  std::optional<Duration> greatestReadAge() const {
    Duration oldest(0);
    for (const auto& entry : nodes_) {
      const std::optional<Time> readAt = entry.second.mirror.confirmedAt(MirrorKind::kRows);
      if (!readAt) {
        return std::nullopt;
      }
      oldest = std::max(oldest, now - *readAt);
    }
    return oldest;
  }
  /// Advances the time in steps of a tick; the store answers reads every 0.6 s.
  /// @param read performs the reads of each of these intervals.
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
  Node& findNonReader() {
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
  /// Applies a read of the store at each node with the duty kFallback.
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
  /// Delivers all queued messages and those sent in response, each after a delay.
  void deliver(Duration delay = Duration(1000)) {
    while (!messages_.empty()) {
      const QueuedMessage message = messages_.front();
      messages_.pop_front();
      now += delay;
      if (lost.count(message.to) > 0) {
        continue;
      }
      Node& to = node(message.to.value());
      to.role.onMessage(NodeLife{message.from, Incarnation(1)}, message.envelope, now, to.sender);
    }
  }

  Time now{std::chrono::seconds(100)};
  std::set<NodeId> lost;     ///< Nodes to which no message is delivered.
  size_t fallbackReads = 0;  ///< Reads by nodes with the duty kFallback.
  mutable size_t pulls = 0;  ///< Requests for all entries that the sender lacks.

 private:
  mutable std::deque<QueuedMessage> messages_;
  std::map<uint64_t, Node> nodes_;
  std::shared_ptr<const MembershipSnapshot> snapshot_;
};

}  // namespace fernmoor::peers::test
