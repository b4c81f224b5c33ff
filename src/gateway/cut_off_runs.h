/// @file
/// Tracks runs that broke off, or were abandoned because of silence, at a back end whose process
/// may have ended. A single probe at that moment is not enough: an ending process may close its
/// port after its connections, and a hung one closes nothing. A run is kept until there is
/// evidence: the back end has a later start time, was removed from the list or refuses connections
/// while another one in its zone takes them (it ended), or the same process reports its state or
/// answers a request (it is alive). A run for which no evidence arrives in time is not counted as a
/// crash.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "backends/backend_set.h"
#include "gateway/engine_reach.h"
#include "gateway/request_quarantine.h"

namespace fernmoor::gateway {

/// Queries the start time of a back end's process, in Unix ms (0: not stated), by the back end's
/// id.
/// @return std::nullopt if it doesn't answer.
using AskStart = std::function<std::optional<int64_t>(const std::string&)>;

/// Thread-safe.
class CutOffRuns {
 public:
  /// @param askStart called on the thread that calls step().
  CutOffRuns(const Clock& clock, const BackendSet& backends, AskStart askStart, EngineReach& reach,
             RequestQuarantine& quarantine)
      : clock_(clock),
        backends_(backends),
        askStart_(std::move(askStart)),
        reach_(reach),
        quarantine_(quarantine) {}

  /// Keeps a run of the request; the end of `run` is the time at which it was cut off. Runs at a
  /// draining back end are not kept: its process ends as planned.
  void note(const Suspects& suspects, const BackendListing& backend,
            const quarantine::CrashedRun& run);
  /// Records that this process of a back end sent data at time `at`: runs that were cut off earlier
  /// did not crash it, and are dropped.
  void noteAlive(uint64_t incarnation, Time at);
  /// Blocks until there is a run to look for evidence for.
  void waitForRuns();
  /// Looks for evidence; to be called every `kStep`. Blocks while it probes a few back ends.
  void step();
  size_t size() const;

  /// Interval between searches for evidence (100 ms): a port that closes late does so within about
  /// that time.
  static constexpr Duration kStep{100000};

 private:
  struct CutOffRun {
    Suspects suspects{0};
    BackendListing backend;  ///< As listed when the run was sent.
    quarantine::CrashedRun run;
    Time nextProbeAt;
  };
  /// What happened to the process whose run was cut off.
  enum class ProcessFate { kUnknown, kEnded, kAlive, kDraining };

  ProcessFate fateByList(const CutOffRun& cut) const;
  ProcessFate fateByProbe(const CutOffRun& cut) const;
  /// Drops runs whose evidence timed out.
  /// @return the oldest run of each incarnation, with the earliest probe time of all its runs.
  std::map<uint64_t, CutOffRun> oldestRunByIncarnation(Time now);
  /// Removes and returns the runs of the incarnation that this fate decides.
  std::vector<CutOffRun> takeDecided(uint64_t incarnation, ProcessFate fate, Time observedAt);
  void postponeProbe(uint64_t incarnation, Time now);

  const Clock& clock_;
  const BackendSet& backends_;
  const AskStart askStart_;
  EngineReach& reach_;
  RequestQuarantine& quarantine_;
  mutable std::mutex mutex_;
  std::condition_variable added_;     ///< Notified when `runs_` grows.
  std::deque<CutOffRun> runs_;        ///< In the order in which they were recorded.
  std::atomic<bool> hasRuns_{false};  ///< `runs_` isn't empty.
};

}  // namespace fernmoor::gateway
