#include "quarantine/crash_evidence.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace fernmoor::quarantine {

namespace {

/// Ends of engines under one request that make it suspected. Users allow three before a request
/// may not be sent on; two would suspect the victims of others too often (test/quarantine).
constexpr size_t kEndsNeeded = 3;
/// A request that comes back later than this after a crash begins anew.
constexpr Duration kEvidenceTime{std::chrono::minutes(10)};
/// Each holds about 150 bytes: 0.3 MB. One end of an engine brings as many as ran there, 48 or
/// fewer on the deployments known.
constexpr size_t kMostSuspects = 2048;
constexpr size_t kMostExplained = 512;
/// Engines take longer than this to start, and reports of one end whose process is not known come
/// within less.
constexpr Duration kOneEnd{1200000};

/// Ends that lie so far apart count as a story of their own even where few followed each other: who
/// is innocent has been served somewhere by then.
constexpr Duration kLongStory{3000000};

/// @return how many of the runs followed each other, each begun after the one before it had ended.
///         Engines that end at the same moment, as with a rack or under several such requests, are
///         one step: whatever is asked all the time runs at each of them.
size_t stepsOf(std::vector<CrashedRun> runs) {
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

/// @return whether the ends tell of the request rather than of a moment at which much ended.
bool tellOfRequest(const std::vector<CrashedRun>& runs) {
  const auto byEnd = [](const CrashedRun& a, const CrashedRun& b) { return a.endedAt < b.endedAt; };
  const auto [first, last] = std::minmax_element(runs.begin(), runs.end(), byEnd);
  const size_t steps = stepsOf(runs);
  return steps >= kEndsNeeded || (steps > 1 && last->endedAt - first->endedAt >= kLongStory);
}

}  // namespace

bool isSameEnd(const CrashedRun& a, const CrashedRun& b) {
  const Duration apart = a.endedAt < b.endedAt ? b.endedAt - a.endedAt : a.endedAt - b.endedAt;
  const bool isOneProcess = a.startKnown && b.startKnown;
  return a.incarnation == b.incarnation && (isOneProcess || apart < kOneEnd);
}

Time Suspicion::since() const {
  return std::min_element(
             runs.begin(), runs.end(),
             [](const CrashedRun& a, const CrashedRun& b) { return a.beganAt < b.beganAt; })
      ->beganAt;
}

bool Suspicion::sharesEndWith(const Suspicion& other) const {
  return std::any_of(runs.begin(), runs.end(), [&](const CrashedRun& run) {
    return std::any_of(other.runs.begin(), other.runs.end(),
                       [&](const CrashedRun& each) { return isSameEnd(run, each); });
  });
}

bool CrashEvidence::isExplained(uint64_t fingerprint, const CrashedRun& run) const {
  return std::any_of(explained_.begin(), explained_.end(), [&](const Explained& each) {
    return each.by != fingerprint && isSameEnd(each.run, run);
  });
}

void CrashEvidence::makeRoom(Time now) {
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    suspect = now - suspect->second.lastAt > kEvidenceTime ? suspects_.erase(suspect)
                                                           : std::next(suspect);
  }
  if (suspects_.size() < kMostSuspects) {
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
  if (suspects_.count(fingerprint) == 0 && suspects_.size() >= kMostSuspects) {
    makeRoom(now);
  }
  const Suspect fresh{{}, kEndsNeeded, now};
  Suspect& suspect = suspects_.try_emplace(fingerprint, fresh).first->second;
  if (now - suspect.lastAt > kEvidenceTime) {
    suspect = fresh;
  }
  suspect.lastAt = now;
  const bool isKnown = std::any_of(suspect.runs.begin(), suspect.runs.end(),
                                   [&](const CrashedRun& each) { return isSameEnd(each, run); });
  if (!isKnown) {
    suspect.runs.push_back(run);
  }
  return suspicionOf(fingerprint);
}

std::optional<Suspicion> CrashEvidence::suspicionOf(uint64_t fingerprint) const {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end() || found->second.runs.size() < found->second.needed ||
      !tellOfRequest(found->second.runs)) {
    return std::nullopt;
  }
  return Suspicion{fingerprint, found->second.runs};
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
  while (explained_.size() > kMostExplained) {
    explained_.pop_front();
  }
  const auto isOneOfThem = [&](const CrashedRun& run) {
    return std::any_of(runs.begin(), runs.end(),
                       [&](const CrashedRun& each) { return isSameEnd(each, run); });
  };
  for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
    std::vector<CrashedRun>& held = suspect->second.runs;
    if (suspect->first != by) {
      held.erase(std::remove_if(held.begin(), held.end(), isOneOfThem), held.end());
    }
    suspect = held.empty() ? suspects_.erase(suspect) : std::next(suspect);
  }
}

bool CrashEvidence::demandOneMore(uint64_t fingerprint) {
  const auto found = suspects_.find(fingerprint);
  if (found == suspects_.end() || found->second.runs.size() >= kMostEndsNeeded) {
    return false;
  }
  found->second.needed = found->second.runs.size() + 1;
  return true;
}

}  // namespace fernmoor::quarantine
