#include "bench/experiment_admission.h"

#include <utility>

namespace fernmoor::bench {

namespace {

/// How often routers look at the engines' free places and at their waiting requests.
constexpr Duration kTickInterval{30000};

}  // namespace

ExperimentAdmission::ExperimentAdmission(std::vector<std::unique_ptr<HollowRouter>>& routers,
                                         PoolId pool, sim::EventQueue& queue,
                                         AdmissionHandlers handlers)
    : routers_(routers), pool_(std::move(pool)), queue_(queue), handlers_(std::move(handlers)) {}

void ExperimentAdmission::begin() {
  tick();
}

void ExperimentAdmission::tick() {
  for (size_t router = 0; router < routers_.size(); ++router) {
    routers_[router]->updateCapacity(pool_, queue_.now());
    takeDecisions(router);
  }
  queue_.scheduleAfter(kTickInterval, [this] { tick(); });
}

void ExperimentAdmission::admit(size_t number, size_t router, const AdmissionRequest& request) {
  const Result<AdmissionOutcome> outcome =
      routers_[router]->admission().admit(request, queue_.now());
  if (!isOk(outcome)) {
    handlers_.refuse(number, errorOf(outcome));
    return;
  }
  Held held{router, request, std::nullopt};
  if (const auto* queued = std::get_if<Queued>(&valueOf(outcome))) {
    held.ticket = queued->ticket;
    waiting_[router].emplace(queued->ticket, number);
    held_.emplace(number, held);
    takeDecisions(router);
    return;
  }
  held_.emplace(number, held);
  handlers_.start(number);
}

void ExperimentAdmission::end(size_t number) {
  const auto found = held_.find(number);
  if (found == held_.end()) {
    return;
  }
  const Held held = found->second;
  held_.erase(found);
  AdmissionController& admission = routers_[held.router]->admission();
  if (held.ticket) {
    admission.cancel(*held.ticket, queue_.now());
    waiting_[held.router].erase(*held.ticket);
    return;
  }
  admission.release(held.request, queue_.now());
}

void ExperimentAdmission::takeDecisions(size_t router) {
  for (const TicketDecision& decision : routers_[router]->admission().takeDecisions(queue_.now())) {
    const auto found = waiting_[router].find(decision.ticket);
    if (found == waiting_[router].end()) {
      continue;
    }
    const size_t number = found->second;
    waiting_[router].erase(found);
    decide(number, decision);
  }
}

void ExperimentAdmission::decide(size_t number, const TicketDecision& decision) {
  held_.at(number).ticket.reset();
  handlers_.waited(number, decision.waited);
  if (!isOk(decision.result)) {
    held_.erase(number);
    handlers_.refuse(number, errorOf(decision.result));
    return;
  }
  handlers_.start(number);
}

}  // namespace fernmoor::bench
