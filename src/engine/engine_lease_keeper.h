/// @file
/// Acquires and renews engine leases in the platform. Calls block; used on a control-plane thread.
#pragma once

#include <map>
#include <string>

#include "common/knobs.h"
#include "common/lock_order.h"
#include "engine/engine_lease.h"
#include "objectstore/object_store_client.h"

namespace fernmoor {

/// The leases of one incarnation of a node. A lease is acquired when there is an order to send, not
/// held for every engine, because the platform sustains few calls. Thread-safe; no lock is held
/// during a call.
class EngineLeaseKeeper {
 public:
  /// All references outlive the keeper.
  EngineLeaseKeeper(ObjectStoreClient& platform, NodeLife self, const Clock& clock,
                    const Knobs& knobs);

  /// Acquires the engine's lease, or renews it if it is near expiry.
  /// @return the token for orders sent now; kConflict with a retry time if another node's lease
  ///     may still be valid; the platform's error if it could not be queried.
  Result<FencingToken> acquire(const EngineId& engine);

  /// @return the token for an order that is sent now, without asking the platform: to be called
  ///     right before each order. kConflict if the lease is not held or expired.
  Result<FencingToken> authorize(const EngineId& engine) const;

 private:
  /// Reads the object into the lease; @return what to do next.
  Result<LeaseStep> read(const EngineId& engine);
  Result<FencingToken> writeLease(const EngineId& engine, CollectionRevision expectedVersion);
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
