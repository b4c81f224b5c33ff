#include "gateway/cut_off_runs.h"

#include <algorithm>

#include "http/byte_connection.h"

namespace fernmoor::gateway {

namespace {

/// How long evidence is awaited: the list names engines that ended for up to 3.4 s
/// (docs/incidents/poison-requests.md), and its news take a second to all nodes at most.
constexpr Duration kEvidenceTime{5000000};
/// Some 200 bytes each, 0.1 MB: the runs of ten engines, where each ran 48. The oldest go first.
constexpr size_t kMostRuns = 512;
/// A report shows that a process outlived the run only so long after it: one that ends may still
/// say something while its connections are closed one after the other.
constexpr Duration kMayStillTalk{500000};
/// Looks become rarer: the next one comes when the run was cut off half as long ago again.
constexpr int kLookGrowth = 2;
/// Back ends looked at in one step, each with a wait of 0.33 s at most (a port and a report).
constexpr size_t kMostLooks = 4;
/// A port answers within a trip and back between regions, 40 ms, twice that beside load.
constexpr Duration kPortCheck{80000};

}  // namespace

void CutOffRuns::note(uint64_t fingerprint, const BackendListing& backend,
                      const quarantine::CrashedRun& run) {
  const std::optional<BackendListing> listed = backends_.find(backend.id);
  if (listed && listed->isDraining) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  runs_.push_back(CutOffRun{fingerprint, backend.id, backend.startedAt, backend.address, run,
                            run.endedAt + kStep});
  if (runs_.size() > kMostRuns) {
    runs_.pop_front();
  }
  holdsAny_ = true;
}

void CutOffRuns::noteAlive(uint64_t incarnation, Time at) {
  if (!holdsAny_) {
    return;  // Nearly always: no lock is taken on the request path.
  }
  takeSettled(incarnation, Fate::kLives, at);
}

size_t CutOffRuns::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_.size();
}

CutOffRuns::Fate CutOffRuns::fateByList(const CutOffRun& cut) const {
  const std::optional<BackendListing> listed = backends_.find(cut.backend);
  if (!listed) {
    return Fate::kEnded;
  }
  if (cut.startedAt != 0 && listed->startedAt > cut.startedAt) {
    return Fate::kEnded;
  }
  return listed->isDraining ? Fate::kLeaving : Fate::kUnknown;
}

/// A port that is not reached says nothing: the way to it may be cut.
CutOffRuns::Fate CutOffRuns::fateByLook(const CutOffRun& cut) const {
  const PortState port = lookAtPort(cut.address, kPortCheck);
  if (port != PortState::kTakesConnections) {
    return port == PortState::kRefuses ? Fate::kEnded : Fate::kUnknown;
  }
  if (clock_.now() - cut.run.endedAt < kMayStillTalk) {
    return Fate::kUnknown;
  }
  const std::optional<int64_t> startedAt = askStart_(cut.backend);
  if (!startedAt) {
    return Fate::kUnknown;  // Silence; the list or the next look tells.
  }
  const bool isAnother = cut.startedAt != 0 && *startedAt > cut.startedAt;
  return isAnother ? Fate::kEnded : Fate::kLives;
}

std::map<uint64_t, CutOffRuns::CutOffRun> CutOffRuns::firstOfEach(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto isOver = [&](const CutOffRun& cut) { return now - cut.run.endedAt > kEvidenceTime; };
  runs_.erase(std::remove_if(runs_.begin(), runs_.end(), isOver), runs_.end());
  holdsAny_ = !runs_.empty();
  std::map<uint64_t, CutOffRun> first;
  for (const CutOffRun& cut : runs_) {
    CutOffRun& known = first.try_emplace(cut.run.incarnation, cut).first->second;
    known.nextLookAt = std::min(known.nextLookAt, cut.nextLookAt);
  }
  return first;
}

std::vector<CutOffRuns::CutOffRun> CutOffRuns::takeSettled(uint64_t incarnation, Fate fate,
                                                           Time lookedAt) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto isOpen = [&](const CutOffRun& cut) {
    const bool isOutlived = fate != Fate::kLives || cut.run.endedAt < lookedAt;
    return cut.run.incarnation != incarnation || !isOutlived;
  };
  const auto settled = std::stable_partition(runs_.begin(), runs_.end(), isOpen);
  std::vector<CutOffRun> taken(settled, runs_.end());
  runs_.erase(settled, runs_.end());
  holdsAny_ = !runs_.empty();
  return taken;
}

void CutOffRuns::postponeLook(uint64_t incarnation, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (CutOffRun& cut : runs_) {
    if (cut.run.incarnation == incarnation) {
      cut.nextLookAt = now + std::max(kStep, (now - cut.run.endedAt) / kLookGrowth);
    }
  }
}

void CutOffRuns::step() {
  if (!holdsAny_) {
    return;
  }
  size_t looks = 0;
  for (const auto& [incarnation, cut] : firstOfEach(clock_.now())) {
    const Time lookedAt = clock_.now();
    Fate fate = fateByList(cut);
    if (fate == Fate::kUnknown && lookedAt >= cut.nextLookAt && looks < kMostLooks) {
      ++looks;
      fate = fateByLook(cut);
      postponeLook(incarnation, clock_.now());
    }
    if (fate == Fate::kUnknown) {
      continue;
    }
    for (const CutOffRun& settled : takeSettled(incarnation, fate, lookedAt)) {
      if (fate == Fate::kEnded) {
        quarantine_.noteCrash(settled.fingerprint, settled.run);
      }
    }
  }
}

}  // namespace fernmoor::gateway
