/// @file
/// State charts read from files: the subset of W3C SCXML with flat states, final states and
/// transitions by event. There are no conditions, actions or nested states; a chart states which
/// life cycle a thing has, and the code decides which event happened.
///
/// A chart is checked once, when it is parsed, and is then a table of indices, so that firing an
/// event costs one look-up.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"

namespace fernmoor {

/// Position of a state in the list of names given to Chart::parse().
using StateIndex = NumberId<struct StateIndexTag, uint16_t>;
/// Position of an event in the list of names given to Chart::parse().
using EventIndex = NumberId<struct EventIndexTag, uint16_t>;

/// One arrow of a chart, by names; for drawing and for comparing charts with specifications.
struct ChartTransition {
  std::string from;
  std::string event;
  std::string to;
  friend bool operator==(const ChartTransition& a, const ChartTransition& b) {
    return a.from == b.from && a.event == b.event && a.to == b.to;
  }
};

/// A checked chart. Immutable, so safe to share between threads.
class Chart {
 public:
  /// Parses and checks a chart.
  /// @param name used in error messages.
  /// @param scxml the text of the file.
  /// @param stateNames the states that the code knows; their order gives the indices.
  /// @param eventNames the events that the code knows; their order gives the indices.
  /// @return an error of kind kInvalidRequest that lists every fault: elements and attributes
  /// outside the subset, states and events that only one side knows, doubled states and
  /// transitions, unknown targets, states that cannot be reached, and states from which no final
  /// state can be reached.
  static Result<Chart> parse(const std::string& name, const std::string& scxml,
                             const std::vector<std::string>& stateNames,
                             const std::vector<std::string>& eventNames);

  const std::string& name() const { return name_; }
  StateIndex initial() const { return initial_; }
  bool isFinal(StateIndex state) const { return final_[state.value()]; }
  const std::string& stateName(StateIndex state) const { return stateNames_[state.value()]; }
  const std::string& eventName(EventIndex event) const { return eventNames_[event.value()]; }

  /// @return whether the event may happen in the state.
  bool accepts(StateIndex state, EventIndex event) const {
    return target(state, event) != kNoTarget;
  }
  /// @return the state after the event, or an error of kind kInternal that names chart, state and
  /// event where the state has no transition for it.
  Result<StateIndex> next(StateIndex state, EventIndex event) const {
    const uint16_t to = target(state, event);
    if (to == kNoTarget) {
      return noTransition(state, event);
    }
    return StateIndex(to);
  }

  /// @return all transitions in the order of the file.
  const std::vector<ChartTransition>& transitions() const { return transitions_; }
  /// @return the chart as a Mermaid state diagram.
  std::string drawMermaid() const;

 private:
  friend class ChartParser;
  static constexpr uint16_t kNoTarget = 0xffff;

  Chart() = default;
  uint16_t target(StateIndex state, EventIndex event) const {
    return targets_[state.value() * eventNames_.size() + event.value()];
  }
  Error noTransition(StateIndex state, EventIndex event) const;

  std::string name_;
  std::vector<std::string> stateNames_;
  std::vector<std::string> eventNames_;
  std::vector<uint16_t> targets_;  ///< Row for each state, column for each event.
  std::vector<bool> final_;
  StateIndex initial_;
  std::vector<ChartTransition> transitions_;
};

/// One thing that lives by a chart. Not thread-safe. The chart must outlive it.
class ChartInstance {
 public:
  explicit ChartInstance(const Chart& chart) : chart_(&chart), state_(chart.initial()) {}

  StateIndex state() const { return state_; }
  bool isFinished() const { return chart_->isFinal(state_); }
  /// Moves to the next state; an error leaves the state as it is.
  Result<StateIndex> fire(EventIndex event) {
    Result<StateIndex> next = chart_->next(state_, event);
    if (isOk(next)) {
      state_ = valueOf(next);
    }
    return next;
  }

 private:
  const Chart* chart_;
  StateIndex state_;
};

}  // namespace fernmoor
