/// @file
/// The dispatcher side of non-repeatable requests: obtains a majority of the votes of a key's
/// replicas before the request may be dispatched, records its answer, and releases claims that
/// were not dispatched.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "claim/claim_record.h"
#include "claim/claim_rules.h"
#include "claim/claim_wire.h"
#include "claim/replica_group.h"
#include "common/error.h"
#include "common/knobs.h"
#include "common/random.h"
#include "common/role.h"

namespace fernmoor {

/// Identifies one begin() call of this coordinator.
using ClaimTicket = NumberId<struct ClaimTicketTag, uint64_t>;

/// The request may be dispatched, once; end with complete() or release().
struct ClaimGranted {
  ClaimAttempt attempt;
};
/// The request ran before; this is its answer.
struct ClaimRecorded {
  ClaimAnswer answer;
};
/// Another dispatcher runs the request or tries to; whether it ran is unknown.
struct ClaimBusy {
  Duration retryAfter;
};
/// Result of a begin(). An Error reports kNotRun only for keys that no node accepts, and kUnknown
/// otherwise: an earlier send of the key may have run. Sending the same key again is always safe.
using ClaimOutcome = std::variant<ClaimGranted, ClaimRecorded, ClaimBusy, Error>;

/// Result of a begin(), with its ticket.
struct ClaimResolution {
  ClaimTicket ticket;
  ClaimOutcome outcome;
};

/// Result of a complete(), with its ticket.
struct CompletionResolution {
  ClaimTicket ticket;
  bool recorded = false;  ///< A majority stores the answer; otherwise a resend may get "unknown".
};

/// Not thread-safe; ClaimService serializes the calls.
class ClaimCoordinator : public Role {
 public:
  /// @param wallMicrosecondsAtZero wall clock minus monotonic clock, in microseconds.
  /// @param seed for the jitter of retry delays.
  ClaimCoordinator(NodeLife self, int64_t wallMicrosecondsAtZero, const Knobs& knobs, uint64_t seed,
                   ClaimRules rules = {});

  /// Starts to claim a key; the result is returned by takeResolutions().
  /// @param digest of the request's content (claimDigest()); another one under the same key is a
  /// conflict.
  ClaimTicket begin(const ClaimKey& key, uint64_t digest, Time now, MessageSender& sender);
  /// Records the answer of a granted request that ran; the result is returned by takeCompletions().
  void complete(ClaimTicket ticket, const ClaimAnswer& answer, Time now, MessageSender& sender);
  /// Releases a claim, granted or still pending. Allowed only if no byte of the request was sent to
  /// a back end, or the back end confirmed that it did not start. The caller may then be told
  /// "not run" if the claim had been granted, else "unknown".
  void release(ClaimTicket ticket, Time now, MessageSender& sender);

  void setGroupConfiguration(const GroupConfiguration& configuration, Time now,
                             MessageSender& sender);
  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

  std::vector<ClaimResolution> takeResolutions();
  std::vector<CompletionResolution> takeCompletions();
  /// @return attempts that have not ended on all replicas.
  size_t openAttempts() const { return attempts_.size(); }

 private:
  enum class Phase { kClaiming, kGranted, kCompleting, kReleasing };

  /// A replica's vote on a claim, and the incarnation that cast it.
  struct Vote {
    Incarnation incarnation;
    CrashVector vector;
    proto::ClaimVerdict verdict = proto::CLAIM_VERDICT_UNSPECIFIED;
    uint64_t holderDigest = 0;
    Duration holderAge{};
    ClaimAnswer answer;
  };

  struct Attempt {
    ClaimTicket ticket;
    ClaimKey key;
    uint64_t digest = 0;
    ClaimAttempt id;
    uint64_t epoch = 0;
    std::vector<NodeId> group;  ///< Whose votes count.
    Phase phase = Phase::kClaiming;
    Time deadline{};
    Time nextSend{};
    Duration resendInterval{};
    std::map<NodeId, Vote> votes;
    std::set<NodeId> unacknowledged;  ///< Replicas yet to confirm the completion or release.
    size_t acknowledged = 0;
    bool completionReported = false;
    ClaimAnswer answer;
  };

  void start(ClaimTicket ticket, const ClaimKey& key, uint64_t digest, Time deadline, Time now,
             MessageSender& sender);
  void onReply(const NodeLife& from, const proto::ClaimReply& reply, Time now,
               MessageSender& sender);
  void onAcknowledged(NodeId from, uint64_t number, Phase phase);
  void evaluateVotes(Attempt& attempt, Time now, MessageSender& sender);
  /// Removes votes of incarnations that another vote shows to have ended.
  void dropStaleVotes(Attempt& attempt) const;
  void reject(Attempt& attempt, ClaimOutcome outcome, Time now, MessageSender& sender);
  ClaimOutcome outcomeOfLoss(const Attempt& attempt, Time now);
  ClaimOutcome outcomeOfCompleted(const Attempt& attempt, const Vote& vote) const;
  void beginRelease(Attempt& attempt, Time now, MessageSender& sender);
  void sendDue(Attempt& attempt, Time now, MessageSender& sender);
  void sendClaim(const Attempt& attempt, MessageSender& sender) const;
  void sendCompletionOrRelease(const Attempt& attempt, MessageSender& sender) const;
  void reportCompletion(Attempt& attempt, bool recorded);
  Attempt* findByTicket(ClaimTicket ticket);
  const Attempt* findActive(const ClaimKey& key) const;
  Duration jitteredRetryDelay();
  int64_t wallMicrosecondsAt(Time now) const;

  NodeLife self_;
  int64_t wallMicrosecondsAtZero_;
  Knobs knobs_;
  ClaimRules rules_;
  Random random_;
  GroupConfiguration configuration_;
  uint64_t lastTicket_ = 0;
  uint64_t lastAttempt_ = 0;
  std::map<uint64_t, Attempt> attempts_;  ///< By attempt number.
  std::vector<ClaimResolution> resolutions_;
  std::vector<CompletionResolution> completions_;
};

}  // namespace fernmoor
