#include "gateway/begin_deadline.h"

#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

/// Until a back end has dropped a request whose connection is closed: a way between regions, 20 ms,
/// and the wait for a thread on busy machines at both ends.
constexpr Duration kCloseTakesEffect{250000};
/// Those that wait at the end of one bound are taken back over so long a time.
constexpr Duration kTakeBackSpread{300000};

Duration spreadOf(const std::string& requestId) {
  return Duration(
      static_cast<int64_t>(stableHash(requestId) % static_cast<uint64_t>(kTakeBackSpread.count())));
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

std::optional<Time> BeginDeadline::takeBackAt() const {
  if (hasBegun_ || !showsBegin_) {
    return std::nullopt;
  }
  const std::optional<Time> end = wanted_.boundEnd(model_, weights_);
  return end ? std::optional<Time>(*end - kCloseTakesEffect - spread_) : std::nullopt;
}

bool BeginDeadline::isOver(Time now) const {
  const std::optional<Time> at = takeBackAt();
  return at && now >= *at;
}

}  // namespace fernmoor::gateway
