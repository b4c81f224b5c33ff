/// @file
/// Runs that broke off or were left in silence at a back end that may have ended. One look at that
/// moment tells too little: a process that ends may close its port after its connections, and one
/// that fell silent closes nothing. Such a run is kept until later evidence tells: its back end has
/// another start, left the list or refuses connections (it ended), or reports or answers as the
/// process that it was (it lives). A run without evidence in time is held against nobody.
#pragma once

#include <atomic>
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
#include "gateway/request_quarantine.h"

namespace fernmoor::gateway {

/// Asks a back end by its id when its process started, in Unix ms (0: not told).
/// @return nothing where it doesn't answer.
using AskStart = std::function<std::optional<int64_t>(const std::string&)>;

/// Thread-safe.
class CutOffRuns {
 public:
  /// @param askStart used on the thread that calls step().
  CutOffRuns(const Clock& clock, const BackendSet& backends, AskStart askStart,
             RequestQuarantine& quarantine)
      : clock_(clock),
        backends_(backends),
        askStart_(std::move(askStart)),
        quarantine_(quarantine) {}

  /// Keeps a run of the request, whose end is the moment at which it was cut off. Runs at a back
  /// end that was about to leave are not kept: they end with it as planned.
  void note(uint64_t fingerprint, const BackendListing& backend, const quarantine::CrashedRun& run);
  /// This process of a back end sent something at that time: what was cut off before it did not end
  /// with the process.
  void noteAlive(uint64_t incarnation, Time at);
  /// Looks for evidence; to be called each `kStep`. Waits for a few back ends at most.
  void step();
  size_t size() const;

  /// How often evidence is looked for: a port that closes late does so within some 100 ms.
  static constexpr Duration kStep{100000};

 private:
  struct CutOffRun {
    uint64_t fingerprint = 0;
    std::string backend;
    int64_t startedAt = 0;  ///< Of its back end, in Unix ms; 0: not told.
    SocketAddress address;
    quarantine::CrashedRun run;
    Time nextLookAt;
  };
  /// What became of the process at which a run was cut off.
  enum class Fate { kUnknown, kEnded, kLives, kLeaving };

  Fate fateByList(const CutOffRun& cut) const;
  Fate fateByLook(const CutOffRun& cut) const;
  /// @return one run of each incarnation, and whether it is due for a look. Forgets old ones.
  std::map<uint64_t, CutOffRun> firstOfEach(Time now);
  /// Takes out the runs that this fate settles.
  std::vector<CutOffRun> takeSettled(uint64_t incarnation, Fate fate, Time lookedAt);
  void postponeLook(uint64_t incarnation, Time now);

  const Clock& clock_;
  const BackendSet& backends_;
  const AskStart askStart_;
  RequestQuarantine& quarantine_;
  mutable std::mutex mutex_;
  std::deque<CutOffRun> runs_;         ///< In the order in which they were cut off.
  std::atomic<bool> holdsAny_{false};  ///< `runs_` isn't empty.
};

}  // namespace fernmoor::gateway
