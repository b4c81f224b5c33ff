#include "admission/admission_controller.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// Starts per second below which the measured rate is too low to estimate a wait from.
constexpr double kMinimumMeasuredStartsPerSecond = 0.05;
/// Seconds for which retries that are always allowed may be saved.
constexpr double kSavedRetrySeconds = 5;

RetryBudgetOptions retryBudgetOptions(const Knobs& knobs) {
  RetryBudgetOptions options = splitRatio(knobs.retryRatio);
  options.earnedPerSecond = knobs.retriesPerSecondAlways;
  options.savedAlways = knobs.retriesPerSecondAlways * kSavedRetrySeconds;
  return options;
}

}  // namespace

AdmissionController::AdmissionController(const Knobs& knobs, std::shared_ptr<RowLimiter> limiter,
                                         uint64_t seed)
    : knobs_(knobs),
      limiter_(std::move(limiter)),
      random_(seed),
      retryBudget_(retryBudgetOptions(knobs)) {}

AdmissionController::Pool& AdmissionController::poolOf(const PoolId& pool) {
  return pools_.try_emplace(pool, knobs_).first->second;
}

Result<AdmissionOutcome> AdmissionController::admit(const AdmissionRequest& request, Time now) {
  const RankedLock lock(mutex_);
  auto limit = limiter_->tryAcquire(request.limits, 1.0, now);
  if (!isOk(limit)) {
    ++counters_.refusedByLimit;
    Error error = errorOf(limit);
    error.retryAfter = addJitter(error.retryAfter.value_or(knobs_.minimumRetryAfter));
    return error;
  }
  Pool& pool = poolOf(request.pool);
  if (!pool.limited || (pool.freePlaces > 0 && pool.queue.size() == 0)) {
    start(pool, now);
    ++counters_.admittedAtOnce;
    return AdmissionOutcome{Admitted{}};
  }
  auto outcome = enqueue(request, pool, now);
  if (!isOk(outcome)) {
    limiter_->release(request.limits.row, now);
  }
  return outcome;
}

Result<AdmissionOutcome> AdmissionController::enqueue(const AdmissionRequest& request, Pool& pool,
                                                      Time now) {
  QueuedRequest queued;
  queued.ticket = TicketId(++lastTicket_);
  queued.request = request;
  queued.enqueuedAt = now;
  queued.latestStart = latestStartOf(request, now);
  const Duration wait = estimatedWait(pool, request, now);
  if (now + wait > queued.latestStart) {
    ++counters_.refusedByEstimate;
    return overloadError("the request could not start in time", wait);
  }
  const auto displaced = pool.queue.push(queued);
  if (displaced) {
    ++counters_.refusedDisplaced;
    if (displaced->ticket == queued.ticket) {
      return overloadError("the queue is full", wait);
    }
    refuse(*displaced, "the queue is needed for more urgent work", wait, now);
  }
  ++counters_.queued;
  return AdmissionOutcome{Queued{queued.ticket, wait}};
}

Duration AdmissionController::estimatedWait(const Pool& pool, const AdmissionRequest& request,
                                            Time now) const {
  const double rate = pool.starts.perSecond(now, knobs_.grantRateHalfLife);
  const double ahead = pool.queue.requestsAhead(request);
  if (rate < kMinimumMeasuredStartsPerSecond) {
    return Duration(0);
  }
  return fromSeconds(ahead / rate);
}

void AdmissionController::start(Pool& pool, Time now) {
  pool.freePlaces -= 1;
  pool.starts.add(1.0, now, knobs_.grantRateHalfLife);
}

void AdmissionController::setCapacity(const PoolId& pool, int64_t freePlaces, Time now) {
  const RankedLock lock(mutex_);
  Pool& target = poolOf(pool);
  target.limited = true;
  target.freePlaces = freePlaces;
  grantWaiting(target, now);
}

void AdmissionController::release(const AdmissionRequest& request, Time now) {
  const RankedLock lock(mutex_);
  limiter_->release(request.limits.row, now);
  Pool& pool = poolOf(request.pool);
  pool.freePlaces += 1;
  grantWaiting(pool, now);
}

bool AdmissionController::cancel(TicketId ticket, Time now) {
  const RankedLock lock(mutex_);
  for (auto& entry : pools_) {
    const auto removed = entry.second.queue.remove(ticket);
    if (removed) {
      limiter_->release(removed->request.limits.row, now);
      return true;
    }
  }
  return false;
}

std::vector<TicketDecision> AdmissionController::takeDecisions(Time now) {
  const RankedLock lock(mutex_);
  for (auto& entry : pools_) {
    grantWaiting(entry.second, now);
  }
  std::vector<TicketDecision> decisions;
  std::swap(decisions, decisions_);
  return decisions;
}

void AdmissionController::grantWaiting(Pool& pool, Time now) {
  for (const QueuedRequest& expired : pool.queue.takeExpired(now)) {
    ++counters_.refusedExpired;
    refuse(expired, "the request could not start in time",
           estimatedWait(pool, expired.request, now), now);
  }
  while (pool.freePlaces > 0 || !pool.limited) {
    const auto next = pool.queue.pop(now);
    if (!next) {
      return;
    }
    start(pool, now);
    ++counters_.granted;
    decisions_.push_back(TicketDecision{next->ticket, Admitted{}, now - next->enqueuedAt});
  }
}

void AdmissionController::refuse(const QueuedRequest& queued, const std::string& what,
                                 Duration wait, Time now) {
  limiter_->release(queued.request.limits.row, now);
  decisions_.push_back(
      TicketDecision{queued.ticket, overloadError(what, wait), now - queued.enqueuedAt});
}

Error AdmissionController::overloadError(const std::string& what, Duration wait) {
  const Duration base = std::clamp(wait, knobs_.minimumRetryAfter, knobs_.maximumRetryAfter);
  return Error{ErrorKind::kOverloaded,
               what + "; send it again after the time in Retry-After, or with a later deadline.",
               RunState::kNotRun, addJitter(base)};
}

Duration AdmissionController::addJitter(Duration retryAfter) {
  const Duration base = std::min(retryAfter, knobs_.maximumRetryAfter);
  return base + random_.between(Duration(0), std::max(base, knobs_.minimumRetryAfter));
}

void AdmissionController::countAttempt(Time now) {
  const RankedLock lock(mutex_);
  retryBudget_.countRequest(now);
}

bool AdmissionController::tryRetry(Time now) {
  const RankedLock lock(mutex_);
  const bool allowed = retryBudget_.tryRetry(now);
  ++(allowed ? counters_.retriesAllowed : counters_.retriesRefused);
  return allowed;
}

size_t AdmissionController::waiting(const PoolId& pool) const {
  const RankedLock lock(mutex_);
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.queue.size();
}

AdmissionCounters AdmissionController::counters() const {
  const RankedLock lock(mutex_);
  return counters_;
}

}  // namespace fernmoor
