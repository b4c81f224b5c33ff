/// @file
/// Admission for request threads: waits for the decision on the calling thread, and gives the place
/// back by itself.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "admission/admission_controller.h"
#include "admission/row_limiter.h"
#include "common/knobs.h"

namespace fernmoor {

/// Thread-safe.
class RequestGate {
 public:
  /// One admitted request; its place is free again when this is destroyed.
  class Pass {
   public:
    Pass(RequestGate& gate, AdmissionRequest request, Duration waited);
    ~Pass();
    Pass(const Pass&) = delete;
    Pass& operator=(const Pass&) = delete;
    Duration waited() const { return waited_; }

   private:
    RequestGate& gate_;
    const AdmissionRequest request_;
    const Duration waited_;
  };

  /// @return true where the waiting caller has gone away.
  using CallerCheck = std::function<bool()>;

  /// @param limits of rows over all nodes; outlives the gate.
  RequestGate(RowLimiter& limits, const Clock& clock, const Knobs& knobs, uint64_t seed);

  /// Waits until the request may start.
  /// @param callerGone asked a few times a second while it waits.
  /// @return the pass, or an error that says not_run and when to come back.
  Result<std::unique_ptr<Pass>> enter(const AdmissionRequest& request,
                                      const CallerCheck& callerGone);
  /// Tells how many more requests a pool of back ends can take.
  void setCapacity(const PoolId& pool, int64_t freePlaces);
  /// @return true where a further attempt is within the retry budget.
  bool tryRetry();
  /// Hands out decisions that are due. Called every few tens of milliseconds.
  void tick();

  AdmissionCounters counters() const { return controller_.counters(); }

 private:
  void leave(const AdmissionRequest& request);
  Result<std::unique_ptr<Pass>> await(const AdmissionRequest& request, TicketId ticket,
                                      const CallerCheck& callerGone);

  const Clock& clock_;
  AdmissionController controller_;
  std::mutex mutex_;  ///< Guards decisions_ only; never held while the controller is called.
  std::condition_variable decided_;
  std::map<TicketId, std::optional<TicketDecision>> decisions_;
};

}  // namespace fernmoor
