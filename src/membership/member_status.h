/// @file
/// Statements of members about each other, and which of two statements takes precedence.
#pragma once

#include <cstdint>
#include <optional>

#include "common/role.h"
#include "membership/member.h"

namespace fernmoor {

/// Believed health of one incarnation of a member; for the same sequence the later enumerator wins.
enum class MemberHealth : uint8_t {
  kAlive,
  kSuspect,
  kDead,
  kLeft,  ///< Announced by the member itself when it stops; no suspicion precedes it.
};

/// What can change within one incarnation of a member.
struct MemberStatus {
  NodeLife life;
  uint32_t sequence = 0;  ///< Raised by the member alone.
  MemberHealth health = MemberHealth::kAlive;
  bool draining = false;
  TableVersion tableVersion;     ///< Last known in force there; never falls in an incarnation.
  bool reachesNoEngine = false;  ///< Stated by the member itself.
};

/// What does not change within one incarnation of a member.
struct MemberIdentity {
  ZoneId zone;
  RegionId region;
  SocketAddress peerAddress;
  SocketAddress httpAddress;
  uint32_t linkMegabits = 0;  ///< Bandwidth of its own link in Mbit/s; 0: unknown.
};

/// A statement about one incarnation of one member, as it is forwarded.
struct MemberStatement {
  MemberStatus status;
  std::optional<MemberIdentity> identity;  ///< Absent if receivers know the incarnation.
};

/// Order of statements about one node: by incarnation, then sequence, then health. (The order of
/// SWIM with one change: a greater sequence also overrides "dead", so that a node which was only
/// paused or cut off returns in the same incarnation.)
/// @return whether `candidate` replaces `held`.
inline bool overrides(const MemberStatus& candidate, const MemberStatus& held) {
  if (candidate.life.incarnation != held.life.incarnation) {
    return candidate.life.incarnation > held.life.incarnation;
  }
  if (candidate.sequence != held.sequence) {
    return candidate.sequence > held.sequence;
  }
  return candidate.health > held.health;
}

/// @return whether the member still takes part: alive, suspect or draining.
inline bool isLive(MemberHealth health) {
  return health == MemberHealth::kAlive || health == MemberHealth::kSuspect;
}

/// @return the state that other modules see.
inline MemberState stateOf(const MemberStatus& status) {
  if (!isLive(status.health)) {
    return MemberState::kDead;
  }
  if (status.health == MemberHealth::kSuspect) {
    return MemberState::kSuspect;
  }
  return status.draining ? MemberState::kDraining : MemberState::kAlive;
}

}  // namespace fernmoor
