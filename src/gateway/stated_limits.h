/// @file
/// Rate limits that back ends state in their answers: the requests per second that a back end
/// accepts from all nodes together, valid until its next statement. Each node keeps the statements
/// from its own answers and from other nodes. Answers can arrive out of order, so statements are
/// ordered by the send times of the requests that they answer.
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

/// The limit stated in one answer.
struct LimitStatement {
  std::optional<double> ratePerSecond;  ///< Requests per second; nothing: no limit.
  Time sentAt;                          ///< When the answered request was sent.
  Time cameAt;                          ///< When the answer arrived.
};

/// The statements of one engine, in one answer or as merged by a node.
struct EngineStatement {
  uint64_t engine = 0;                  ///< Hash of its incarnation.
  std::optional<LimitStatement> limit;  ///< Nothing: unknown whether there is a limit.
  /// The rejections per second that it states it survives (it is brittle); ordered as limits are.
  /// Nothing: unknown whether it is brittle.
  std::optional<LimitStatement> brittleness;
  std::optional<Time> leavingSince;  ///< When a node first received that it is leaving.
  std::optional<Time> restsUntil;    ///< End of the rest that it requested from a node.

  bool isEmpty() const { return !limit && !brittleness && !leavingSince && !restsUntil; }
};

/// The effect of a statement.
enum class LimitChange { kNone, kNamed, kChanged, kEnded };

/// @return whether `next` replaces `known`: its request was sent after the answer of `known`
///         arrived; or their order is unknown, and `next` has the lower rate or, at equal rates,
///         arrived later.
bool supersedes(const LimitStatement& next, const LimitStatement& known);

/// @return the requests per second to send under that limit. The rate has a minimum above 0, since
///         only an answer of the back end can end the limit.
double permittedRate(double statedRate);

/// Thread-safe. Back ends are identified by the hashes of their incarnations.
class StatedLimits {
 public:
  LimitChange note(uint64_t engine, const LimitStatement& statement);
  /// @return the statement in effect, including one that recently ended a limit.
  std::optional<LimitStatement> find(uint64_t engine) const;
  /// @return the limit in requests per second; nothing if there is none.
  std::optional<double> rateOf(uint64_t engine) const;
  /// Records that no permit for the back end is available before `until`.
  void noteWait(uint64_t engine, Time until);
  /// @return the known time until a permit may be available; nothing if the back end states no
  ///         limit.
  std::optional<Duration> permitDue(uint64_t engine, Time now) const;
  /// Uses this node's share of the limit when the node that grants permits does not answer.
  /// @return whether the request may be sent.
  bool takeUnasked(uint64_t engine, size_t nodes, Time now);
  /// @return the back ends with a stored statement.
  std::vector<uint64_t> engines() const;
  /// @return the number of back ends that state a limit.
  size_t count() const;
  /// Removes limits that ended a while ago, and old ones of back ends that are no longer listed.
  void forgetOld(const std::function<bool(uint64_t)>& isListed, Time now);

 private:
  struct Entry {
    LimitStatement statement;
    Time permitAt;                           ///< No permit is available before this time.
    std::optional<TokenBucket> unpermitted;  ///< For requests sent without a permit.
  };

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, Entry> entries_;
  /// Avoids the lock in the common case of no limits, as each choice asks for each back end.
  std::atomic<bool> isEmpty_{true};
};

}  // namespace fernmoor::gateway
