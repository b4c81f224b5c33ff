/// @file
/// All tunables by name (see knobs.def for unit, range and reason of each).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/time.h"

namespace fernmoor {

/// The values in force. Copied into each role when it is made; plain data.
struct Knobs {
#define KNOB(type, name, default_value, minimum, maximum, unit, reason) type name{default_value};
#include "common/knobs.def"
#undef KNOB
};

/// What is known of one tunable, for documentation and the settings check.
struct KnobDescription {
  std::string name;
  std::string unit;
  std::string reason;
  double defaultValue = 0;
  double minimum = 0;
  double maximum = 0;
};

/// @return every tunable, in the order of knobs.def.
const std::vector<KnobDescription>& knobDescriptions();

/// Sets one tunable by its name. Durations are given in microseconds.
/// @return an error of kind kInvalidRequest that names the knob, what was found and the range.
Result<Done> setKnob(Knobs& knobs, const std::string& name, double value);

}  // namespace fernmoor
