/// @file
/// Tests of src/membership/machine_list_role.h on virtual time.
#include "membership/machine_list_role.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Duration kSecond{1000000};

Time at(int64_t seconds) {
  return Time(kSecond * (1000 + seconds));
}

class TwoMembers : public MembershipView {
 public:
  explicit TwoMembers(uint32_t self) { self_.life = NodeLife{NodeId(self), Incarnation(1)}; }
  Member self() const override { return self_; }
  std::vector<Member> members() const override {
    Member first;
    first.life = NodeLife{NodeId(1), Incarnation(1)};
    Member second;
    second.life = NodeLife{NodeId(2), Incarnation(1)};
    return {first, second};
  }

 private:
  Member self_;
};

class KeptMessages : public MessageSender {
 public:
  void send(NodeId to, const proto::Envelope& envelope) override { messages.push_back(envelope); }
  std::vector<proto::Envelope> messages;
};

/// A role with what it heard.
struct Party {
  explicit Party(uint32_t self) : members(self) {}
  TwoMembers members;
  std::vector<Machine> heard;
  int changes = 0;
  KeptMessages sent;
  MachineListRole role{members,
                       [this](const std::vector<Machine>& machines) {
                         heard = machines;
                         ++changes;
                       },
                       Knobs{}, 1};

  /// Ticks until a question goes out; its receiver is drawn at random and may be itself.
  void askPeer(Time now) {
    while (sent.messages.empty()) {
      role.onTick(now, sent);
      now += kSecond;
    }
  }
  void take(const Party& from, Time now) {
    const NodeLife life = from.members.self().life;
    for (const proto::Envelope& message : from.sent.messages) {
      role.onMessage(life, message, now, sent);
    }
  }
};

Machine engineAt(uint16_t port) {
  Machine machine;
  machine.name = "engine" + std::to_string(port);
  machine.kind = MachineKind::kEngine;
  machine.address = SocketAddress{"127.0.0.1", port};
  return machine;
}

}  // namespace

TEST_CASE("a node without a list learns it from a peer, also while the platform is away") {
  Party old(1);
  Party restarted(2);
  old.role.onRead({engineAt(1), engineAt(2)}, at(0));
  restarted.askPeer(at(60));
  old.take(restarted, at(60));
  restarted.sent.messages.clear();
  restarted.take(old, at(60));
  REQUIRE(restarted.heard.size() == 2);
  CHECK(restarted.heard[1].address == SocketAddress{"127.0.0.1", 2});
  CHECK(restarted.role.age(at(60)) == 60 * kSecond);
}

TEST_CASE("an older list never replaces a newer one, and an equal one is not told again") {
  Party old(1);
  Party fresh(2);
  old.role.onRead({engineAt(1)}, at(0));
  fresh.role.onRead({engineAt(1), engineAt(2)}, at(10));
  fresh.askPeer(at(20));
  old.take(fresh, at(20));
  fresh.sent.messages.clear();
  fresh.take(old, at(20));
  CHECK(fresh.heard.size() == 2);
  CHECK(fresh.changes == 1);
  fresh.role.onRead({engineAt(1), engineAt(2)}, at(21));
  CHECK(fresh.changes == 1);
}

TEST_CASE("a fresh list is not asked for") {
  Party party(1);
  party.role.onRead({engineAt(1)}, at(0));
  for (int tick = 0; tick < 20; ++tick) {
    party.role.onTick(at(1), party.sent);
  }
  CHECK(party.sent.messages.empty());
}

}  // namespace fernmoor
