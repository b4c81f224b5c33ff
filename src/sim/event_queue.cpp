#include "sim/event_queue.h"

#include <algorithm>
#include <utility>

namespace fernmoor::sim {

void EventQueue::schedule(Time at, Action action) {
  heap_.push_back(Event{std::max(at, now()), nextOrder_++, std::move(action)});
  std::push_heap(heap_.begin(), heap_.end(), Later{});
}

void EventQueue::scheduleAfter(Duration delay, Action action) {
  schedule(now() + delay, std::move(action));
}

void EventQueue::runNext() {
  std::pop_heap(heap_.begin(), heap_.end(), Later{});
  const Event event = std::move(heap_.back());
  heap_.pop_back();
  clock_.advanceTo(event.at);
  ++eventsRun_;
  event.action();
}

void EventQueue::runUntil(Time instant) {
  while (!heap_.empty() && heap_.front().at <= instant) {
    runNext();
  }
  clock_.advanceTo(instant);
}

bool EventQueue::runUntil(Time deadline, const std::function<bool()>& condition) {
  if (condition()) {
    return true;
  }
  while (!heap_.empty() && heap_.front().at <= deadline) {
    runNext();
    if (condition()) {
      return true;
    }
  }
  clock_.advanceTo(deadline);
  return false;
}

}  // namespace fernmoor::sim
