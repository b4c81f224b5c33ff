/// @file
/// Discrete events on the virtual clock. Events of the same instant run in the order in which they
/// were scheduled, so that a run is a function of its seed alone.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "sim/virtual_clock.h"

namespace fernmoor::sim {

/// What is to happen, and when. Not thread-safe.
class EventQueue {
 public:
  using Action = std::function<void()>;

  /// @param clock moved by this queue; outlives it.
  explicit EventQueue(VirtualClock& clock) : clock_(clock) {}

  /// @return the virtual instant.
  Time now() const { return clock_.now(); }
  /// Schedules an action. An instant in the past means now, after what is scheduled for now.
  void schedule(Time at, Action action);
  /// Schedules an action a length of time from now.
  void scheduleAfter(Duration delay, Action action);

  /// Runs all events up to and including the instant, those that they schedule as well, and leaves
  /// the clock at the instant.
  void runUntil(Time instant);
  /// Runs the events of the next length of time.
  void runFor(Duration duration) { runUntil(now() + duration); }
  /// Runs until the condition holds, looking at it after each event.
  /// @return whether it held by the deadline; the clock stands at the deadline if not.
  bool runUntil(Time deadline, const std::function<bool()>& condition);

  /// @return number of events that wait.
  size_t size() const { return heap_.size(); }
  /// @return number of events run so far.
  uint64_t eventsRun() const { return eventsRun_; }

 private:
  struct Event {
    Time at;
    uint64_t order;
    Action action;
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  void runNext();

  VirtualClock& clock_;
  std::vector<Event> heap_;
  uint64_t nextOrder_ = 0;
  uint64_t eventsRun_ = 0;
};

}  // namespace fernmoor::sim
