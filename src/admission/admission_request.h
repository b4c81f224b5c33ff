/// @file
/// Input and output types of admission control.
#pragma once

#include <cstdint>
#include <variant>

#include "common/error.h"
#include "common/ids.h"
#include "common/time.h"
#include "table/row.h"

namespace fernmoor {

/// Identifies a queued request on this node.
using TicketId = NumberId<struct TicketIdTag>;
/// A set of interchangeable back ends: the engines of one model, or the application engines.
using PoolId = NamedId<struct PoolIdTag>;

/// What a rate limit counts.
enum class LimitUnit { kRequests, kTokens };

/// @return the plural noun for messages: "requests" or "tokens".
const char* toString(LimitUnit unit);

/// Limits of a row, enforced across all nodes. A row without a service covers all requests of the
/// tenant.
struct RowLimits {
  RowKey row;
  LimitUnit unit = LimitUnit::kRequests;
  double ratePerSecond = 0;  ///< In units of `unit`; 0 means no limit.
  double burst = 1;          ///< Capacity of the token bucket, in units of `unit`.
  int64_t concurrency = 0;   ///< Requests in flight; 0 means no limit.
  uint64_t rowVersion = 0;   ///< If nodes disagree on the limits, the newer version applies.
};

struct AdmissionRequest {
  RowLimits limits;
  PoolId pool;
  int64_t priority = 5;  ///< 0 (first) to 9 (last).
  double weight = 1.0;   ///< The tenant's weight in fair queueing within its priority.
  DeadlineClass deadlineClass = DeadlineClass::kInteractive;
  Duration maxWait{10000000};   ///< Longest time in the queue.
  Time deadline;                ///< When the last byte of the answer is due.
  Duration expectedService{0};  ///< From start to end; it must end by the deadline.
  double cost = 1.0;            ///< Work charged to the tenant in fair queueing, e.g. tokens.
};

/// @return the admission parameters of a request for this row that arrived at `now`.
AdmissionRequest admissionRequestOf(const Row& row, Time now);

/// The request may start immediately.
struct Admitted {};
/// The request waits; AdmissionController::takeDecisions() will return the decision on its ticket.
struct Queued {
  TicketId ticket;
  Duration estimatedWait{0};
};
using AdmissionOutcome = std::variant<Admitted, Queued>;

/// The grant or rejection that ends a queued request's wait.
struct TicketDecision {
  TicketId ticket;
  Result<Admitted> result;
  Duration waited{0};
};

}  // namespace fernmoor
