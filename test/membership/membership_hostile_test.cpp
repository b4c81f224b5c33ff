/// @file
/// Tests of src/membership/membership_role.h against messages that no role would send.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "common/random.h"
#include "membership/member_codec.h"
#include "membership/membership_role.h"

namespace fernmoor {
namespace {

const NodeLife kSelf{NodeId(1), Incarnation(100)};
const Time kStart(std::chrono::hours(1));
constexpr uint32_t kNodes = 12;

/// Keeps what was sent.
class RecordingSender : public MessageSender {
 public:
  void send(NodeId, const proto::Envelope& envelope) override {
    bytes.push_back(envelope.ByteSizeLong());
    if (samples.size() < kSamples) {
      samples.push_back(envelope.SerializeAsString());
    }
  }
  static constexpr size_t kSamples = 100;
  std::vector<size_t> bytes;
  std::vector<std::string> samples;
};

proto::Envelope introductionOf(uint32_t node) {
  proto::Envelope envelope;
  proto::MembershipMessage& message = *envelope.mutable_membership();
  message.mutable_gossip();
  MemberStatement statement;
  statement.status.life = NodeLife{NodeId(node), Incarnation(100)};
  statement.identity = MemberIdentity{ZoneId("a"), RegionId("r"), {"10.0.0.2", 1}, {}};
  encodeStatement(statement, *message.add_updates());
  return envelope;
}

MembershipSettings settingsOf(const Knobs& knobs) {
  MembershipSettings settings;
  settings.self.life = kSelf;
  settings.knobs = knobs;
  return settings;
}

}  // namespace

TEST_CASE("cut and changed bytes neither crash the role nor remove it from its own view") {
  Random random(1);
  RecordingSender sender;
  MembershipRole role(settingsOf(Knobs{}));
  Time now = kStart;
  for (uint32_t node = 2; node <= kNodes; ++node) {
    role.onMessage({NodeId(node), Incarnation(100)}, introductionOf(node), now, sender);
  }
  for (int tick = 0; tick < 200; ++tick) {
    now += std::chrono::milliseconds(50);
    role.onTick(now, sender);
  }
  REQUIRE(sender.samples.size() == RecordingSender::kSamples);
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = sender.samples[random.below(sender.samples.size())];
    for (uint64_t change = random.below(4); change > 0; --change) {
      bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    }
    bytes.resize(random.chance(0.2) ? random.below(bytes.size()) : bytes.size());
    proto::Envelope envelope;
    if (envelope.ParseFromString(bytes)) {
      const NodeLife from{NodeId(static_cast<uint32_t>(2 + random.below(kNodes))),
                          Incarnation(100)};
      role.onMessage(from, envelope, now, sender);
    }
    now += std::chrono::milliseconds(5);
    role.onTick(now, sender);
  }
  CHECK(role.self().life == kSelf);
  CHECK(role.snapshot()->members.size() <= static_cast<size_t>(Knobs{}.membershipMaximumMembers));
}

TEST_CASE("no message is longer than a datagram, with hundreds of members and a report") {
  Knobs knobs;
  RecordingSender sender;
  MembershipRole role(settingsOf(knobs));
  for (uint32_t node = 2; node <= 800; node += 2) {
    role.onMessage({NodeId(node), Incarnation(100)}, introductionOf(node), kStart, sender);
  }
  role.setLocalTableVersion(TableVersion(3));
  proto::Envelope ask;
  proto::MembershipSyncRequest& request = *ask.mutable_membership()->mutable_sync_request();
  for (size_t bucket = 0; bucket < MemberTable::kBuckets; ++bucket) {
    request.add_bucket_hashes(0);
  }
  Time now = kStart;
  for (int tick = 0; tick < 100; ++tick) {
    now += std::chrono::milliseconds(50);
    role.onTick(now, sender);
    proto::Envelope heartbeat;
    heartbeat.mutable_membership()->mutable_gossip();
    heartbeat.mutable_membership()->set_table_version(3);
    const NodeLife from{NodeId(static_cast<uint32_t>(2 + 4 * tick)), Incarnation(100)};
    role.onMessage(from, heartbeat, now, sender);
    role.onMessage(from, ask, now, sender);
  }
  size_t longest = 0;
  for (const size_t bytes : sender.bytes) {
    longest = std::max(longest, bytes);
  }
  // The envelope's sender and the tag come on top.
  constexpr size_t kSenderAndTagBytes = 40;
  CHECK(longest + kSenderAndTagBytes <= static_cast<size_t>(knobs.maxDatagramBytes));
  CHECK(longest > 900);
}

TEST_CASE("a statement that breaks a bound is rejected and counted") {
  RecordingSender sender;
  MembershipRole role(settingsOf(Knobs{}));
  proto::Envelope envelope = introductionOf(2);
  proto::MemberUpdate& update = *envelope.mutable_membership()->mutable_updates(0);
  SUBCASE("a long name") {
    update.mutable_identity()->set_zone(std::string(65, 'z'));
  }
  SUBCASE("a name that would break a line of the log") {
    update.mutable_identity()->set_peer_host("10.0.0.2\n10.0.0.3");
  }
  SUBCASE("a port that is none") {
    update.mutable_identity()->set_peer_port(65536);
  }
  SUBCASE("a sequence near its end") {
    update.set_sequence(4294967295U);
  }
  SUBCASE("a health that is none") {
    update.set_health(static_cast<proto::MemberHealth>(9));
  }
  SUBCASE("node id zero") {
    update.set_node_id(0);
  }
  role.onMessage({NodeId(2), Incarnation(100)}, envelope, kStart, sender);
  CHECK(role.counters().statementsRejected == 1);
  CHECK(role.members().size() == 1);
}

}  // namespace fernmoor
