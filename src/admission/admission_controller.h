/// @file
/// The door of the request plane: a request starts at once, waits, or is refused at once with the
/// time to come back. Limits of the row come first, then the pool's capacity, which is told from
/// the engines' load (back pressure). docs/ADMISSION.md explains the mechanisms.
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

/// Counts since the start.
struct AdmissionCounters {
  uint64_t admittedAtOnce = 0;
  uint64_t queued = 0;
  uint64_t granted = 0;
  uint64_t refusedByLimit = 0;
  uint64_t refusedHopeless = 0;   ///< Could not have started in time.
  uint64_t refusedDisplaced = 0;  ///< The queue was full, or needed for work of a higher band.
  uint64_t refusedExpired = 0;    ///< Waited, and then could not start in time any more.
  uint64_t retriesAllowed = 0;
  uint64_t retriesRefused = 0;
};

/// Thread-safe; takes the lock of rank kAdmission. Every request that was admitted, or granted by
/// a decision, is ended by one call of release(); refused and cancelled ones are not.
class AdmissionController {
 public:
  /// @param limiter limits of rows; used under this object's lock.
  AdmissionController(const Knobs& knobs, std::shared_ptr<RowLimiter> limiter, uint64_t seed);

  /// @return Admitted, Queued with a ticket, or an error with runState kNotRun and a Retry-After
  /// that is spread so that refused callers don't return together.
  Result<AdmissionOutcome> admit(const AdmissionRequest& request, Time now);

  /// Tells how many more requests the pool's engines can take now (see freePlaces()). A pool that
  /// was never told of is not limited.
  void setCapacity(const PoolId& pool, int64_t freePlaces, Time now);
  /// A request ended; its place and its row's concurrency are free again.
  void release(const AdmissionRequest& request, Time now);
  /// A waiting caller went away.
  /// @return false where its decision was made already: it has to be taken and, if granted, ended.
  bool cancel(TicketId ticket, Time now);
  /// @return grants and refusals that are due; the callers of these tickets have to be told now.
  /// Call it after setCapacity(), release(), admit() and every few tens of milliseconds.
  std::vector<TicketDecision> takeDecisions(Time now);

  /// Counts a first try for the retry budget.
  void countAttempt(Time now);
  /// @return true where the router may add a retry by itself.
  bool tryRetry(Time now);

  size_t waiting(const PoolId& pool) const;
  AdmissionCounters counters() const;

 private:
  struct Pool {
    explicit Pool(const Knobs& knobs) : queue(knobs) {}
    AdmissionQueue queue;
    bool limited = false;
    int64_t freePlaces = 0;
    DecayingRate starts;  ///< Requests that started, by which a newcomer's wait is estimated.
  };

  Pool& poolOf(const PoolId& pool);
  Result<AdmissionOutcome> enqueue(const AdmissionRequest& request, Pool& pool, Time now);
  Duration estimatedWait(const Pool& pool, const AdmissionRequest& request, Time now) const;
  void start(Pool& pool, Time now);
  void grantWaiting(Pool& pool, Time now);
  void refuse(const QueuedRequest& queued, const std::string& what, Duration wait, Time now);
  Error overloadError(const std::string& what, Duration wait);
  Duration spread(Duration retryAfter);

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
