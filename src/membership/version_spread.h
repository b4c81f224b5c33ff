/// @file
/// Spreads the newest table version that is in force anywhere, and which members have it in force.
///
/// The set of those members is a growing set merged by union, so that one message tells of hundreds
/// of members; passing on one update for each member and change would cost n times as much.
#pragma once

#include <cstdint>

#include "common/ids.h"
#include "membership.pb.h"
#include "membership/member_table.h"

namespace fernmoor {

/// Not thread-safe.
class VersionSpread {
 public:
  /// @return the highest version known to be in force on any node; it never falls.
  TableVersion newest() const { return newest_; }
  /// @return a node that reported it.
  NodeId holder() const { return holder_; }

  /// Takes the version that a node has in force, by its own word or another's. News starts rounds
  /// of gossip.
  /// @param rounds of gossip in which this is passed on.
  void noteInForce(NodeId node, TableVersion version, int64_t rounds);

  /// Starts rounds of reports, because the set of members that have the newest version grew.
  void noteSetGrew(int64_t rounds) { reportRounds_ = rounds; }

  bool newsPending() const { return newsRounds_ > 0; }
  bool reportPending() const { return reportRounds_ > 0; }
  /// Notes that one round was sent.
  void noteRound();

  /// Writes the set of live members that have the newest version in force.
  void encodeReport(const MemberTable& table, proto::VersionReport& report) const;
  /// Applies a report. A report that names unknown incarnations is ignored as a whole.
  /// @return whether it named a member with the newest version that was not known to have it.
  bool applyReport(const proto::VersionReport& report, MemberTable& table) const;

 private:
  TableVersion newest_;
  NodeId holder_;
  int64_t newsRounds_ = 0;
  int64_t reportRounds_ = 0;
};

}  // namespace fernmoor
