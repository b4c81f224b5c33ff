#include "common/knobs.h"

#include <sstream>

namespace fernmoor {

namespace {

template <class T>
double asNumber(T value) {
  return static_cast<double>(value);
}
[[maybe_unused]] double asNumber(Duration value) {
  return static_cast<double>(value.count());
}

void assign(Duration& target, double value) {
  target = Duration(static_cast<int64_t>(value));
}
void assign(int64_t& target, double value) {
  target = static_cast<int64_t>(value);
}
[[maybe_unused]] void assign(double& target, double value) {
  target = value;
}

Error outOfRange(const KnobDescription& knob, double value) {
  std::ostringstream message;
  message << "knob " << knob.name << " is " << value << " " << knob.unit << "; give a value from "
          << knob.minimum << " to " << knob.maximum << ".";
  return Error{ErrorKind::kInvalidRequest, message.str(), RunState::kNotRun, std::nullopt};
}

}  // namespace

// A type can't stand in parentheses.
// NOLINTBEGIN(bugprone-macro-parentheses)
const std::vector<KnobDescription>& knobDescriptions() {
  static const std::vector<KnobDescription> kDescriptions = {
#define KNOB(type, name, default_value, minimum, maximum, unit, reason) \
  KnobDescription{#name,                                                \
                  unit,                                                 \
                  reason,                                               \
                  asNumber(type{default_value}),                        \
                  asNumber(type{minimum}),                              \
                  asNumber(type{maximum})},
#include "common/knobs.def"
#undef KNOB
  };
  return kDescriptions;
}

// NOLINTEND(bugprone-macro-parentheses)

Result<Done> setKnob(Knobs& knobs, const std::string& name, double value) {
  for (const KnobDescription& knob : knobDescriptions()) {
    if (knob.name == name && (value < knob.minimum || value > knob.maximum)) {
      return outOfRange(knob, value);
    }
  }
#define KNOB(type, knob_name, default_value, minimum, maximum, unit, reason) \
  if (name == #knob_name) {                                                  \
    assign(knobs.knob_name, value);                                          \
    return Done{};                                                           \
  }
#include "common/knobs.def"
#undef KNOB
  return Error{ErrorKind::kInvalidRequest,
               "there is no knob named " + name + "; src/common/knobs.def lists them all.",
               RunState::kNotRun, std::nullopt};
}

}  // namespace fernmoor
