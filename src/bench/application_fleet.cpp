#include "bench/application_fleet.h"

#include <algorithm>
#include <utility>

namespace fernmoor::bench {

ApplicationFleet::ApplicationFleet(const FleetSpec& spec, sim::EventQueue& queue)
    : serviceTime_(spec.applicationTime),
      concurrency_(spec.applicationConcurrency),
      queue_(queue),
      engines_(static_cast<size_t>(spec.applicationEngines)) {}

size_t ApplicationFleet::leastBusy() const {
  const auto load = [](const Engine& engine) {
    return static_cast<size_t>(engine.running) + engine.waiting.size();
  };
  const auto least =
      std::min_element(engines_.begin(), engines_.end(),
                       [&](const Engine& a, const Engine& b) { return load(a) < load(b); });
  return static_cast<size_t>(least - engines_.begin());
}

void ApplicationFleet::submit(size_t engine, std::function<void()> completed) {
  if (engines_[engine].running >= concurrency_) {
    engines_[engine].waiting.push(std::move(completed));
    return;
  }
  start(engine, std::move(completed));
}

void ApplicationFleet::start(size_t engine, std::function<void()> completed) {
  ++engines_[engine].running;
  queue_.scheduleAfter(serviceTime_, [this, engine, completed = std::move(completed)] {
    completed();
    finish(engine);
  });
}

void ApplicationFleet::finish(size_t engine) {
  --engines_[engine].running;
  if (engines_[engine].waiting.empty()) {
    return;
  }
  std::function<void()> next = std::move(engines_[engine].waiting.front());
  engines_[engine].waiting.pop();
  start(engine, std::move(next));
}

}  // namespace fernmoor::bench
