#include "chart/chart.h"

#include <sstream>

namespace fernmoor {

Error Chart::noTransition(StateIndex state, EventIndex event) const {
  return Error{ErrorKind::kInternal,
               "chart " + name_ + " has no transition for event " + eventName(event) +
                   " in state " + stateName(state) + "; report this with the log around it.",
               RunState::kUnknown, std::nullopt};
}

std::string Chart::drawMermaid() const {
  std::ostringstream drawing;
  drawing << "stateDiagram-v2\n  [*] --> " << stateName(initial_) << "\n";
  for (const ChartTransition& transition : transitions_) {
    drawing << "  " << transition.from << " --> " << transition.to << " : " << transition.event
            << "\n";
  }
  for (size_t state = 0; state < stateNames_.size(); ++state) {
    if (final_[state]) {
      drawing << "  " << stateNames_[state] << " --> [*]\n";
    }
  }
  return drawing.str();
}

}  // namespace fernmoor
