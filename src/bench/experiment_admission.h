/// @file
/// Admission in an experiment: each router's controller, the requests that wait there, and the
/// ticks at which they are granted or refused. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bench/hollow_router.h"
#include "sim/event_queue.h"

namespace fernmoor::bench {

/// What happens to a request, named by its number.
struct AdmissionHandlers {
  std::function<void(size_t number)> start;
  std::function<void(size_t number, const Error& error)> refuse;
  std::function<void(size_t number, Duration waited)> waited;
};

class ExperimentAdmission {
 public:
  /// @param routers,queue outlive this object.
  ExperimentAdmission(std::vector<std::unique_ptr<HollowRouter>>& routers, PoolId pool,
                      sim::EventQueue& queue, AdmissionHandlers handlers);

  /// Begins to look at the engines' load every 30 ms.
  void begin();
  /// Starts the request, lets it wait, or refuses it; by the handlers.
  void admit(size_t number, size_t router, const AdmissionRequest& request);
  /// The request ended, whether it ran, waits or was never admitted.
  void end(size_t number);

 private:
  struct Held {
    size_t router = 0;
    AdmissionRequest request;
    std::optional<TicketId> ticket;  ///< It waits.
  };

  void tick();
  void takeDecisions(size_t router);
  void decide(size_t number, const TicketDecision& decision);

  std::vector<std::unique_ptr<HollowRouter>>& routers_;
  PoolId pool_;
  sim::EventQueue& queue_;
  AdmissionHandlers handlers_;
  std::unordered_map<size_t, Held> held_;
  /// Requests by ticket, for each router.
  std::unordered_map<size_t, std::unordered_map<TicketId, size_t>> waiting_;
};

}  // namespace fernmoor::bench
