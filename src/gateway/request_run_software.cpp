/// @file
/// Keeps a stream at the software version that began it: inside one answer, over its caller's
/// tries, and by way of another node. Until the first event is about to reach the caller, the
/// stream may begin anew at any version.
#include <algorithm>

#include "gateway/request_run.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

namespace {

/// A caller may take a stream up again for this many times the timeout of its row.
constexpr int kTimeoutsPerStream = 3;

Duration takeUpTime(const Row& row) {
  return row.timeout * kTimeoutsPerStream;
}

}  // namespace

std::optional<StreamBinding> RequestRun::findBinding() {
  if (request_.boundSoftware) {
    return StreamBinding{request_.pool, *request_.boundSoftware};
  }
  if (!request_.resumedStream.empty()) {
    if (auto found = services_.streams.find(request_.resumedStream)) {
      const std::vector<WeightedPool>& pools = request_.row->pools;
      const bool isAllowed = found->pool == request_.pool ||
                             std::any_of(pools.begin(), pools.end(), [&](const WeightedPool& each) {
                               return each.pool == found->pool;
                             });
      return isAllowed ? found : std::nullopt;
    }
  }
  // It can't be otherwise where all back ends have run one version since before it could begin.
  const Time began = services_.clock.now() - takeUpTime(*request_.row);
  const std::optional<std::string> sole = services_.backends.soleSoftware(request_.pool, began);
  return sole ? std::optional(StreamBinding{request_.pool, *sole}) : std::nullopt;
}

bool RequestRun::bindTakenUpStream() {
  if (!request_.takesUpStream()) {
    return true;
  }
  const std::optional<StreamBinding> binding = findBinding();
  services_.metrics.countTakeUp(binding.has_value());
  if (!binding) {
    refuse(unknownSoftwareError());
    logEnd(RequestOutcome::kNoBackend);
    return false;
  }
  request_.pool = binding->pool;
  bindTo(binding->software);
  return true;
}

RequestRun::ProcessProof RequestRun::proveProcess(EngineAttempt& attempt) {
  const int64_t listed = plan_.backend.startedAt;
  // Where no start time is listed, each process has an id of its own, which the request names.
  if (listed == 0 || attempt.peerStartedAt() == listed) {
    return ProcessProof::kListed;
  }
  const std::optional<int64_t> reported = services_.askStart(plan_.backend.id);
  if (!reported || *reported == 0) {
    return ProcessProof::kUnproven;
  }
  if (*reported != listed) {
    services_.backends.noteStart(plan_.backend.id, *reported);
    return ProcessProof::kOther;
  }
  attempt.setPeerStartedAt(listed);
  return ProcessProof::kListed;
}

void RequestRun::recordBinding() {
  const std::string& stream = request_.takesUpStream() ? request_.resumedStream : request_.id;
  // A node that handed the request on records what its caller receives.
  if (request_.cameFromPeer || !boundSoftware_ || stream.empty()) {
    return;
  }
  services_.streams.note(stream, StreamBinding{request_.pool, *boundSoftware_},
                         takeUpTime(*request_.row));
}

void RequestRun::bindTo(const std::optional<std::string>& software) {
  isBound_ = true;
  boundSoftware_ = software;
}

bool RequestRun::bindStream(EngineAttempt& attempt) {
  if (!request_.isResumable() || isAttemptChecked_) {
    return true;
  }
  isAttemptChecked_ = true;
  std::optional<std::string> software = plan_.backend.software;
  if (currentPeer_) {
    software = attempt.facts().software;
  } else {
    const ProcessProof proof = proveProcess(attempt);
    if (proof == ProcessProof::kOther) {
      return false;
    }
    if (proof == ProcessProof::kUnproven) {
      software.reset();
    }
  }
  if (isBound_ && software != boundSoftware_) {
    return false;
  }
  bindTo(software);
  recordBinding();
  return true;
}

RequestRun::Next RequestRun::leaveOtherSoftware() {
  recordAttemptEnd(BackendVerdict::kNeutral, AttemptEnd::kOtherSoftware);
  return afterUnknownRun();
}

}  // namespace fernmoor::gateway
