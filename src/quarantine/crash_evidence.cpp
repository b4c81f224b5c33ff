#include "quarantine/crash_evidence.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace fernmoor::quarantine {

namespace {

/// Crashes of engines after which a request is suspected. The requirements allow three before a
/// request must not be sent any more; two would suspect the victims of other requests too often
/// (test/quarantine).
constexpr size_t kMinCrashes = 3;
/// A popular part is at most crashes, and the requirements allow five for parts.
constexpr size_t kMinCrashesOfPart = 4;
/// The evidence against a request is dropped if its next crash comes later than this.
constexpr Duration kEvidenceLifetime{std::chrono::minutes(10)};
/// About 150 bytes each, 0.3 MB in total. A crash adds as many as were running at the engine, at
/// most 48 in the known deployments.
constexpr size_t kMaxSuspects = 2048;
constexpr size_t kMaxExplained = 512;
/// More engines than crash during the time that a suspicion takes.
constexpr size_t kMaxEnds = 256;
/// Runs cut off within this time ended with the same crash if the start of the process is unknown.
/// Engines take longer to restart, and the reports of one crash arrive faster.
constexpr Duration kSameCrashWindow{1200000};

/// Crashes that span at least this time implicate a request even if only two of them followed each
/// other: an innocent request has been served somewhere by then.
constexpr Duration kMinCrashSpan{3000000};

/// @return how many of the runs followed each other, each begun after the previous one had ended.
///         Engines that crash at the same time, as when a rack fails or several such requests run,
///         count as one step, because a request that is sent all the time runs at each of them.
size_t countSteps(std::vector<CrashedRun> runs) {
  std::sort(runs.begin(), runs.end(),
            [](const CrashedRun& a, const CrashedRun& b) { return a.endedAt < b.endedAt; });
  size_t steps = 0;
  Time lastEnd;
  for (const CrashedRun& run : runs) {
    if (steps == 0 || run.beganAt > lastEnd) {
      ++steps;
      lastEnd = run.endedAt;
    }
  }
  return steps;
}

/// @return whether the crashes implicate the request rather than one moment at which many engines
///         failed.
bool implicatesRequest(const std::vector<CrashedRun>& runs) {
  const auto byEnd = [](const CrashedRun& a, const CrashedRun& b) { return a.endedAt < b.endedAt; };
  const auto [first, last] = std::minmax_element(runs.begin(), runs.end(), byEnd);
  const size_t steps = countSteps(runs);
  return steps >= kMinCrashes || (steps > 1 && last->endedAt - first->endedAt >= kMinCrashSpan);
}

}  // namespace

bool isSameCrash(const CrashedRun& a, const CrashedRun& b) {
  const Duration apart = a.endedAt < b.endedAt ? b.endedAt - a.endedAt : a.endedAt - b.endedAt;
  const bool isOneProcess = a.startKnown && b.startKnown;
  return a.incarnation == b.incarnation && (isOneProcess || apart < kSameCrashWindow);
}

Time Suspicion::since() const {
  return std::min_element(
             runs.begin(), runs.end(),
             [](const CrashedRun& a, const CrashedRun& b) { return a.beganAt < b.beganAt; })
      ->beganAt;
}

bool Suspicion::sharesCrashWith(const Suspicion& other) const {
  return std::any_of(runs.begin(), runs.end(), [&](const CrashedRun& run) {
    return std::any_of(other.runs.begin(), other.runs.end(),
                       [&](const CrashedRun& each) { return isSameCrash(run, each); });
  });
}

bool Suspicion::explainsPart(const Suspicion& part) const {
  const auto wasAt = [&](const CrashedRun& run) {
    return std::any_of(runs.begin(), runs.end(),
                       [&](const CrashedRun& each) { return isSameCrash(run, each); });
  };
  return isPart(part.fingerprint) && !isPart(fingerprint) && runs.size() >= kMinCrashes &&
         std::all_of(part.runs.begin(), part.runs.end(), wasAt);
}

bool CrashEvidence::isExplained(uint64_t fingerprint, const CrashedRun& run) const {
  return std::any_of(explained_.begin(), explained_.end(), [&](const Explained& each) {
    return each.by != fingerprint && isSameCrash(each.run, run);
  });
}

void CrashEvidence::noteEnd(const CrashedRun& run) {
  const bool isKnown = std::any_of(ends_.begin(), ends_.end(),
                                   [&](const CrashedRun& each) { return isSameCrash(each, run); });
  if (isKnown || isExplained(0, run)) {
    return;
  }
  if (ends_.size() >= kMaxEnds) {
    ends_.pop_front();
  }
  ends_.push_back(run);
}

size_t CrashEvidence::crashesWithout(const Suspicion& suspicion) const {
  const Time since = suspicion.since();
  const auto isWithout = [&](const CrashedRun& end) {
    return end.endedAt > since &&
           std::none_of(suspicion.runs.begin(), suspicion.runs.end(),
                        [&](const CrashedRun& run) { return isSameCrash(run, end); });
  };
  return static_cast<size_t>(std::count_if(ends_.begin(), ends_.end(), isWithout));
}

void CrashEvidence::makeRoom(Time now) {
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    suspect = now - suspect->second.lastAt > kEvidenceLifetime ? suspects_.erase(suspect)
                                                               : std::next(suspect);
  }
  if (suspects_.size() < kMaxSuspects) {
    return;
  }
  suspects_.erase(
      std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return a.second.runs.size() != b.second.runs.size()
                   ? a.second.runs.size() < b.second.runs.size()
                   : a.second.lastAt < b.second.lastAt;
      }));
}

std::optional<Suspicion> CrashEvidence::note(uint64_t fingerprint, const CrashedRun& run,
                                             Time now) {
  if (isExplained(fingerprint, run)) {
    return std::nullopt;
  }
  noteEnd(run);
  if (suspects_.count(fingerprint) == 0 && suspects_.size() >= kMaxSuspects) {
    makeRoom(now);
  }
  const Suspect fresh{{}, isPart(fingerprint) ? kMinCrashesOfPart : kMinCrashes, now};
  Suspect& suspect = suspects_.try_emplace(fingerprint, fresh).first->second;
  if (now - suspect.lastAt > kEvidenceLifetime) {
    suspect = fresh;
  }
  suspect.lastAt = now;
  const bool isKnown = std::any_of(suspect.runs.begin(), suspect.runs.end(),
                                   [&](const CrashedRun& each) { return isSameCrash(each, run); });
  if (!isKnown) {
    suspect.runs.push_back(run);
  }
  return suspicionOf(fingerprint);
}

std::optional<Suspicion> CrashEvidence::suspicionOf(uint64_t fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end() || found->second.runs.size() < found->second.needed ||
      !implicatesRequest(found->second.runs)) {
    return std::nullopt;
  }
  Suspicion suspicion{fingerprint, found->second.runs};
  // The control group of a part is that of the caller.
  const bool isWeak = !isPart(fingerprint) && suspicion.runs.size() < kMaxCrashesNeeded &&
                      crashesWithout(suspicion) >= suspicion.runs.size();
  return isWeak ? std::nullopt : std::optional(std::move(suspicion));
}

std::optional<Suspicion> CrashEvidence::explanationOf(const Suspicion& part) const {
  for (const auto& [fingerprint, suspect] : suspects_) {
    Suspicion whole{fingerprint, suspect.runs};
    if (suspect.runs.size() >= part.runs.size() && whole.explainsPart(part)) {
      return whole;
    }
  }
  return std::nullopt;
}

std::vector<CrashedRun> CrashEvidence::runsOf(uint64_t fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  return found == suspects_.end() ? std::vector<CrashedRun>() : found->second.runs;
}

std::vector<Suspicion> CrashEvidence::newest(size_t most) const {
  std::vector<std::pair<Time, uint64_t>> byTime;
  for (const auto& [fingerprint, suspect] : suspects_) {
    byTime.emplace_back(suspect.lastAt, fingerprint);
  }
  const size_t kept = std::min(most, byTime.size());
  std::partial_sort(byTime.begin(), byTime.begin() + static_cast<ptrdiff_t>(kept), byTime.end(),
                    std::greater<>());
  std::vector<Suspicion> found;
  for (size_t index = 0; index < kept; ++index) {
    found.push_back(Suspicion{byTime[index].second, suspects_.at(byTime[index].second).runs});
  }
  return found;
}

void CrashEvidence::clear(uint64_t fingerprint) {
  suspects_.erase(fingerprint);
}

void CrashEvidence::explain(uint64_t by, const std::vector<CrashedRun>& runs) {
  for (const CrashedRun& run : runs) {
    explained_.push_back(Explained{by, run});
  }
  while (explained_.size() > kMaxExplained) {
    explained_.pop_front();
  }
  const auto isExplainedNow = [&](const CrashedRun& run) {
    return std::any_of(runs.begin(), runs.end(),
                       [&](const CrashedRun& each) { return isSameCrash(each, run); });
  };
  ends_.erase(std::remove_if(ends_.begin(), ends_.end(), isExplainedNow), ends_.end());
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    std::vector<CrashedRun>& held = suspect->second.runs;
    if (suspect->first != by) {
      held.erase(std::remove_if(held.begin(), held.end(), isExplainedNow), held.end());
    }
    suspect = held.empty() ? suspects_.erase(suspect) : std::next(suspect);
  }
}

bool CrashEvidence::requireOneMoreCrash(uint64_t fingerprint) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end() || found->second.runs.size() >= kMaxCrashesNeeded) {
    return false;
  }
  found->second.needed = found->second.runs.size() + 1;
  return true;
}

}  // namespace fernmoor::quarantine
