#include "bench/slope.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

#include "bench/resource_usage.h"

namespace fernmoor::bench {

namespace {

constexpr double kTrialSeconds = 0.02;
constexpr int kTrials = 5;

std::string number(double value) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.4g", value);
  return text;
}

/// @return the time that a number of calls takes.
double timeCalls(const std::function<void()>& action, int64_t calls) {
  const double before = threadCpuSeconds();
  for (int64_t call = 0; call < calls; ++call) {
    action();
  }
  return threadCpuSeconds() - before;
}

}  // namespace

std::string toMarkdown(const Slope& slope) {
  const LineFit fit = slope.fit();
  std::string text = "**" + slope.name + "**: " + slope.what + ". Carried by " + slope.mechanism +
                     ".\n\n| " + slope.sizeUnit + " |";
  for (const Point& point : slope.points) {
    text += " " + number(point.x) + " |";
  }
  text += "\n|---|";
  for (size_t index = 0; index < slope.points.size(); ++index) {
    text += "---|";
  }
  text += "\n| " + slope.costUnit + " |";
  for (const Point& point : slope.points) {
    text += " " + number(point.y) + " |";
  }
  text += "\n\nFit: " + number(fit.intercept) + " + " + number(fit.slope) + " x, R² " +
          number(fit.determination) + "; at " + number(slope.targetSize) + ": " +
          number(slope.atTarget()) + " " + slope.costUnit + ".\n\n";
  return text;
}

std::string toJson(const std::vector<Slope>& slopes) {
  Poco::JSON::Array array;
  for (const Slope& slope : slopes) {
    const LineFit fit = slope.fit();
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("name", slope.name);
    object->set("size_unit", slope.sizeUnit);
    object->set("cost_unit", slope.costUnit);
    Poco::JSON::Array::Ptr points = new Poco::JSON::Array;
    for (const Point& point : slope.points) {
      Poco::JSON::Array::Ptr pair = new Poco::JSON::Array;
      pair->add(point.x);
      pair->add(point.y);
      points->add(pair);
    }
    object->set("points", points);
    object->set("slope", fit.slope);
    object->set("intercept", fit.intercept);
    object->set("r_squared", fit.determination);
    object->set("target_size", slope.targetSize);
    object->set("at_target", slope.atTarget());
    array.add(object);
  }
  std::ostringstream out;
  array.stringify(out, 1);
  out << "\n";
  return out.str();
}

double secondsPerCall(const std::function<void()>& action) {
  int64_t calls = 1;
  double seconds = timeCalls(action, calls);
  while (seconds < kTrialSeconds) {
    calls *= 2;
    seconds = timeCalls(action, calls);
  }
  for (int trial = 1; trial < kTrials; ++trial) {
    seconds = std::min(seconds, timeCalls(action, calls));
  }
  return seconds / static_cast<double>(calls);
}

double secondsPerCall(const std::function<std::function<void()>()>& prepare, int64_t calls) {
  double seconds = timeCalls(prepare(), calls);
  for (int trial = 1; trial < kTrials; ++trial) {
    seconds = std::min(seconds, timeCalls(prepare(), calls));
  }
  return seconds / static_cast<double>(calls);
}

}  // namespace fernmoor::bench
