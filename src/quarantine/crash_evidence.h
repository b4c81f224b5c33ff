/// @file
/// Finds the requests that crash engines. Every request that runs at an engine when it crashes
/// could be the cause, and most of them are not. A request is therefore suspected only if several
/// engines crashed while running it, each run beginning after the previous crash or the crashes
/// lying some seconds apart, and if no other request explains these crashes. While no fewer engines
/// crashed without it than with it, something else ends engines, and further crashes are required,
/// up to five: a long stream meets three such crashes by chance. The caller checks whether the
/// request was served meanwhile; see peers/quarantine_directory.h.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"

namespace fernmoor::quarantine {

/// Set in the fingerprints of parts of prompts, and not in those of whole requests.
inline constexpr uint64_t kPartMark = uint64_t{1} << 63U;

/// @return whether a suspect is a part of prompts that many requests may share.
inline bool isPart(uint64_t fingerprint) {
  return (fingerprint & kPartMark) != 0;
}

/// A run of a request that ended because the process of its engine ended.
struct CrashedRun {
  uint64_t incarnation = 0;  ///< Incarnation of the engine; the same value on all nodes.
  Time beganAt;              ///< When the request was sent to the engine.
  Time endedAt;
  bool startKnown = false;  ///< The incarnation identifies one process, as its start time is known.
};

/// @return whether both runs ended with the same process. A process that stops responding still
///         receives requests, and its runs are cut off some seconds apart. If its start is known,
///         two runs of one incarnation therefore always ended with the same process; otherwise they
///         are told apart by time, as an engine takes seconds to restart.
bool isSameCrash(const CrashedRun& a, const CrashedRun& b);

/// A request that was running at enough crashes of engines.
struct Suspicion {
  uint64_t fingerprint = 0;
  std::vector<CrashedRun>
      runs;  ///< Unordered; empty only for a verdict that was sent without them.

  /// @return when the first of the runs began.
  Time since() const;
  /// @return whether both have a crash in common.
  bool sharesCrashWith(const Suspicion& other) const;
  /// @return whether this is a whole request that was running at all crashes of a part: it explains
  ///         them better, as many other requests share the part.
  bool explainsPart(const Suspicion& part) const;
};

/// Not thread-safe. Memory is bounded; a flood of requests with one crash each does not evict those
/// with several.
class CrashEvidence {
 public:
  /// If two requests were running at the same crashes, further crashes must tell them apart. Two
  /// requests that always come together are both suspected after this number of crashes.
  static constexpr size_t kMaxCrashesNeeded = 5;

  /// Records that an engine crashed, whichever requests it ran.
  void noteEnd(const CrashedRun& run);
  /// Records a run. @return the suspicion against the request, if there is one now.
  std::optional<Suspicion> note(uint64_t fingerprint, const CrashedRun& run, Time now);
  /// @return the suspicion against the request, if there is one.
  std::optional<Suspicion> suspicionOf(uint64_t fingerprint) const;
  /// @return a whole request that explains the crashes of the part, if there is one.
  std::optional<Suspicion> explanationOf(const Suspicion& part) const;
  /// @return the runs that are held against the request.
  std::vector<CrashedRun> runsOf(uint64_t fingerprint) const;
  /// Drops everything held against the request, as it was served or is quarantined.
  void clear(uint64_t fingerprint);
  /// Attributes crashes to a request: they don't count against any other request, even if they are
  /// reported later.
  void explain(uint64_t by, const std::vector<CrashedRun>& runs);
  /// Requires one more crash than there are now before the request is suspected.
  /// @return false if it already has the maximum number that can be required.
  bool requireOneMoreCrash(uint64_t fingerprint);
  size_t size() const { return suspects_.size(); }
  /// @return the runs held against requests, for at most `most` requests with the newest crashes.
  std::vector<Suspicion> newest(size_t most) const;

 private:
  struct Suspect {
    std::vector<CrashedRun> runs;
    size_t needed = 0;
    Time lastAt;
  };
  struct Explained {
    uint64_t by = 0;
    CrashedRun run;
  };

  bool isExplained(uint64_t fingerprint, const CrashedRun& run) const;
  /// @return the number of unexplained crashes since the first run of the suspicion began at which
  ///         the request is not known to have been running.
  size_t crashesWithout(const Suspicion& suspicion) const;
  void makeRoom(Time now);

  std::map<uint64_t, Suspect> suspects_;
  std::deque<Explained> explained_;
  std::deque<CrashedRun> ends_;  ///< One run of each crash that is not explained, the oldest first.
};

}  // namespace fernmoor::quarantine
