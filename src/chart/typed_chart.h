/// @file
/// Charts whose states and events are enumerations of the code, so that no caller handles names or
/// indices.
///
/// Example:
/// @code
///   enum class NodeState { kStarting, kServing, kDraining, kStopped };
///   enum class NodeEvent { kReady, kStop, kIdle };
///   const TypedChart<NodeState, NodeEvent>& nodeChart() {
///     static const auto kChart = TypedChart<NodeState, NodeEvent>::fromEmbedded(
///         "node", {"starting", "serving", "draining", "stopped"}, {"ready", "stop", "idle"});
///     return kChart;
///   }
///   TypedChartInstance<NodeState, NodeEvent> life(nodeChart());
///   const Result<NodeState> state = life.fire(NodeEvent::kReady);
/// @endcode
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "chart/chart.h"
#include "chart/embedded_charts.h"

namespace fernmoor {

/// @return the chart embedded under the name, parsed and checked; ends the program with a message
/// on standard error where it is missing or faulty, as that is a fault of the build.
Chart embeddedChart(const std::string& name, const std::vector<std::string>& stateNames,
                    const std::vector<std::string>& eventNames);

/// A chart over two enumerations, whose enumerators count from 0 without gaps. Immutable.
template <class State, class Event>
class TypedChart {
 public:
  explicit TypedChart(Chart chart) : chart_(std::move(chart)) {}

  /// Loads an embedded chart; see embeddedChart().
  /// @param stateNames names in the order of the enumerators of State.
  /// @param eventNames names in the order of the enumerators of Event.
  static TypedChart fromEmbedded(const std::string& name,
                                 const std::vector<std::string>& stateNames,
                                 const std::vector<std::string>& eventNames) {
    return TypedChart(embeddedChart(name, stateNames, eventNames));
  }

  State initial() const { return toState(chart_.initial()); }
  bool isFinal(State state) const { return chart_.isFinal(toIndex(state)); }
  bool accepts(State state, Event event) const {
    return chart_.accepts(toIndex(state), toIndex(event));
  }
  /// @return the state after the event, or an error of kind kInternal.
  Result<State> next(State state, Event event) const {
    const Result<StateIndex> result = chart_.next(toIndex(state), toIndex(event));
    if (!isOk(result)) {
      return errorOf(result);
    }
    return toState(valueOf(result));
  }
  const std::string& stateName(State state) const { return chart_.stateName(toIndex(state)); }
  const std::string& eventName(Event event) const { return chart_.eventName(toIndex(event)); }
  const Chart& untyped() const { return chart_; }

 private:
  static StateIndex toIndex(State state) { return StateIndex(static_cast<uint16_t>(state)); }
  static EventIndex toIndex(Event event) { return EventIndex(static_cast<uint16_t>(event)); }
  static State toState(StateIndex index) { return static_cast<State>(index.value()); }

  Chart chart_;
};

/// One thing that lives by a typed chart. Not thread-safe. The chart must outlive it.
template <class State, class Event>
class TypedChartInstance {
 public:
  explicit TypedChartInstance(const TypedChart<State, Event>& chart)
      : chart_(&chart), state_(chart.initial()) {}

  State state() const { return state_; }
  bool isFinished() const { return chart_->isFinal(state_); }
  bool accepts(Event event) const { return chart_->accepts(state_, event); }
  /// Moves to the next state; an error leaves the state as it is.
  Result<State> fire(Event event) {
    Result<State> next = chart_->next(state_, event);
    if (isOk(next)) {
      state_ = valueOf(next);
    }
    return next;
  }

 private:
  const TypedChart<State, Event>* chart_;
  State state_;
};

}  // namespace fernmoor
