/// @file
/// Tests of src/gateway/reading_model.h.
#include "gateway/reading_model.h"

#include <doctest/doctest.h>

#include <chrono>

#include "common/random.h"

namespace fernmoor::gateway {

namespace {

using std::chrono::milliseconds;

constexpr double kAssumed = 40000;

/// Records prompts of 200 to 12,000 tokens, five a second, at an engine with this base and speed.
Time observe(ReadingModel& model, Time from, int prompts, double baseSeconds,
             double tokensPerSecond) {
  Random random(7);
  Time now = from;
  for (int prompt = 0; prompt < prompts; ++prompt) {
    const double tokens = 200 + random.unit() * 11800;
    const double noise = 0.9 + 0.2 * random.unit();
    now += milliseconds(200);
    model.note(tokens, fromSeconds((baseSeconds + tokens / tokensPerSecond) * noise), now);
  }
  return now;
}

double secondsFor(const ReadingLine& line, double tokens) {
  return toSeconds(line.base) + tokens / line.tokensPerSecond;
}

}  // namespace

// Guards against a mean rate that includes the fixed part: 8,000 queued tokens then counted for
// 0.3 s instead of 0.11 s, and requests were refused at engines that were nearly idle.
TEST_CASE("the wait for a queue is told from the fixed part of the first event") {
  ReadingModel model;
  const Time now = observe(model, Time(), 50, 0.13, 70000);
  const ReadingLine line = model.line(kAssumed, now);
  CHECK(line.tokensPerSecond == doctest::Approx(70000).epsilon(0.25));
  CHECK(toSeconds(line.base) == doctest::Approx(0.13).epsilon(0.25));
}

TEST_CASE("an engine without observations looks idle, not slow") {
  const ReadingLine line = ReadingModel().line(kAssumed, Time() + milliseconds(5000));
  CHECK(secondsFor(line, 800) < 0.15);
  CHECK(secondsFor(line, 9000) < 0.35);
}

// Guards against a slope from equally long prompts, which is any number.
TEST_CASE("prompts of one length give a prediction for other lengths") {
  ReadingModel model;
  Time now;
  for (int prompt = 0; prompt < 100; ++prompt) {
    now += milliseconds(200);
    model.note(800, milliseconds(prompt % 2 == 0 ? 120 : 160), now);
  }
  CHECK(secondsFor(model.line(kAssumed, now), 800) == doctest::Approx(0.14).epsilon(0.15));
  CHECK(secondsFor(model.line(kAssumed, now), 9000) < 0.6);
}

TEST_CASE("a slow spell is followed within two seconds, and its end too") {
  ReadingModel model;
  Time now = observe(model, Time(), 50, 0.13, 70000);
  const double usual = secondsFor(model.line(kAssumed, now), 9000);
  now = observe(model, now, 10, 0.13 * 2.5, 70000 / 2.5);
  CHECK(secondsFor(model.line(kAssumed, now), 9000) > 1.5 * usual);
  now = observe(model, now, 20, 0.13, 70000);
  CHECK(secondsFor(model.line(kAssumed, now), 9000) < 1.3 * usual);
}

}  // namespace fernmoor::gateway
