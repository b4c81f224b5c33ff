/// @file
/// Statements about members to and from protobuf, with the bounds on what strangers may send.
#pragma once

#include <cstddef>
#include <optional>

#include "membership.pb.h"
#include "membership/member_status.h"

namespace fernmoor {

/// Longest name or host that is taken in, in bytes.
constexpr int kMaximumMemberNameBytes = 64;

/// Writes a statement, with its identity if there is one.
void encodeStatement(const MemberStatement& statement, proto::MemberUpdate& update);
/// @return the statement, or none if it breaks a bound.
std::optional<MemberStatement> decodeStatement(const proto::MemberUpdate& update);
/// @return bytes that the update takes inside a message.
size_t encodedBytes(const proto::MemberUpdate& update);

}  // namespace fernmoor
