/// @file
/// Conversions between the claim types and their messages. Input from other nodes is
/// validated: a key that does not parse yields no value.
#pragma once

#include <map>
#include <optional>

#include "claim.pb.h"
#include "claim/claim_key.h"
#include "claim/claim_record.h"
#include "common/ids.h"
#include "common/role.h"

namespace fernmoor {

/// Crash vector: the latest incarnation of each node that one node knows of.
using CrashVector = std::map<NodeId, Incarnation>;

/// Raises an entry; never lowers it.
void raiseIncarnation(CrashVector& vector, const NodeLife& identity);
/// @return the known incarnation of a node, 0 if none.
Incarnation knownIncarnation(const CrashVector& vector, NodeId node);

proto::NodeLife toProto(const NodeLife& identity);
NodeLife fromProto(const proto::NodeLife& message);
proto::ClaimKeyMessage toProto(const ClaimKey& key);
std::optional<ClaimKey> fromProto(const proto::ClaimKeyMessage& message);
proto::ClaimAttemptMessage toProto(const ClaimAttempt& attempt);
ClaimAttempt fromProto(const proto::ClaimAttemptMessage& message);
proto::ClaimAnswerMessage toProto(const ClaimAnswer& answer);
ClaimAnswer fromProto(const proto::ClaimAnswerMessage& message);
/// @param now converts the time of the claim to an age, since the clocks of nodes are unrelated.
proto::ClaimRecordMessage toProto(const ClaimKey& key, const ClaimRecord& record, Time now);
ClaimRecord fromProto(const proto::ClaimRecordMessage& message, Time now);

}  // namespace fernmoor
