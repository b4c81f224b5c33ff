/// @file
/// Takes and renews engines' leases in the platform. Calls block; used on a control-plane thread.
#pragma once

#include <map>
#include <string>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "engine/engine_lease.h"
#include "objectstore/object_store_client.h"

namespace fernmoor {

/// The leases of one life of one node. Leases are taken when there is an order to give, not kept
/// for every engine: the platform bears few calls. Thread-safe; no lock is held during a call.
class EngineLeaseKeeper {
 public:
  /// All references outlive the keeper.
  EngineLeaseKeeper(ObjectStoreClient& platform, NodeLife self, const Clock& clock,
                    const Knobs& knobs);

  /// Takes the engine's lease, or renews it where its end is near.
  /// @return the token for orders given now; kConflict with a time to come back where another
  ///     node's lease may still run; the platform's error where it could not be asked.
  Result<FencingToken> acquire(const EngineId& engine);

  /// @return the token for an order that is sent now, without asking the platform: to be called
  ///     right before each order. kConflict where the lease is not held or lapsed.
  Result<FencingToken> authorize(const EngineId& engine) const;

 private:
  /// Reads the object into the lease; @return what to do next.
  Result<LeaseStep> read(const EngineId& engine);
  Result<FencingToken> take(const EngineId& engine, CollectionRevision expectedVersion);
  EngineLease& leaseOf(const EngineId& engine);

  ObjectStoreClient& platform_;
  const NodeLife self_;
  const Clock& clock_;
  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kEngines};
  std::map<EngineId, EngineLease> leases_;
  uint64_t lastChange_ = 0;
};

}  // namespace fernmoor
