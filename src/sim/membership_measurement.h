/// @file
/// What membership costs and how fast it is, on hollow nodes under virtual time.
#pragma once

#include <cstdint>
#include <string>

#include "sim/membership_cluster.h"

namespace fernmoor::sim {

/// Seconds at which half, 99 in 100 and all of a set of observations had come in; negative if they
/// did not within the run.
struct SpreadTimes {
  double half = -1;
  double most = -1;
  double all = -1;
};

/// One run's figures. Bytes count serialized envelopes plus SimulatedNetwork::kOverheadBytes each;
/// seconds are virtual, except processor time.
struct MembershipMeasurement {
  uint32_t nodes = 0;
  uint32_t zones = 0;
  uint64_t seed = 0;
  double joinSeconds = -1;           ///< All nodes started at once, until all agree.
  double joinBytesPerNode = 0;       ///< Sent until then.
  double idleSeconds = 0;            ///< Length of the idle phase that the next lines are from.
  double idleMessagesPerSecond = 0;  ///< Sent by a node, mean.
  double idleBytesPerSecond = 0;     ///< Sent by a node, mean.
  double idleBusiestPerSecond = 0;   ///< Sent by the node that sent most.
  double cpuMicrosecondsPerSecond =
      0;                         ///< Processor time of a node in a second, simulator included.
  uint64_t falseSuspicions = 0;  ///< While no node had failed.
  uint64_t falseDeaths = 0;
  SpreadTimes versionSeen;         ///< A new table version, until nodes know of it.
  SpreadTimes versionConfirmed;    ///< Until nodes know that every node has it in force.
  double versionBytesPerNode = 0;  ///< Sent because of it, beyond the idle rate.
  SpreadTimes drainSeen;           ///< A node starts to drain, until the others hold it so.
  SpreadTimes suspected;           ///< Crashes, until the others hold the node suspect or dead.
  SpreadTimes dead;                ///< Crashes, until the others hold the node dead.
  double processorSeconds = 0;     ///< Of the whole run.
  double virtualSeconds = 0;       ///< Length of the whole run.
};

/// Starts `nodes` nodes in `zones` zones of two regions (one region below four zones), lets them
/// idle for `seconds`, changes the table version, drains a node and crashes nodes.
MembershipMeasurement measureMembership(uint32_t nodes, uint32_t zones, uint32_t seconds,
                                        uint64_t seed);
/// The same with given knobs, network and so on.
MembershipMeasurement measureMembership(const MembershipClusterSettings& settings,
                                        uint32_t seconds);

/// @return the figures as lines of text.
std::string toText(const MembershipMeasurement& measurement);

}  // namespace fernmoor::sim
