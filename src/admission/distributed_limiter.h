/// @file
/// Client side of the distributed rate and concurrency limits. A node spends the tokens (rate) and
/// places (concurrency slots) that the row's owner granted to it, and falls back to an equal share
/// of the limit while the owner is unreachable.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "admission/limit_owner.h"
#include "admission/row_limiter.h"
#include "common/knobs.h"
#include "routing/decaying_rate.h"

namespace fernmoor {

/// The node's equal share of every limit, used while the owner is unreachable.
struct EqualShare {
  int64_t nodes = 1;  ///< Nodes that share the limit, including those that are currently absent.
  int64_t rank = 0;   ///< Of this node among them; the lowest ranks share the remainder.
};

/// Whether a request may be admitted on tokens that the node does not hold yet.
enum class DebtPolicy {
  kForbidDebt,  ///< Only on tokens that this node holds.
  kAllowDebt,   ///< Also before the owner answers, up to a bounded debt.
};

/// Not thread-safe.
class DistributedLimiter {
 public:
  explicit DistributedLimiter(const Knobs& knobs);

  /// @param cost in the unit of the rate.
  Result<Done> tryAcquire(const RowLimits& limits, double cost, DebtPolicy debtPolicy, Time now);
  /// Returns the tokens of a request that did not run after all.
  void refund(const RowKey& row, double cost);
  void release(const RowKey& row, Time now);
  /// Applies the owner's answer. Answers to any but the latest question are ignored.
  void onGrant(const LimitGrant& grant, Time now);
  /// Sets this node's equal share; it applies to all rows.
  void setEqualShare(EqualShare share) { share_ = share; }

  /// @return the questions to send now, including repetitions of unanswered ones.
  std::vector<LimitDemand> dueQuestions(Time now);
  /// @param needed cost of a request that waits for the answer.
  /// @return the question to send now about one row; none if the row is unknown or an answer is
  /// still outstanding.
  std::optional<LimitDemand> urgentQuestion(const RowKey& row, double needed, Time now);
  /// @return whether the latest question about the row is still unanswered.
  bool awaitsAnswer(const RowKey& row) const;
  /// @return whether the owner last granted fewer tokens than requested.
  bool isShort(const RowKey& row) const;
  /// @return the number of rows for which isShort() holds.
  size_t shortCount() const;
  /// Removes rows that have been unused for a while and have no requests in flight.
  void expire(Time now);

  int64_t inFlight(const RowKey& row) const;
  size_t rowCount() const { return rows_.size(); }

 private:
  struct RowUse {
    RowLimits limits;
    double tokens = 0;         ///< Held; negative while in debt.
    DecayingRate demand;       ///< Determines how many tokens the node tries to hold.
    DecayingRate requests;     ///< Same half-life as `demand`, counted in requests.
    DecayingRate usualDemand;  ///< Longer half-life: what the owner divides the rate by.
    double grantedRate = 0;    ///< Share of the rate that the owner promised this node.
    bool isShort = false;      ///< The owner granted fewer tokens than requested.
    int64_t inFlight = 0;
    int64_t refusedPlaces = 0;  ///< Rejected for lack of places since the last question.
    int64_t places = 0;
    bool hasPlaces = false;  ///< `places` was confirmed by the owner.
    bool hadGrants = false;
    uint32_t sequence = 0;
    bool awaitsAnswer = false;
    LimitDemand question;       ///< The latest one, kept for repetition.
    double requestedLevel = 0;  ///< Token level that the question asked to be filled up to.
    Time askedAt;               ///< When the latest question, or its repetition, was sent.
    Time unansweredSince;       ///< When the outstanding question was first sent.
    Time answeredAt;            ///< Time of the last answer; initially, of the row's first use.
    Time fallbackAt;            ///< Time up to which fallback tokens were added.
    Time usedAt;
  };

  /// @return whether the owner answered recently enough that its grant of places still applies.
  bool isLeaseValid(const RowUse& use, Time now) const;
  /// @return false once a question has been unanswered for longer than kAnswerTimeout.
  bool isOwnerAnswering(const RowUse& use, Time now) const;
  bool isQuestionDue(const RowUse& use, Time now) const;
  LimitDemand makeQuestion(RowUse& use, double needed, Time now) const;
  bool isIdle(const RowUse& use, Time now) const;
  double targetTokens(const RowUse& use, Time now) const;
  double maximumDebt(const RowUse& use) const;
  int64_t placeLimit(const RowUse& use, Time now) const;
  void addFallbackTokens(RowUse& use, Time now) const;
  bool takeTokens(RowUse& use, double cost, DebtPolicy debtPolicy, Time now) const;
  bool maySpend(const RowUse& use, double cost, DebtPolicy debtPolicy, Time now) const;
  Duration timeUntil(double tokens, const RowUse& use) const;

  const Knobs knobs_;
  EqualShare share_;
  std::map<RowKey, RowUse> rows_;
};

}  // namespace fernmoor
