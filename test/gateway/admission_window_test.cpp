/// @file
/// Tests of src/gateway/admission_window.h.
#include "gateway/admission_window.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <vector>

#include "common/random.h"

namespace fernmoor::gateway {

namespace {

using std::chrono::milliseconds;

constexpr uint64_t kEngine = 7;

Time at(int64_t ms) {
  return Time(milliseconds(ms));
}

/// @return how many requests are admitted at once.
size_t admittedAtOnce(AdmissionWindows& windows, BrittleLoad load, Time now) {
  size_t admitted = 0;
  while (admitted < 100 && windows.admit(kEngine, load, now).isAdmitted) {
    ++admitted;
    ++load.present;
  }
  return admitted;
}

/// Plays an engine that rejects requests beyond its room, and callers that ask all the time.
struct BrittleEngine {
  size_t room = 16;
  size_t places = 16;
  double survives = 8;
  double asksPerMillisecond = 1;
  Duration residence{700000};
  Duration feedback{5000};
  size_t uncounted = 0;  ///< Requests at the engine that nobody counts, until `uncountedUntil`.
  Time uncountedUntil;

  size_t served = 0;
  size_t mostRejectedInASecond = 0;

  void play(Duration time, uint64_t seed = 1) {
    AdmissionWindows windows;
    Random random(seed);
    std::deque<Time> ends;        // Of the requests at the engine.
    std::deque<Time> reports;     // When rejections are reported.
    std::deque<Time> rejections;  // Within the last second.
    for (Time now = at(0); now < at(0) + time; now += milliseconds(1)) {
      while (!ends.empty() && ends.front() <= now) {
        ends.pop_front();
        ++served;
      }
      const size_t present = ends.size() + reports.size();
      while (!reports.empty() && reports.front() <= now) {
        reports.pop_front();
        windows.noteRejection(kEngine, present, survives, now);
      }
      if (!random.chance(std::min(1.0, asksPerMillisecond))) {
        continue;
      }
      const BrittleLoad load{ends.size() + reports.size(), places, survives};
      if (!windows.admit(kEngine, load, now).isAdmitted) {
        continue;
      }
      const size_t others = now < uncountedUntil ? uncounted : 0;
      if (ends.size() + others < room) {
        ends.push_back(now + residence);
        continue;
      }
      reports.push_back(now + feedback);
      rejections.push_back(now);
      while (now - rejections.front() >= milliseconds(1000)) {
        rejections.pop_front();
      }
      mostRejectedInASecond = std::max(mostRejectedInASecond, rejections.size());
    }
  }
};

}  // namespace

TEST_CASE("a brittle engine gets no more requests than its places") {
  AdmissionWindows windows;
  CHECK(windows.admit(kEngine, BrittleLoad{15, 16, 8}, at(0)).isAdmitted);
  const AdmissionOffer full = windows.admit(kEngine, BrittleLoad{16, 16, 8}, at(1));
  CHECK_FALSE(full.isAdmitted);
  CHECK(full.wait > Duration(0));
}

TEST_CASE("few requests are admitted at once while others may be there uncounted") {
  AdmissionWindows windows;
  const BrittleLoad empty{0, 16, 8};
  CHECK(admittedAtOnce(windows, empty, at(0)) == 4);
  CHECK(admittedAtOnce(windows, empty, at(99)) == 0);
  CHECK(admittedAtOnce(windows, empty, at(100)) == 4);
  CHECK(admittedAtOnce(windows, empty, at(3000)) == 16);
  SUBCASE("one if it survives none") {
    AdmissionWindows others;
    CHECK(admittedAtOnce(others, BrittleLoad{0, 16, 0}, at(0)) == 1);
  }
}

TEST_CASE(
    "a window shrinks below what the engine held when it rejected a request, and grows back") {
  AdmissionWindows windows;
  windows.admit(kEngine, BrittleLoad{0, 16, 30}, at(0));
  windows.noteRejection(kEngine, 12, 30, at(5000));
  CHECK_FALSE(windows.admit(kEngine, BrittleLoad{11, 16, 30}, at(5001)).isAdmitted);
  CHECK(windows.admit(kEngine, BrittleLoad{10, 16, 30}, at(5001)).isAdmitted);
  CHECK_FALSE(windows.admit(kEngine, BrittleLoad{11, 16, 30}, at(6900)).isAdmitted);
  CHECK(windows.admit(kEngine, BrittleLoad{11, 16, 30}, at(7002)).isAdmitted);
  CHECK(windows.admit(kEngine, BrittleLoad{15, 16, 30}, at(17000)).isAdmitted);
  CHECK_FALSE(windows.admit(kEngine, BrittleLoad{16, 16, 30}, at(19000)).isAdmitted);
}

TEST_CASE("after a few rejections nothing is admitted for the rest of the second") {
  AdmissionWindows windows;
  windows.noteRejection(kEngine, 10, 8, at(0));
  CHECK(windows.admit(kEngine, BrittleLoad{2, 16, 8}, at(1)).isAdmitted);
  windows.noteRejection(kEngine, 10, 8, at(2));
  const AdmissionOffer closed = windows.admit(kEngine, BrittleLoad{2, 16, 8}, at(3));
  CHECK_FALSE(closed.isAdmitted);
  CHECK(closed.wait == milliseconds(999));
  CHECK(windows.admit(kEngine, BrittleLoad{2, 16, 8}, at(1002)).isAdmitted);
}

TEST_CASE("an engine that survives few rejections survives overload, and its places are used") {
  BrittleEngine engine;
  double least = 0.9;  // Share of the engine's capacity that is used.
  SUBCASE("it holds what it lists") {}
  SUBCASE("it holds less than it lists") {
    engine.room = 9;
    least = 0.75;
  }
  SUBCASE("it holds next to nothing") {
    engine.room = 2;
    least = 0.4;
  }
  SUBCASE("others' requests are there at first, which nobody counts") {
    engine.uncounted = 14;
    engine.uncountedUntil = at(3000);
    least = 0.6;
  }
  SUBCASE("rejections are known late") {
    engine.feedback = milliseconds(60);
    engine.room = 9;
    least = 0.7;
  }
  for (const double survives : {4.0, 8.0, 30.0}) {
    engine.survives = survives;
    engine.served = 0;
    engine.mostRejectedInASecond = 0;
    engine.play(std::chrono::seconds(30));
    CAPTURE(survives);
    CHECK(static_cast<double>(engine.mostRejectedInASecond) <= survives);
    const double capacity = static_cast<double>(engine.room) * 30.0 / toSeconds(engine.residence);
    CHECK(static_cast<double>(engine.served) >= least * capacity);
  }
}

TEST_CASE("a window that was not used for long is forgotten") {
  AdmissionWindows windows;
  windows.noteRejection(kEngine, 2, 8, at(0));
  windows.forgetUnused(at(30000));
  CHECK(windows.admit(kEngine, BrittleLoad{8, 16, 8}, at(30001)).isAdmitted);
}

}  // namespace fernmoor::gateway
