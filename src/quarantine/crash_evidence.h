/// @file
/// Which request crashes the engines that run it. Whatever runs at an engine that ends is under
/// suspicion, most of it innocently: a request is suspected only when several engines ended under
/// it, each in a run that began after the end before it, or some seconds apart, and when no other
/// request explains these ends. Whether it was served meanwhile is for the caller to ask: see
/// peers/quarantine_directory.h.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"

namespace fernmoor::quarantine {

/// One run of a request that ended with the process of its engine.
struct CrashedRun {
  uint64_t incarnation = 0;  ///< Equal on all nodes for one incarnation of an engine.
  Time beganAt;              ///< When it was sent there.
  Time endedAt;
  bool startKnown = false;  ///< The incarnation names one process, as its start was told.
};

/// @return whether both ended with one and the same process. One that fell silent goes on being
/// asked,
///         and what it held is cut off some seconds apart: where its start is known, no time tells
///         two ends apart, else an engine that starts again takes seconds.
bool isSameEnd(const CrashedRun& a, const CrashedRun& b);

/// A request under which enough engines ended.
struct Suspicion {
  uint64_t fingerprint = 0;
  std::vector<CrashedRun> runs;  ///< In no order; empty only in a verdict told without them.

  /// @return when the first of its runs began that ended so.
  Time since() const;
  /// @return whether some end is told of both.
  bool sharesEndWith(const Suspicion& other) const;
};

/// Not thread-safe. Memory is bounded: a flood of requests that each saw one engine end pushes out
/// none that saw several.
class CrashEvidence {
 public:
  /// Where two requests were at the same ends, further ones must tell them apart; two that always
  /// come together are both suspected after so many.
  static constexpr size_t kMostEndsNeeded = 5;

  /// @return the suspicion, where there is one with this run.
  std::optional<Suspicion> note(uint64_t fingerprint, const CrashedRun& run, Time now);
  /// @return the suspicion against the request, if there is one.
  std::optional<Suspicion> suspicionOf(uint64_t fingerprint) const;
  /// @return the ends that are held against the request.
  std::vector<CrashedRun> runsOf(uint64_t fingerprint) const;
  /// The request was served, or is quarantined: nothing is held against it any more.
  void clear(uint64_t fingerprint);
  /// These ends are another request's doing: they count against nobody else, also where they are
  /// told later.
  void explain(uint64_t by, const std::vector<CrashedRun>& runs);
  /// Suspects the request only after one more end than it has now.
  /// @return false where it has as many as are ever asked for.
  bool demandOneMore(uint64_t fingerprint);
  size_t size() const { return suspects_.size(); }
  /// @return what is held against requests, at most so many, those with the newest ends.
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
  void makeRoom(Time now);

  std::map<uint64_t, Suspect> suspects_;
  std::deque<Explained> explained_;
};

}  // namespace fernmoor::quarantine
