#include "gateway/cut_off_runs.h"

#include <algorithm>

#include "http/byte_connection.h"

namespace fernmoor::gateway {

namespace {

/// How long to wait for evidence (5 s): the back-end list still names an engine for up to 3.4 s
/// after its end (docs/incidents/poison-requests.md), and its changes reach all nodes within a
/// second.
constexpr Duration kEvidenceTimeout{5000000};
/// About 200 bytes each, 0.1 MB in total: enough for ten engines with 48 runs each. The oldest runs
/// are dropped first.
constexpr size_t kMaxRuns = 512;
/// Only after this time (500 ms) does a status report prove that the process survived the run: a
/// process that is ending may still answer while its connections are closed one by one.
constexpr Duration kShutdownOutputTime{500000};
/// Probes back off: the wait until the next one is the time since the run was cut off divided by
/// this.
constexpr int kProbeBackoffDivisor = 2;
/// Back ends probed in one step; each probe (port and status report) blocks for 0.33 s at most.
constexpr size_t kMaxProbesPerStep = 4;
/// A port answers within one round trip between regions, 40 ms; doubled to allow for load (80 ms).
constexpr Duration kPortProbeTimeout{80000};

}  // namespace

void CutOffRuns::note(const Suspects& suspects, const BackendListing& backend,
                      const quarantine::CrashedRun& run) {
  const std::optional<BackendListing> listed = backends_.find(backend.id);
  if (listed && listed->isDraining) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_.push_back(CutOffRun{suspects, backend, run, run.endedAt + kStep});
  if (runs_.size() > kMaxRuns) {
    runs_.pop_front();
  }
  hasRuns_ = true;
  added_.notify_one();
}

void CutOffRuns::waitForRuns() {
  std::unique_lock<std::mutex> lock(mutex_);
  added_.wait(lock, [this] { return !runs_.empty(); });
}

void CutOffRuns::noteAlive(uint64_t incarnation, Time at) {
  if (!hasRuns_) {
    return;  // The common case; avoids the lock on the request path.
  }
  takeDecided(incarnation, ProcessFate::kAlive, at);
}

size_t CutOffRuns::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_.size();
}

/// If a zone is cut off, the entries of its back ends may lapse although they run.
CutOffRuns::ProcessFate CutOffRuns::fateByList(const CutOffRun& cut) const {
  const std::optional<BackendListing> listed = backends_.find(cut.backend.id);
  if (!listed) {
    return reach_.isZoneCutOff(cut.backend, clock_.now()) ? ProcessFate::kUnknown
                                                          : ProcessFate::kEnded;
  }
  if (cut.backend.startedAt != 0 && listed->startedAt > cut.backend.startedAt) {
    return ProcessFate::kEnded;
  }
  return listed->isDraining ? ProcessFate::kDraining : ProcessFate::kUnknown;
}

/// An unreachable port is no evidence, because the network path to it may be down. A refused
/// connection is none if this node reaches no other back end in the zone: a lost link may look the
/// same.
CutOffRuns::ProcessFate CutOffRuns::fateByProbe(const CutOffRun& cut) const {
  const Time probedAt = clock_.now();
  const PortState port = lookAtPort(cut.backend.address, kPortProbeTimeout);
  if (port != PortState::kTakesConnections) {
    const bool hasEnded =
        port == PortState::kRefuses && reach_.reachesNeighbourOf(cut.backend, probedAt);
    return hasEnded ? ProcessFate::kEnded : ProcessFate::kUnknown;
  }
  if (clock_.now() - cut.run.endedAt < kShutdownOutputTime) {
    return ProcessFate::kUnknown;
  }
  const std::optional<int64_t> startedAt = askStart_(cut.backend.id);
  if (!startedAt) {
    return ProcessFate::kUnknown;  // No answer; the list or the next probe will show.
  }
  const bool isAnother = cut.backend.startedAt != 0 && *startedAt > cut.backend.startedAt;
  return isAnother ? ProcessFate::kEnded : ProcessFate::kAlive;
}

std::map<uint64_t, CutOffRuns::CutOffRun> CutOffRuns::oldestRunByIncarnation(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto isOver = [&](const CutOffRun& cut) {
    return now - cut.run.endedAt > kEvidenceTimeout;
  };
  runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isOver), runs_.end());
  hasRuns_ = !runs_.empty();
  std::map<uint64_t, CutOffRun> first;
  for (const CutOffRun& cut : runs_) {
    CutOffRun& known = first.try_emplace(cut.run.incarnation, cut).first->second;
    known.nextProbeAt = std::min(known.nextProbeAt, cut.nextProbeAt);
  }
  return first;
}

std::vector<CutOffRuns::CutOffRun> CutOffRuns::takeDecided(uint64_t incarnation, ProcessFate fate,
                                                           Time observedAt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto isUndecided = [&](const CutOffRun& cut) {
    const bool isOutlived = fate != ProcessFate::kAlive || cut.run.endedAt < observedAt;
    return cut.run.incarnation != incarnation || !isOutlived;
  };
  const auto decided = std::stable_partition(runs_.begin(), runs_.end(), isUndecided);
  std::vector<CutOffRun> taken(decided, runs_.end());
  runs_.erase(decided, runs_.end());
  hasRuns_ = !runs_.empty();
  return taken;
}

void CutOffRuns::postponeProbe(uint64_t incarnation, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (CutOffRun& cut : runs_) {
    if (cut.run.incarnation == incarnation) {
      cut.nextProbeAt = now + std::max(kStep, (now - cut.run.endedAt) / kProbeBackoffDivisor);
    }
  }
}

void CutOffRuns::step() {
  if (!hasRuns_) {
    return;
  }
  size_t probes = 0;
  for (const auto& [incarnation, cut] : oldestRunByIncarnation(clock_.now())) {
    const Time observedAt = clock_.now();
    ProcessFate fate = fateByList(cut);
    if (fate == ProcessFate::kUnknown && observedAt >= cut.nextProbeAt &&
        probes < kMaxProbesPerStep) {
      ++probes;
      fate = fateByProbe(cut);
      postponeProbe(incarnation, clock_.now());
    }
    if (fate == ProcessFate::kUnknown) {
      continue;
    }
    for (const CutOffRun& decided : takeDecided(incarnation, fate, observedAt)) {
      if (fate == ProcessFate::kEnded) {
        quarantine_.noteCrash(decided.suspects, decided.run);
      }
    }
  }
}

}  // namespace fernmoor::gateway
