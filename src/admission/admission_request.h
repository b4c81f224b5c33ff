/// @file
/// A request as admission sees it, and what admission says.
#pragma once

#include <cstdint>
#include <variant>

#include "common/error.h"
#include "common/ids.h"
#include "common/time.h"
#include "table/row.h"

namespace fernmoor {

/// One waiting request of this node.
using TicketId = NumberId<struct TicketIdTag>;
/// Back ends that can stand in for one another: a model's engines, or the application engines.
using PoolId = NamedId<struct PoolIdTag>;

/// What a rate counts.
enum class LimitUnit { kRequests, kTokens };

/// @return the unit as it reads in a message: "requests", "tokens".
const char* toString(LimitUnit unit);

/// Limits of a row that hold over all nodes. A row without a service stands for all of a tenant's
/// requests.
struct RowLimits {
  RowKey row;
  LimitUnit unit = LimitUnit::kRequests;
  double ratePerSecond = 0;  ///< In units; 0: no limit.
  double burst = 1;          ///< In units, beyond the rate.
  int64_t concurrency = 0;   ///< 0: no limit.
  uint64_t rowVersion = 0;   ///< Of two nodes' limits, those of the newer row hold.
};

struct AdmissionRequest {
  RowLimits limits;
  PoolId pool;
  int64_t priority = 5;  ///< 0 (first) to 9 (last).
  double weight = 1.0;   ///< Share of the tenant within the priority.
  DeadlineClass deadlineClass = DeadlineClass::kInteractive;
  Duration maxWait{10000000};   ///< Longest time in the queue.
  Time deadline;                ///< When the last byte is due.
  Duration expectedService{0};  ///< Time it will need once it starts; it must end by the deadline.
  double cost = 1.0;            ///< Work that counts against the tenant's share, e.g. tokens.
};

/// @return the facts of a request of this row that arrived at `now`.
AdmissionRequest admissionRequestOf(const Row& row, Time now);

/// The request may start now.
struct Admitted {};
/// The request waits; its ticket's decision comes from a later call.
struct Queued {
  TicketId ticket;
  Duration estimatedWait{0};
};
using AdmissionOutcome = std::variant<Admitted, Queued>;

/// The end of a ticket's wait.
struct TicketDecision {
  TicketId ticket;
  Result<Admitted> result;
  Duration waited{0};
};

}  // namespace fernmoor
