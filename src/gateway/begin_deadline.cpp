#include "gateway/begin_deadline.h"

#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

/// Time until a back end drops a request whose connection was closed (250 ms): 20 ms one way
/// between regions, plus the wait for a thread on busy machines at both ends.
constexpr Duration kCloseDelay{250000};
/// Requests waiting at the same bound are withdrawn spread over this time (300 ms).
constexpr Duration kWithdrawSpread{300000};

Duration spreadOf(const std::string& requestId) {
  return Duration(
      static_cast<int64_t>(stableHash(requestId) % static_cast<uint64_t>(kWithdrawSpread.count())));
}

}  // namespace

BeginDeadline::BeginDeadline(const DesiredWeights& wanted, const std::string& requestId)
    : wanted_(wanted), spread_(spreadOf(requestId)) {}

void BeginDeadline::start(const std::string& model, uint64_t weights, bool showsBegin) {
  model_ = model;
  weights_ = weights;
  showsBegin_ = showsBegin && !model.empty();
  hasBegun_ = false;
}

std::optional<Time> BeginDeadline::withdrawAt() const {
  if (hasBegun_ || !showsBegin_) {
    return std::nullopt;
  }
  const std::optional<Time> end = wanted_.boundEnd(model_, weights_);
  return end ? std::optional<Time>(*end - kCloseDelay - spread_) : std::nullopt;
}

bool BeginDeadline::isOver(Time now) const {
  const std::optional<Time> at = withdrawAt();
  return at && now >= *at;
}

}  // namespace fernmoor::gateway
