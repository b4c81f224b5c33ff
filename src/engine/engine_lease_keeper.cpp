#include "engine/engine_lease_keeper.h"

#include <utility>

namespace fernmoor {

EngineLeaseKeeper::EngineLeaseKeeper(ObjectStoreClient& platform, NodeLife self, const Clock& clock,
                                     const Knobs& knobs)
    : platform_(platform), self_(self), clock_(clock), knobs_(knobs) {}

EngineLease& EngineLeaseKeeper::leaseOf(const EngineId& engine) {
  return leases_.try_emplace(engine, self_, knobs_).first->second;
}

Result<FencingToken> EngineLeaseKeeper::acquire(const EngineId& engine) {
  const Result<LeaseStep> step = read(engine);
  if (!isOk(step)) {
    return errorOf(step);
  }
  switch (valueOf(step).kind) {
    case LeaseStep::Kind::kNothing:
      return authorize(engine);
    case LeaseStep::Kind::kAcquire:
      return writeLease(engine, valueOf(step).expectedVersion);
    case LeaseStep::Kind::kWait:
      break;
  }
  return Error{ErrorKind::kConflict,
               "another node may hold the lease on engine " + engine.value() +
                   "; retry after it has expired.",
               RunState::kNotRun, valueOf(step).until - clock_.now()};
}

Result<LeaseStep> EngineLeaseKeeper::read(const EngineId& engine) {
  const auto object = platform_.get(engineLeaseCollection(), ObjectName(engine.value()));
  if (!isOk(object) && errorOf(object).kind != ErrorKind::kNotFound) {
    return errorOf(object);
  }
  const RankedLock lock(mutex_);
  EngineLease& lease = leaseOf(engine);
  lease.onRead(isOk(object) ? std::optional<PlatformObject>(valueOf(object)) : std::nullopt,
               clock_.now());
  return lease.nextStep(clock_.now());
}

Result<FencingToken> EngineLeaseKeeper::writeLease(const EngineId& engine,
                                                   CollectionRevision expectedVersion) {
  ObjectChange change{ObjectName(engine.value()), expectedVersion,
                      writeLeaseRecord(LeaseRecord{self_, knobs_.engineLeaseDuration})};
  ChangeId changeId;
  {
    const RankedLock lock(mutex_);
    changeId =
        ChangeId("lease-" + std::to_string(self_.node.value()) + "-" +
                 std::to_string(self_.incarnation.value()) + "-" + std::to_string(++lastChange_));
  }
  const Time sentAt = clock_.now();
  Result<CollectionRevision> written = platform_.put(engineLeaseCollection(), change, changeId);
  if (!isOk(written) && errorOf(written).runState == RunState::kUnknown) {
    // Only a write known to have succeeded counts; one that arrives later is seen at the next read.
    const auto found = platform_.findChange(engineLeaseCollection(), changeId);
    written = isOk(found) ? found : written;
  }
  {
    const RankedLock lock(mutex_);
    if (isOk(written)) {
      leaseOf(engine).onAcquired(valueOf(written), sentAt);
    } else {
      leaseOf(engine).onWriteFailed();
    }
  }
  if (!isOk(written)) {
    return errorOf(written);
  }
  return authorize(engine);
}

Result<FencingToken> EngineLeaseKeeper::authorize(const EngineId& engine) const {
  const RankedLock lock(mutex_);
  const auto lease = leases_.find(engine);
  if (lease == leases_.end()) {
    return EngineLease(self_, knobs_).authorize(clock_.now());
  }
  return lease->second.authorize(clock_.now());
}

}  // namespace fernmoor
