/// @file
/// Tests of src/claim/claim_service.h, and of rejections that need no faults.
#include "claim/claim_service.h"

#include <doctest/doctest.h>

#include <chrono>

namespace fernmoor {

namespace {

constexpr int64_t kWall = 1700000000000000;
const NodeLife kSelf{NodeId(1), Incarnation(5)};

class NoSender : public MessageSender {
 public:
  void send(NodeId, const proto::Envelope&) override { ++sent; }
  int sent = 0;
};

class RecordingSender : public MessageSender {
 public:
  void send(NodeId, const proto::Envelope& envelope) override { messages.push_back(envelope); }
  std::vector<proto::Envelope> messages;
};

GroupConfiguration configurationOf(const std::vector<GroupMember>& members) {
  GroupConfiguration configuration;
  configuration.epoch = 1;
  configuration.members = members;
  return configuration;
}

ClaimKey keyBornAt(int64_t wallMicroseconds) {
  return valueOf(
      parseClaimKey(TenantId("t"), ServiceId("s"), mintClaimKeyText(wallMicroseconds, 1)));
}

/// A node that is the only replica.
struct Alone {
  Knobs knobs;
  NoSender sender;
  ClaimService service{kSelf, kWall, knobs, 1};
  Alone() {
    service.setGroupConfiguration(
        configurationOf({GroupMember{kSelf.node, kSelf.incarnation, ZoneId("a")}}), Time(), sender);
  }
  ClaimOutcome begin(const ClaimKey& key, uint64_t digest) {
    PendingClaim pending = service.begin(key, digest, Time(), sender);
    ticket = pending.ticket;
    REQUIRE(pending.outcome.wait_for(std::chrono::seconds(0)) == std::future_status::ready);
    return pending.outcome.get();
  }
  ClaimTicket ticket;
};

bool isReady(std::future<bool>& future) {
  return future.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

}  // namespace

TEST_CASE("a resend gets the recorded answer, another request under the key a conflict") {
  Alone node;
  const ClaimKey key = keyBornAt(kWall);
  REQUIRE(std::holds_alternative<ClaimGranted>(node.begin(key, 1)));
  const ClaimTicket first = node.ticket;
  CHECK(std::holds_alternative<ClaimBusy>(node.begin(key, 1)));
  std::future<bool> recorded = node.service.complete(
      first, ClaimAnswer{200, "text/plain", "receipt", false}, Time(), node.sender);
  REQUIRE(isReady(recorded));
  CHECK(recorded.get());
  const ClaimOutcome resend = node.begin(key, 1);
  REQUIRE(std::holds_alternative<ClaimRecorded>(resend));
  CHECK(std::get<ClaimRecorded>(resend).answer.body == "receipt");
  const ClaimOutcome other = node.begin(key, 2);
  REQUIRE(std::holds_alternative<Error>(other));
  CHECK(std::get<Error>(other).kind == ErrorKind::kConflict);
  CHECK(std::get<Error>(other).runState == RunState::kNotRun);
}

TEST_CASE("a released claim can be granted again") {
  Alone node;
  const ClaimKey key = keyBornAt(kWall);
  REQUIRE(std::holds_alternative<ClaimGranted>(node.begin(key, 1)));
  node.service.release(node.ticket, Time(), node.sender);
  CHECK(std::holds_alternative<ClaimGranted>(node.begin(key, 1)));
}

TEST_CASE("an answer that is too large is recorded as run") {
  Alone node;
  const ClaimKey key = keyBornAt(kWall);
  REQUIRE(std::holds_alternative<ClaimGranted>(node.begin(key, 1)));
  const std::string large(static_cast<size_t>(node.knobs.claimMaximumAnswerBytes) + 1, 'x');
  node.service.complete(node.ticket, ClaimAnswer{200, "text/plain", large, false}, Time(),
                        node.sender);
  const ClaimOutcome resend = node.begin(key, 1);
  REQUIRE(std::holds_alternative<Error>(resend));
  CHECK(std::get<Error>(resend).runState == RunState::kRan);
}

TEST_CASE("a key from the future is rejected, as not run only where no node would accept it") {
  Alone node;
  const int64_t skew = node.knobs.claimClockSkew.count();
  const ClaimOutcome far = node.begin(keyBornAt(kWall + 10 * skew), 1);
  REQUIRE(std::holds_alternative<Error>(far));
  CHECK(std::get<Error>(far).runState == RunState::kNotRun);
  const ClaimOutcome near = node.begin(keyBornAt(kWall + 2 * skew), 1);
  REQUIRE(std::holds_alternative<Error>(near));
  CHECK(std::get<Error>(near).runState == RunState::kUnknown);
  CHECK(std::get<Error>(near).retryAfter.has_value());
}

TEST_CASE("without replicas a claim is rejected at once, without an answer at the timeout") {
  NoSender sender;
  const Knobs knobs;
  ClaimService service(kSelf, kWall, knobs, 1);
  PendingClaim none = service.begin(keyBornAt(kWall), 1, Time(), sender);
  const ClaimOutcome rejected = none.outcome.get();
  CHECK(std::get<Error>(rejected).kind == ErrorKind::kUnavailable);
  CHECK(std::get<Error>(rejected).retryAfter.has_value());

  service.setGroupConfiguration(
      configurationOf({GroupMember{NodeId(2), Incarnation(1), ZoneId("a")},
                       GroupMember{NodeId(3), Incarnation(1), ZoneId("b")}}),
      Time(), sender);
  PendingClaim lost = service.begin(keyBornAt(kWall), 1, Time(), sender);
  CHECK(sender.sent == 2);
  service.onTick(Time() + knobs.claimTimeout, sender);
  const ClaimOutcome late = lost.outcome.get();
  CHECK(std::get<Error>(late).runState == RunState::kUnknown);
}

TEST_CASE("a replica takes a release from the attempt's own dispatcher only") {
  Knobs knobs;
  ClaimReplica replica(kSelf, kWall, knobs);
  replica.setGroupConfiguration(
      configurationOf({GroupMember{kSelf.node, kSelf.incarnation, ZoneId("a")}}), Time());
  const ClaimKey key = keyBornAt(kWall);
  const NodeLife author{NodeId(2), Incarnation(1)};
  RecordingSender sender;
  proto::Envelope claim;
  proto::ClaimRequest& request = *claim.mutable_claim()->mutable_claim();
  *request.mutable_key() = toProto(key);
  *request.mutable_attempt() = toProto(ClaimAttempt{author, 1});
  request.set_epoch(1);
  replica.onMessage(author, claim, Time(), sender);
  REQUIRE(replica.find(key) != nullptr);
  proto::Envelope release;
  *release.mutable_claim()->mutable_release()->mutable_key() = toProto(key);
  *release.mutable_claim()->mutable_release()->mutable_attempt() = toProto(ClaimAttempt{author, 1});
  const size_t before = sender.messages.size();
  replica.onMessage(NodeLife{NodeId(3), Incarnation(1)}, release, Time(), sender);
  CHECK(sender.messages.size() == before);
  CHECK(replica.find(key)->state == RecordState::kClaimed);
  replica.onMessage(author, release, Time(), sender);
  CHECK(replica.find(key)->state == RecordState::kUnclaimed);
}

TEST_CASE("records are limited in number and removed after the retention time") {
  Knobs knobs;
  knobs.claimMaximumRecords = 16;
  ClaimStore store(knobs);
  for (int64_t number = 0; number < 40; ++number) {
    ClaimRecord* record = store.findOrAdd(valueOf(parseClaimKey(
        TenantId("t"), ServiceId("s"), mintClaimKeyText(kWall, static_cast<uint64_t>(number)))));
    CHECK((record != nullptr) == (number < knobs.claimMaximumRecords));
    if (record != nullptr) {
      store.keepAnswer(*record, ClaimAnswer{200, "text/plain", "12345", false});
    }
  }
  CHECK(store.storedBytes() == 80);
  store.pruneBornBefore(kWall + 1000);
  CHECK(store.records().empty());
  CHECK(store.storedBytes() == 0);
  CHECK(store.isOlderThanFloor(keyBornAt(kWall)));
}

}  // namespace fernmoor
