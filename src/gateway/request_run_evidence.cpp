/// @file
/// What a request learns of its back end beside the answer, and records for others: whether it is
/// reached, whether its process is alive or crashed, and whether the request is quarantined.
#include <algorithm>

#include "gateway/request_run.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

namespace {

/// Time for which a back end is avoided after a failed connection attempt (1 s).
constexpr Duration kUnreachableAvoidance{1000000};
/// Data may have been sent this long before it is read (200 ms): 20 ms one way between regions,
/// plus the wait for a thread on a busy machine.
constexpr Duration kMaxReadDelay{200000};

}  // namespace

quarantine::CrashedRun RequestRun::runUntilNow() const {
  return quarantine::CrashedRun{incarnationHash(plan_.backend), sentAt_, services_.clock.now(),
                                plan_.backend.startedAt != 0};
}

void RequestRun::recordCutOff() {
  services_.cutOffRuns.note(suspects_, plan_.backend, runUntilNow());
}

void RequestRun::noteReach(const EngineAttempt& attempt, AttemptStep opened) {
  unreached_ += opened == AttemptStep::kNotSent ? 1 : 0;
  if (!attempt.triedNewConnection()) {
    return;
  }
  if (opened == AttemptStep::kNotSent) {
    services_.reach.noteUnreached(plan_.backend.id);
  } else {
    services_.reach.noteConnected();
  }
}

void RequestRun::recordNotReached() {
  if (services_.reach.state() != ReachState::kReached) {  // The engine is not to blame.
    recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kNotReached);
    return;
  }
  services_.backends.avoidUntil(plan_.backend.id, services_.clock.now() + kUnreachableAvoidance);
  recordAttemptEnd(BackendVerdict::kFailed, AttemptEnd::kNotReached);
}

void RequestRun::recordBackendAlive() {
  if (currentPeer_) {
    return;
  }
  services_.reach.noteHeard();
  const Time sentByThen = std::max(sentAt_, services_.clock.now() - kMaxReadDelay);
  services_.cutOffRuns.noteAlive(incarnationHash(plan_.backend), sentByThen);
}

/// A closed port right after the answer broke off shows that the back end crashed, unless the link
/// between this node and the back end's zone is lost: then it reaches no other back end there
/// either. The check cannot wait, because seconds later another process may listen there. An open
/// port proves nothing yet.
AttemptEnd RequestRun::classifyBreak() {
  if (currentPeer_) {
    return AttemptEnd::kBroken;
  }
  const BackendListing& backend = plan_.backend;
  const quarantine::CrashedRun run = runUntilNow();
  if (services_.connections.stillAnswers(run.incarnation, backend.address, run.endedAt)) {
    services_.reach.noteConnected();
    services_.cutOffRuns.note(suspects_, backend, run);
    return AttemptEnd::kBroken;
  }
  if (!services_.reach.reachesNeighbourOf(backend, run.endedAt)) {
    services_.cutOffRuns.note(suspects_, backend, run);
    return AttemptEnd::kNotReachable;
  }
  // A draining back end ends along with the requests that still run there; that is no crash.
  if (services_.backends.isUsable(backend.id)) {
    services_.quarantine.noteCrash(suspects_, run);
  }
  return AttemptEnd::kCrashed;
}

bool RequestRun::isCutOffUnread() {
  if (currentPeer_ || (!wasLeftUnread_ && callerReads())) {
    return false;
  }
  if (!services_.connections.stillAnswers(incarnationHash(plan_.backend), plan_.backend.address,
                                          services_.clock.now())) {
    return false;
  }
  services_.reach.noteConnected();
  return true;
}

RequestRun::Next RequestRun::afterBreak() {
  if (!isCutOffUnread()) {
    recordAttemptEnd(BackendVerdict::kFailed, classifyBreak());
    return afterUnknownRun();
  }
  recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kCutOff);
  if (callerReads()) {
    return afterUnknownRun();
  }
  // Another engine would work for a caller that does not fetch the answer.
  caller_.buffer()->giveUp();
  callerGone_ = true;
  return Next::kFinished;
}

bool RequestRun::isQuarantined() {
  services_.quarantine.awaitDecision(suspects_);
  const std::optional<Duration> left = services_.quarantine.timeLeft(suspects_);
  if (left && !mayHaveRun_) {
    refuse(quarantinedError(*left));
    logEnd(RequestOutcome::kQuarantined);
  }
  return left.has_value();
}

}  // namespace fernmoor::gateway
