/// @file
/// Limits that back ends state in their answers: the requests a second that one takes from all
/// nodes together, for as long as it says so. Each node keeps what it was told, by answers of its
/// own and by other nodes; which statement is the newest is decided by when the requests were sent
/// whose answers made them, as answers overtake each other.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/token_bucket.h"
#include "common/time.h"

namespace fernmoor::gateway {

/// What one answer states.
struct LimitStatement {
  std::optional<double> ratePerSecond;  ///< Requests a second; nothing: no limit.
  Time sentAt;                          ///< When the request was sent that it answers.
  Time cameAt;                          ///< When the answer came.
};

/// What an answer, or all that a node knows, states of one engine.
struct EngineStatement {
  uint64_t engine = 0;                  ///< Hash of its incarnation.
  std::optional<LimitStatement> limit;  ///< Nothing: it does not tell whether there is one.
  std::optional<Time> leavingSince;     ///< When a node was first told that it leaves.
  std::optional<Time> restsUntil;       ///< End of the rest that it asked a node for.

  bool isEmpty() const { return !limit && !leavingSince && !restsUntil; }
};

/// What a statement changed.
enum class LimitChange { kNone, kNamed, kChanged, kEnded };

/// @return whether `next` takes the place of `known`: its request was sent after `known` came, or
///         their order can't be told and it is the lower one.
bool supersedes(const LimitStatement& next, const LimitStatement& known);

/// @return requests a second that the back end gets under that limit: also one that takes nothing
///         is tried now and then, since only its answers tell when its limit is over.
double permittedRate(double statedRate);

/// Thread-safe. Back ends are named by hashes of their incarnations.
class StatedLimits {
 public:
  LimitChange note(uint64_t engine, const LimitStatement& statement);
  /// @return the statement in force, also where it ended a limit a moment ago.
  std::optional<LimitStatement> find(uint64_t engine) const;
  /// @return the stated requests a second; nothing where none is in force.
  std::optional<double> rateOf(uint64_t engine) const;
  /// Notes that the back end takes no further request until then.
  void noteWait(uint64_t engine, Time until);
  /// @return the time until a request may be permitted, as far as is known; nothing where the back
  ///         end states no limit.
  std::optional<Duration> permitDue(uint64_t engine, Time now) const;
  /// Lets a request pass on this node's part of the limit, where nobody answers who counts for all.
  bool takeUnasked(uint64_t engine, size_t nodes, Time now);
  /// @return back ends of which a statement is kept.
  std::vector<uint64_t> engines() const;
  /// @return back ends that state a limit.
  size_t count() const;
  /// Forgets limits that ended a while ago, and those of back ends that are not listed any more.
  void forgetOld(const std::function<bool(uint64_t)>& isListed, Time now);

 private:
  struct Entry {
    LimitStatement statement;
    Time permitAt;                       ///< No permit is to be had before.
    std::optional<TokenBucket> unasked;  ///< Of requests that nobody permitted.
  };

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, Entry> entries_;
  std::atomic<bool> isEmpty_{true};  ///< Choices ask for each back end: most times there is none.
};

}  // namespace fernmoor::gateway
