/// @file
/// Serves requests: chooses a back end, forwards the request unchanged, relays the answer as it
/// arrives, and handles back ends that reject the request, fail, break off or fall silent. Retries
/// depend on whether the request may have run: one that may run at most once is never sent again
/// unless the back end states that it did not run.
#pragma once

#include <memory>
#include <string>

#include "backends/backend_set.h"
#include "backends/wanted_weights.h"
#include "common/log_budget.h"
#include "common/metrics.h"
#include "common/time.h"
#include "gateway/backend_protocol.h"
#include "gateway/byte_budget.h"
#include "gateway/caller_channel.h"
#include "gateway/connection_pool.h"
#include "gateway/cut_off_runs.h"
#include "gateway/engine_reach.h"
#include "gateway/incoming_request.h"
#include "gateway/outcome_log.h"
#include "gateway/part_memory.h"
#include "gateway/peer_path.h"
#include "gateway/request_quarantine.h"
#include "gateway/retry_budgets.h"
#include "gateway/return_times.h"
#include "gateway/send_planner.h"
#include "gateway/stream_bindings.h"
#include "gateway/table_in_force.h"
#include "gateway/tenant_limits.h"

namespace fernmoor::gateway {

/// Dependencies of the forwarder; all outlive it.
struct ForwarderServices {
  const Clock& clock;
  TableInForce& table;
  BackendSet& backends;
  ConnectionPool& connections;
  RetryBudgets& budget;
  const BackendProtocol& protocol;
  const DesiredWeights& wanted;
  PartHints& parts;
  EngineLoads& loads;
  TenantLimits& limits;
  RequestQuarantine& quarantine;
  StreamBindings& streams;
  AskStart askStart;
  CutOffRuns& cutOffRuns;
  EngineReach& reach;
  PeerPath& peers;
  Metrics& metrics;
  ByteBudget& heldBytes;  ///< Memory for answers that are buffered until complete.
};

struct ForwarderOptions {
  std::string zone;
  /// Requests with a key are forwarded only if the last confirmed read of the table is at most this
  /// old.
  Duration keyFreshness{4500000};
  uint64_t randomSeed = 0;
  /// Upper bound on the silence after which a repeatable request is sent to another back end, if
  /// the time to its first event is not known.
  Duration silenceBeforeSecondSend{1500000};
};

/// Log budget for statements of back ends that can't be parsed.
inline constexpr LogBudgetBounds kUnreadableStatementLogBudget{0.2, 5};

/// Thread-safe: serves requests concurrently.
class Forwarder {
 public:
  Forwarder(ForwarderServices services, ForwarderOptions options);

  /// Serves the request to its end. On return, the answer has been sent or the caller's connection
  /// has been aborted.
  /// @param request moved in by the caller, as its body may be long.
  void serve(IncomingRequest request, CallerChannel& caller);

  /// @return whether requests are handed to other nodes, which verify their keys, because this one
  ///         reaches no engine.
  bool handsRequestsOn() const { return services_.reach.state() == ReachState::kPartitioned; }

 private:
  friend class RequestRun;

  ForwarderServices services_;
  ForwarderOptions options_;
  SendPlanner planner_;
  OutcomeLog outcomeLog_;
  LogBudget unreadableStatementLog_{kUnreadableStatementLogBudget};
  ReturnTimes returnTimes_;
};

}  // namespace fernmoor::gateway
