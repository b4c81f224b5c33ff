/// @file
/// Conversions between the claim types and their messages. What comes from outside is checked:
/// a key that does not parse yields no value.
#pragma once

#include <map>
#include <optional>

#include "claim.pb.h"
#include "claim/claim_key.h"
#include "claim/claim_record.h"
#include "common/ids.h"
#include "common/role.h"

namespace fernmoor {

/// Lives of nodes as one node knows them: a crash vector.
using CrashVector = std::map<NodeId, Incarnation>;

/// Raises an entry; never lowers it.
void raiseLife(CrashVector& vector, const NodeLife& life);
/// @return the life known of a node, 0 if none.
Incarnation knownLife(const CrashVector& vector, NodeId node);

proto::NodeLife toProto(const NodeLife& life);
NodeLife fromProto(const proto::NodeLife& message);
proto::ClaimKeyMessage toProto(const ClaimKey& key);
std::optional<ClaimKey> fromProto(const proto::ClaimKeyMessage& message);
proto::ClaimAttemptMessage toProto(const ClaimAttempt& attempt);
ClaimAttempt fromProto(const proto::ClaimAttemptMessage& message);
proto::ClaimAnswerMessage toProto(const ClaimAnswer& answer);
ClaimAnswer fromProto(const proto::ClaimAnswerMessage& message);
/// @param now turns the instant of the claim into an age, since clocks of nodes are unrelated.
proto::ClaimRecordMessage toProto(const ClaimKey& key, const ClaimRecord& record, Time now);
ClaimRecord fromProto(const proto::ClaimRecordMessage& message, Time now);

}  // namespace fernmoor
