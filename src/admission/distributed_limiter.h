/// @file
/// A node's side of limits that hold over all nodes: it spends tokens and places that the row's
/// owner gave it, and an equal share of the limit while the owner can't be reached.
#pragma once

#include <map>
#include <optional>
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

/// What a request may be let pass on.
enum class Spending {
  kStockOnly,  ///< On what this node holds.
  kInAdvance,  ///< Also ahead of the owner's answer, within bounds.
};

/// Not thread-safe.
class DistributedLimiter {
 public:
  explicit DistributedLimiter(const Knobs& knobs);

  /// @param cost in the unit of the rate.
  Result<Done> tryAcquire(const RowLimits& limits, double cost, Spending spending, Time now);
  /// Takes back what a request cost that did not run.
  void giveBack(const RowKey& row, double cost);
  void release(const RowKey& row, Time now);
  /// Takes an owner's answer. Answers to former questions are ignored.
  void onGrant(const LimitGrant& grant, Time now);
  /// Sets this node's share; the same for all rows.
  void setEqualShare(EqualShare share) { share_ = share; }

  /// @return the questions that are due now; those without an answer are repeated.
  std::vector<LimitDemand> dueQuestions(Time now);
  /// @param needed cost of a request that waits for the answer.
  /// @return the question about one row, if one may be asked now.
  std::optional<LimitDemand> urgentQuestion(const RowKey& row, double needed, Time now);
  /// @return whether the last question about the row has no answer yet.
  bool awaitsAnswer(const RowKey& row) const;
  /// @return whether the owner gave less than was wanted.
  bool isShort(const RowKey& row) const;
  size_t shortCount() const;
  /// Forgets rows that are neither used nor asked for.
  void expire(Time now);

  int64_t inFlight(const RowKey& row) const;
  size_t rowCount() const { return rows_.size(); }

 private:
  struct RowUse {
    RowLimits limits;
    double tokens = 0;    ///< Negative: spent in advance.
    DecayingRate demand;  ///< By which the stock is measured.
    DecayingRate requests;
    DecayingRate usualDemand;  ///< Smoother: by which the owner shares the rate out.
    double grantedRate = 0;    ///< That the owner lets this node count on.
    bool isShort = false;      ///< The owner gave less than was wanted.
    int64_t inFlight = 0;
    int64_t refusedPlaces = 0;  ///< Since the last question.
    int64_t places = 0;
    bool hasPlaces = false;  ///< The owner confirmed `places`.
    bool hadGrants = false;
    uint32_t sequence = 0;
    bool awaitsAnswer = false;
    LimitDemand question;   ///< The last one, to be repeated.
    double stockAsked = 0;  ///< The stock that the question was to fill up to.
    Time askedAt;           ///< Last, repeated questions included.
    Time unansweredSince;   ///< While an answer is awaited: when the question was first asked.
    Time answeredAt;        ///< Or when the row was first used here.
    Time fallbackAt;        ///< Until when the equal share was counted.
    Time usedAt;
  };

  /// @return whether the owner can be taken to know this node's use.
  bool hasOwner(const RowUse& use, Time now) const;
  /// @return whether this node's questions are answered, as far as is known.
  bool isAnswered(const RowUse& use, Time now) const;
  bool isQuestionDue(const RowUse& use, Time now) const;
  LimitDemand makeQuestion(RowUse& use, double needed, Time now) const;
  bool isIdle(const RowUse& use, Time now) const;
  double wantedStock(const RowUse& use, Time now) const;
  double overdraft(const RowUse& use) const;
  int64_t placeLimit(const RowUse& use, Time now) const;
  void addFallbackTokens(RowUse& use, Time now) const;
  bool takeTokens(RowUse& use, double cost, Spending spending, Time now) const;
  bool maySpend(const RowUse& use, double cost, Spending spending, Time now) const;
  Duration timeUntil(double tokens, const RowUse& use) const;

  const Knobs knobs_;
  EqualShare share_;
  std::map<RowKey, RowUse> rows_;
};

}  // namespace fernmoor
