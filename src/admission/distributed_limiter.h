/// @file
/// A node's side of limits that hold over all nodes: it spends tokens and places that the row's
/// owner gave it, and an equal share of the limit while the owner can't be reached.
#pragma once

#include <map>
#include <vector>

#include "admission/limit_owner.h"
#include "admission/row_limiter.h"
#include "common/knobs.h"
#include "routing/decaying_rate.h"

namespace fernmoor {

/// The node's equal share of a limit, for use without the owner.
struct EqualShare {
  int64_t nodes = 1;  ///< That share the limit, absent ones included.
  int64_t rank = 0;   ///< Of this node among them; the first ones get what doesn't divide evenly.
};

/// Not thread-safe.
class DistributedLimiter {
 public:
  explicit DistributedLimiter(const Knobs& knobs);

  Result<Done> tryAcquire(const RowLimits& limits, Time now);
  void release(const RowKey& row, Time now);
  /// Takes an owner's answer. Answers to former questions are ignored.
  void onGrant(const LimitGrant& grant, Time now);
  /// Sets this node's share; the same for all rows.
  void setEqualShare(EqualShare share) { share_ = share; }

  /// @return the questions that are due now; those without an answer are repeated.
  std::vector<LimitDemand> dueQuestions(Time now);
  /// Forgets rows that are neither used nor asked for.
  void expire(Time now);

  int64_t inFlight(const RowKey& row) const;
  size_t rowCount() const { return rows_.size(); }

 private:
  struct RowUse {
    RowLimits limits;
    double tokens = 0;  ///< Negative: spent in advance.
    DecayingRate demand;
    double grantedRate = 0;  ///< That the owner lets this node count on.
    bool isShort = false;    ///< The owner gave less than was wanted.
    int64_t inFlight = 0;
    int64_t refusedPlaces = 0;  ///< Since the last question.
    int64_t places = 0;
    bool hasPlaces = false;  ///< The owner confirmed `places`.
    bool hadGrants = false;
    uint32_t sequence = 0;
    bool awaitsAnswer = false;
    LimitDemand question;  ///< The last one, to be repeated.
    Time askedAt;
    Time answeredAt;  ///< Or when the row was first used here.
    Time fallbackAt;  ///< Until when the equal share was counted.
    Time usedAt;
  };

  bool hasOwner(const RowUse& use, Time now) const;
  bool isQuestionDue(const RowUse& use, Time now) const;
  LimitDemand makeQuestion(RowUse& use, Time now) const;
  double wantedStock(const RowUse& use, Time now) const;
  double overdraft(const RowUse& use) const;
  int64_t placeLimit(const RowUse& use, Time now) const;
  void addFallbackTokens(RowUse& use, Time now) const;
  bool takeToken(RowUse& use, Time now) const;
  Duration timeUntilToken(const RowUse& use) const;

  const Knobs knobs_;
  EqualShare share_;
  std::map<RowKey, RowUse> rows_;
};

}  // namespace fernmoor
