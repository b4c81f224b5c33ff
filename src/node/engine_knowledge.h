/// @file
/// What this node knows of engines for one prompt: the owners' answers to a short question, and
/// the memory of what it sent where itself.
#pragma once

#include <vector>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "common/message_sender.h"
#include "engine/engine_state.h"
#include "engine/owned_engines.h"
#include "engine/probe_role.h"
#include "routing/placement_memory.h"

namespace fernmoor {

/// What is known of one engine for one prompt.
struct EngineFacts {
  int64_t matchedBlocks = 0;
  bool matchKnown = false;  ///< False where no owner answered in time.
  PlacedLoad placed;
};

/// Thread-safe.
class EngineKnowledge {
 public:
  /// All references outlive this object.
  EngineKnowledge(ProbeRole& probes, OwnedEngines& owned, MessageSender& sender,
                  const Knobs& knobs);

  /// Asks the owners and waits for at most the knob probeTimeout.
  /// @return one entry for each engine, in their order.
  std::vector<EngineFacts> lookUp(const BlockChain& chain, const std::vector<EngineState>& engines,
                                  Time now);
  /// @return what this node brought to each engine since its load was measured, in their order.
  std::vector<PlacedLoad> placedLoads(const std::vector<EngineState>& engines) const;
  /// A request was sent to the engine.
  void recordSent(const Placement& placement, const BlockChain& chain, int64_t uncachedTokens,
                  Time now);
  /// It ended there.
  void recordEnded(const Placement& placement, Time now);
  /// The engine told how many leading blocks it had; mends this node's view where it owns one.
  void confirm(const Placement& placement, const BlockChain& chain, int64_t matchedBlocks);
  /// Forgets what is too old; call it about once a second.
  void expire(Time now);

 private:
  std::vector<ProbeResult> ask(const BlockChain& chain, const std::vector<EngineLife>& lives,
                               Time now);

  ProbeRole& probes_;
  OwnedEngines& owned_;
  MessageSender& sender_;
  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kRouting};
  PlacementMemory memory_;
};

}  // namespace fernmoor
