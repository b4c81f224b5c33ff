/// @file
/// Tells peers the number of the version in force: at once in a few rounds when it is new, and to
/// one random peer now and then for whoever missed that.
#pragma once

#include "common/knobs.h"
#include "common/message_sender.h"
#include "common/random.h"
#include "table/table_peers.h"

namespace fernmoor {

/// Not thread-safe.
class TableAnnouncer {
 public:
  /// @param peers,random outlive the announcer.
  TableAnnouncer(const Knobs& knobs, const TablePeers& peers, Random& random)
      : knobs_(knobs), peers_(peers), random_(random) {}

  /// Starts the rounds for a version that has just come in force.
  void onNewVersion(TableVersion version, Time now, MessageSender& sender);
  /// Does what is due.
  void onTick(TableVersion version, Time now, MessageSender& sender);

 private:
  void sendRound(TableVersion version, Time now, MessageSender& sender);
  void gossip(TableVersion version, Time now, MessageSender& sender);

  Knobs knobs_;
  const TablePeers& peers_;
  Random& random_;
  int64_t roundsLeft_ = 0;
  Time nextRound_;
  Time nextGossip_;
  bool gossipsFar_ = false;  ///< Whether the last gossip went to another zone.
};

}  // namespace fernmoor
