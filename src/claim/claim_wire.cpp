#include "claim/claim_wire.h"

#include <algorithm>

namespace fernmoor {

namespace {

constexpr uint64_t kMaximumAgeMilliseconds = 7ULL * 24 * 3600 * 1000;

uint64_t ageMilliseconds(Time since, Time now) {
  const auto age = duration_cast<std::chrono::milliseconds>(now - since).count();
  return static_cast<uint64_t>(std::max<int64_t>(0, age));
}

RecordState stateFromProto(proto::ClaimRecordState state) {
  switch (state) {
    case proto::CLAIM_RECORD_STATE_CLAIMED:
      return RecordState::kClaimed;
    case proto::CLAIM_RECORD_STATE_COMPLETED:
      return RecordState::kCompleted;
    case proto::CLAIM_RECORD_STATE_VOIDED:
      return RecordState::kVoided;
    default:
      return RecordState::kUnclaimed;
  }
}

proto::ClaimRecordState stateToProto(RecordState state) {
  switch (state) {
    case RecordState::kClaimed:
      return proto::CLAIM_RECORD_STATE_CLAIMED;
    case RecordState::kCompleted:
      return proto::CLAIM_RECORD_STATE_COMPLETED;
    case RecordState::kVoided:
      return proto::CLAIM_RECORD_STATE_VOIDED;
    case RecordState::kUnclaimed:
      break;
  }
  return proto::CLAIM_RECORD_STATE_UNCLAIMED;
}

}  // namespace

void raiseIncarnation(CrashVector& vector, const NodeLife& identity) {
  Incarnation& known = vector[identity.node];
  known = std::max(known, identity.incarnation);
}

Incarnation knownIncarnation(const CrashVector& vector, NodeId node) {
  const auto found = vector.find(node);
  return found == vector.end() ? Incarnation{} : found->second;
}

proto::NodeLife toProto(const NodeLife& identity) {
  proto::NodeLife message;
  message.set_node_id(identity.node.value());
  message.set_incarnation(identity.incarnation.value());
  return message;
}

NodeLife fromProto(const proto::NodeLife& message) {
  return NodeLife{NodeId(message.node_id()), Incarnation(message.incarnation())};
}

proto::ClaimKeyMessage toProto(const ClaimKey& key) {
  proto::ClaimKeyMessage message;
  message.set_tenant(key.tenant.value());
  message.set_service(key.service.value());
  message.set_text(key.text);
  return message;
}

std::optional<ClaimKey> fromProto(const proto::ClaimKeyMessage& message) {
  Result<ClaimKey> key =
      parseClaimKey(TenantId(message.tenant()), ServiceId(message.service()), message.text());
  if (!isOk(key)) {
    return std::nullopt;
  }
  return valueOf(std::move(key));
}

proto::ClaimAttemptMessage toProto(const ClaimAttempt& attempt) {
  proto::ClaimAttemptMessage message;
  *message.mutable_dispatcher() = toProto(attempt.dispatcher);
  message.set_number(attempt.number);
  return message;
}

ClaimAttempt fromProto(const proto::ClaimAttemptMessage& message) {
  return ClaimAttempt{fromProto(message.dispatcher()), message.number()};
}

proto::ClaimAnswerMessage toProto(const ClaimAnswer& answer) {
  proto::ClaimAnswerMessage message;
  message.set_http_status(answer.httpStatus);
  message.set_content_type(answer.contentType);
  message.set_body(answer.body);
  message.set_dropped(answer.dropped);
  return message;
}

ClaimAnswer fromProto(const proto::ClaimAnswerMessage& message) {
  return ClaimAnswer{message.http_status(), message.content_type(), message.body(),
                     message.dropped()};
}

proto::ClaimRecordMessage toProto(const ClaimKey& key, const ClaimRecord& record, Time now) {
  proto::ClaimRecordMessage message;
  *message.mutable_key() = toProto(key);
  message.set_state(stateToProto(record.state));
  *message.mutable_attempt() = toProto(record.holder);
  message.set_digest(record.digest);
  message.set_age_milliseconds(ageMilliseconds(record.since, now));
  *message.mutable_answer() = toProto(record.answer);
  for (const ClaimAttempt& attempt : record.released) {
    *message.add_released() = toProto(attempt);
  }
  return message;
}

ClaimRecord fromProto(const proto::ClaimRecordMessage& message, Time now) {
  ClaimRecord record;
  record.state = stateFromProto(message.state());
  record.holder = fromProto(message.attempt());
  record.digest = message.digest();
  const uint64_t age = std::min(message.age_milliseconds(), kMaximumAgeMilliseconds);
  record.since = now - std::chrono::milliseconds(age);
  record.answer = fromProto(message.answer());
  for (const proto::ClaimAttemptMessage& attempt : message.released()) {
    record.addTombstone(fromProto(attempt));
  }
  return record;
}

}  // namespace fernmoor
