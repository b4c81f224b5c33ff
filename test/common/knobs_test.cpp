/// @file
/// Tests of src/common/knobs.h.
#include "common/knobs.h"

#include <doctest/doctest.h>

namespace fernmoor {

TEST_CASE("every knob's default lies in its range and has a unit and a reason") {
  for (const KnobDescription& knob : knobDescriptions()) {
    CAPTURE(knob.name);
    CHECK(knob.defaultValue >= knob.minimum);
    CHECK(knob.defaultValue <= knob.maximum);
    CHECK_FALSE(knob.unit.empty());
    CHECK_FALSE(knob.reason.empty());
  }
}

TEST_CASE("a knob out of range or unknown is refused by name") {
  Knobs knobs;
  const auto tooSmall = setKnob(knobs, "maxDatagramBytes", 1);
  REQUIRE_FALSE(isOk(tooSmall));
  CHECK(errorOf(tooSmall).message.find("maxDatagramBytes") != std::string::npos);
  CHECK_FALSE(isOk(setKnob(knobs, "noSuchKnob", 1)));
  REQUIRE(isOk(setKnob(knobs, "maxDatagramBytes", 1400)));
  CHECK(knobs.maxDatagramBytes == 1400);
}

}  // namespace fernmoor
