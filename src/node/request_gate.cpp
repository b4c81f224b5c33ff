#include "node/request_gate.h"

#include <utility>

namespace fernmoor {

namespace {

constexpr Duration kCallerCheckInterval{100000};

/// Lets the controller use limits that somebody else owns.
class BorrowedRowLimiter : public RowLimiter {
 public:
  explicit BorrowedRowLimiter(RowLimiter& limits) : limits_(limits) {}
  Result<Done> tryAcquire(const RowLimits& limits, double cost, Time now) override {
    return limits_.tryAcquire(limits, cost, now);
  }
  void release(const RowKey& row, Time now) override { limits_.release(row, now); }

 private:
  RowLimiter& limits_;
};

Error callerGoneError() {
  return Error{ErrorKind::kTimeout, "the caller went away while it waited.", RunState::kNotRun,
               std::nullopt};
}

}  // namespace

RequestGate::Pass::Pass(RequestGate& gate, AdmissionRequest request, Duration waited)
    : gate_(gate), request_(std::move(request)), waited_(waited) {}

RequestGate::Pass::~Pass() {
  gate_.leave(request_);
}

RequestGate::RequestGate(RowLimiter& limits, const Clock& clock, const Knobs& knobs, uint64_t seed)
    : clock_(clock), controller_(knobs, std::make_unique<BorrowedRowLimiter>(limits), seed) {}

Result<std::unique_ptr<RequestGate::Pass>> RequestGate::enter(const AdmissionRequest& request,
                                                              const CallerCheck& callerGone) {
  const Result<AdmissionOutcome> outcome = controller_.admit(request, clock_.now());
  if (!isOk(outcome)) {
    return errorOf(outcome);
  }
  controller_.countAttempt(clock_.now());
  if (const auto* queued = std::get_if<Queued>(&valueOf(outcome))) {
    return await(request, queued->ticket, callerGone);
  }
  return std::make_unique<Pass>(*this, request, Duration{0});
}

Result<std::unique_ptr<RequestGate::Pass>> RequestGate::await(const AdmissionRequest& request,
                                                              TicketId ticket,
                                                              const CallerCheck& callerGone) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    decisions_.emplace(ticket, std::nullopt);
  }
  tick();
  std::unique_lock<std::mutex> lock(mutex_);
  while (!decisions_.at(ticket)) {
    decided_.wait_for(lock, kCallerCheckInterval);
    if (decisions_.at(ticket)) {
      break;
    }
    lock.unlock();
    const bool left = callerGone() && controller_.cancel(ticket, clock_.now());
    lock.lock();
    if (left) {
      decisions_.erase(ticket);
      return callerGoneError();
    }
  }
  const TicketDecision decision = *decisions_.at(ticket);
  decisions_.erase(ticket);
  lock.unlock();
  if (!isOk(decision.result)) {
    return errorOf(decision.result);
  }
  return std::make_unique<Pass>(*this, request, decision.waited);
}

void RequestGate::setCapacity(const PoolId& pool, int64_t freePlaces) {
  controller_.setCapacity(pool, freePlaces, clock_.now());
  tick();
}

bool RequestGate::tryRetry() {
  return controller_.tryRetry(clock_.now());
}

void RequestGate::tick() {
  const std::vector<TicketDecision> due = controller_.takeDecisions(clock_.now());
  if (due.empty()) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const TicketDecision& decision : due) {
      // A decision may come before its waiter has noted the ticket, so it is kept in any case.
      decisions_.insert_or_assign(decision.ticket, decision);
    }
  }
  decided_.notify_all();
}

void RequestGate::leave(const AdmissionRequest& request) {
  controller_.release(request, clock_.now());
  tick();
}

}  // namespace fernmoor
