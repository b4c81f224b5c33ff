/// @file
/// Simulation of nodes with the claim roles on a virtual network and clock, with faults generated
/// from a seed, and callers that send and resend keys and count the runs. Used by tests only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "claim/claim_coordinator.h"
#include "claim/claim_replica.h"
#include "common/random.h"

namespace fernmoor {

struct ClaimWorldOptions {
  double lossProbability = 0.1;
  double duplicateProbability = 0.1;
  double lateProbability = 0.1;  ///< Of a message delayed by up to half a second.
  int crashes = 0;
  bool restartsAllNodes = false;  ///< All nodes lose their state at once.
  bool changesGroup = false;      ///< A second configuration reaches the nodes one at a time.
  int keys = 4;
  int sendsPerKey = 4;
};

struct ClaimWorldReport {
  int doubleRuns = 0;   ///< Runs of a key beyond the first.
  int falseNotRun = 0;  ///< "not run" reported for a key that had run, or its attempt ran later.
  int unresolved = 0;   ///< Sends without an outcome.
  int stuckKeys = 0;    ///< Keys that never ran and were not granted after the faults ended.
  int freshKeysRejected = 0;  ///< Keys created after the faults ended and not granted.
  int wrongAnswers = 0;       ///< A recorded answer of another key.
  int runs = 0;
  int recorded = 0;
};

class ClaimWorld {
 public:
  ClaimWorld(uint64_t seed, const ClaimWorldOptions& options, ClaimRules rules);
  ~ClaimWorld();

  /// Runs faults and callers, ends the faults, then resends every key and sends new ones.
  ClaimWorldReport run();

 private:
  struct Node;
  struct Send {
    ClaimKey key;
    bool isFinal = false;
  };
  class Sender;

  void at(Time time, std::function<void()> action);
  void runUntil(Time end);
  void deliver(NodeLife from, NodeId to, const proto::Envelope& envelope);
  void transmit(NodeLife from, NodeId to, const proto::Envelope& envelope);
  void tick(size_t index);
  void restart(size_t index);
  void configure(size_t index, const GroupConfiguration& configuration);
  GroupConfiguration makeConfiguration(uint64_t epoch, size_t first) const;
  void scheduleFaults();
  void scheduleSends();
  ClaimKey newKey();
  void send(size_t index, const ClaimKey& key, bool isFinal);
  void collect(size_t index);
  void onOutcome(size_t index, ClaimTicket ticket, const Send& send, const ClaimOutcome& outcome);
  void dispatch(size_t index, ClaimTicket ticket, const Send& send);
  Duration latency();

  ClaimWorldOptions options_;
  ClaimRules rules_;
  Random random_;
  Knobs knobs_;
  Time now_{};
  bool faulty_ = true;
  uint64_t sequence_ = 0;
  std::map<std::pair<Time, uint64_t>, std::function<void()>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  GroupConfiguration newest_;
  std::map<ClaimKey, int> runs_;
  std::map<ClaimKey, int> finalGrants_;
  int openSends_ = 0;
  ClaimWorldReport report_;
};

}  // namespace fernmoor
