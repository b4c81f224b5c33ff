/// @file
/// Tests of crash vectors: answers of an earlier incarnation of a replica are discarded once
/// another replica has answered with knowledge of its next incarnation.
#include <doctest/doctest.h>

#include "claim/claim_coordinator.h"
#include "claim/state_transfer.h"

namespace fernmoor {

namespace {

constexpr int64_t kWall = 1700000000000000;
const NodeLife kSelf{NodeId(9), Incarnation(1)};
const NodeLife kEarlier{NodeId(3), Incarnation(1)};
const NodeLife kNext{NodeId(3), Incarnation(2)};

class NoSender : public MessageSender {
 public:
  void send(NodeId, const proto::Envelope&) override {}
};

/// Two votes: one of the earlier incarnation of node 3, one of node 1, which knows the next one.
bool isGrantedByVotesOfTwoIncarnations(const ClaimRules& rules) {
  NoSender sender;
  ClaimCoordinator coordinator(kSelf, kWall, Knobs{}, 1, rules);
  GroupConfiguration configuration;
  configuration.epoch = 1;
  for (uint32_t node = 1; node <= 3; ++node) {
    configuration.members.push_back(GroupMember{NodeId(node), Incarnation(1), ZoneId("a")});
  }
  coordinator.setGroupConfiguration(configuration, Time(), sender);
  const ClaimKey key =
      valueOf(parseClaimKey(TenantId("t"), ServiceId("s"), mintClaimKeyText(kWall, 1)));
  coordinator.begin(key, 1, Time(), sender);
  const auto vote = [&](const NodeLife& from, const NodeLife& knows) {
    proto::Envelope envelope;
    proto::ClaimReply& reply = *envelope.mutable_claim()->mutable_claim_reply();
    *reply.mutable_key() = toProto(key);
    *reply.mutable_attempt() = toProto(ClaimAttempt{kSelf, 1});
    reply.set_epoch(1);
    reply.set_verdict(proto::CLAIM_VERDICT_GRANTED);
    *reply.add_crash_vector() = toProto(knows);
    coordinator.onMessage(from, envelope, Time(), sender);
  };
  vote(kEarlier, kEarlier);
  vote(NodeLife{NodeId(1), Incarnation(1)}, kNext);
  return !coordinator.takeResolutions().empty();
}

size_t missingAfterAnswersOfTwoIncarnations(const ClaimRules& rules) {
  StateTransfer transfer(1, 1, {NodeId(1), NodeId(3)}, {}, rules);
  const auto answer = [&](const NodeLife& from, const NodeLife& knows) {
    proto::ClaimTransferReply reply;
    reply.set_source_epoch(1);
    reply.set_target_epoch(1);
    reply.set_status(proto::CLAIM_TRANSFER_STATUS_WITH_STATE);
    reply.set_last_page(true);
    *reply.add_crash_vector() = toProto(knows);
    transfer.onReply(from, reply, Time());
  };
  answer(kEarlier, kEarlier);
  answer(NodeLife{NodeId(1), Incarnation(1)}, kNext);
  return transfer.missingState();
}

}  // namespace

TEST_CASE("a vote of an earlier incarnation is not counted with one cast after its restart") {
  CHECK_FALSE(isGrantedByVotesOfTwoIncarnations(ClaimRules{}));
  ClaimRules rules;
  rules.crashVectors = false;
  CHECK(isGrantedByVotesOfTwoIncarnations(rules));
}

TEST_CASE("records of an earlier incarnation are requested again") {
  CHECK(missingAfterAnswersOfTwoIncarnations(ClaimRules{}) == 1);
  ClaimRules rules;
  rules.crashVectors = false;
  CHECK(missingAfterAnswersOfTwoIncarnations(rules) == 0);
}

}  // namespace fernmoor
