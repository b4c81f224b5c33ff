/// @file
/// Admission control: each request is admitted immediately, queued, or rejected immediately with a
/// Retry-After. The row's limits are checked first, then the pool's capacity, which is derived from
/// the load of the engines (backpressure). docs/ADMISSION.md explains the mechanisms.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/admission_request.h"
#include "admission/retry_budget.h"
#include "admission/row_limiter.h"
#include "common/knobs.h"
#include "common/lock_order.h"
#include "common/random.h"
#include "routing/decaying_rate.h"

namespace fernmoor {

/// Totals since the process started.
struct AdmissionCounters {
  uint64_t admittedAtOnce = 0;
  uint64_t queued = 0;
  uint64_t granted = 0;
  uint64_t refusedByLimit = 0;
  uint64_t refusedByEstimate = 0;  ///< By its estimated wait it could not start in time.
  uint64_t refusedDisplaced = 0;   ///< Queue full, or evicted for a request of a higher band.
  uint64_t refusedExpired = 0;     ///< Its latest start passed while it was queued.
  uint64_t retriesAllowed = 0;
  uint64_t retriesRefused = 0;
};

/// Thread-safe; takes the lock of rank kAdmission. Call release() exactly once for each request
/// that was admitted or whose ticket was granted, and never for a rejected or cancelled one.
class AdmissionController {
 public:
  /// @param limiter enforces the row limits; called with this object's lock held.
  AdmissionController(const Knobs& knobs, std::shared_ptr<RowLimiter> limiter, uint64_t seed);

  /// @return Admitted, Queued with a ticket, or an error with runState kNotRun and a Retry-After
  /// with random jitter, so that rejected callers don't all retry at the same time.
  Result<AdmissionOutcome> admit(const AdmissionRequest& request, Time now);

  /// Sets how many more requests the pool's engines can take now (see freePlaces()). A pool whose
  /// capacity was never set is unlimited.
  void setCapacity(const PoolId& pool, int64_t freePlaces, Time now);
  /// Frees the engine slot and the row's concurrency slot of a request that ended.
  void release(const AdmissionRequest& request, Time now);
  /// Removes a queued request whose caller disconnected.
  /// @return false if the ticket was already decided: the caller must still collect the decision
  /// with takeDecisions() and, if it is a grant, call release().
  bool cancel(TicketId ticket, Time now);
  /// @return the decisions made since the last call; notify the callers of these tickets now.
  /// Call it after setCapacity(), release() and admit(), and every few tens of milliseconds.
  std::vector<TicketDecision> takeDecisions(Time now);

  /// Counts a first attempt towards the retry budget.
  void countAttempt(Time now);
  /// @return true if the budget allows the router a retry of its own; the retry is then counted.
  bool tryRetry(Time now);

  size_t waiting(const PoolId& pool) const;
  AdmissionCounters counters() const;

 private:
  struct Pool {
    explicit Pool(const Knobs& knobs) : queue(knobs) {}
    AdmissionQueue queue;
    bool limited = false;
    int64_t freePlaces = 0;
    DecayingRate starts;  ///< Rate of starts, used to estimate the wait of a new request.
  };

  Pool& poolOf(const PoolId& pool);
  Result<AdmissionOutcome> enqueue(const AdmissionRequest& request, Pool& pool, Time now);
  Duration estimatedWait(const Pool& pool, const AdmissionRequest& request, Time now) const;
  void start(Pool& pool, Time now);
  void grantWaiting(Pool& pool, Time now);
  void refuse(const QueuedRequest& queued, const std::string& what, Duration wait, Time now);
  Error overloadError(const std::string& what, Duration wait);
  Duration addJitter(Duration retryAfter);

  const Knobs knobs_;
  mutable RankedMutex mutex_{LockRank::kAdmission};
  std::shared_ptr<RowLimiter> limiter_;
  Random random_;
  RetryBudget retryBudget_;
  std::map<PoolId, Pool> pools_;
  uint64_t lastTicket_ = 0;
  std::vector<TicketDecision> decisions_;
  AdmissionCounters counters_;
};

}  // namespace fernmoor
