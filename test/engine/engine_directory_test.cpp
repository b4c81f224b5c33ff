/// @file
/// Tests of src/engine/engine_directory.h on virtual time.
#include "engine/engine_directory.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr Duration kMillisecond{1000};

Time at(int64_t milliseconds) {
  return Time(kMillisecond * (1000000 + milliseconds));
}

EngineState stateOf(uint64_t incarnation, Time measuredAt) {
  EngineState state;
  state.id = EngineId("e1");
  state.model = ModelId("m");
  state.incarnation = Incarnation(incarnation);
  state.load.measuredAt = measuredAt;
  return state;
}

size_t candidateCount(const EngineDirectory& directory, Time now) {
  return directory.candidates(ModelId("m"), AdapterId(), now).size();
}

}  // namespace

TEST_CASE("an engine is a candidate only while it reports, is live and serves the model") {
  EngineDirectory directory{Knobs{}};
  directory.setAddresses({{EngineId("e1"), ZoneId("z"), {"127.0.0.1", 1}, false}}, at(0));
  CHECK(candidateCount(directory, at(0)) == 0);
  directory.update(stateOf(1, at(0)), at(0));
  CHECK(candidateCount(directory, at(1)) == 1);
  CHECK(directory.candidates(ModelId("other"), AdapterId(), at(1)).empty());
  CHECK(directory.candidates(ModelId("m"), AdapterId("a"), at(1)).empty());
  CHECK(candidateCount(directory, at(10000)) == 0);
}

TEST_CASE("a leaving or drained engine gets no new work") {
  EngineDirectory directory{Knobs{}};
  directory.update(stateOf(1, at(0)), at(0));
  directory.setDrained(EngineId("e1"), true);
  CHECK(candidateCount(directory, at(1)) == 0);
  directory.setDrained(EngineId("e1"), false);
  directory.setAddresses({{EngineId("e1"), ZoneId("z"), {"127.0.0.1", 1}, true}}, at(1));
  CHECK(candidateCount(directory, at(1)) == 0);
}

TEST_CASE("pauses after failures double, and a new incarnation resets them") {
  EngineDirectory directory{Knobs{}};
  directory.update(stateOf(1, at(0)), at(0));
  directory.reportFailure(EngineId("e1"), at(0));
  CHECK(candidateCount(directory, at(499)) == 0);
  CHECK(candidateCount(directory, at(500)) == 1);
  directory.reportFailure(EngineId("e1"), at(500));
  CHECK(candidateCount(directory, at(1499)) == 0);
  directory.update(stateOf(2, at(1499)), at(1499));
  CHECK(candidateCount(directory, at(1499)) == 1);
}

TEST_CASE("a stale placement excludes the engine until its next report") {
  EngineDirectory directory{Knobs{}};
  directory.update(stateOf(1, at(0)), at(0));
  directory.reportStale(EngineId("e1"), Incarnation(1));
  CHECK(candidateCount(directory, at(1)) == 0);
  directory.update(stateOf(2, at(2)), at(2));
  directory.reportStale(EngineId("e1"), Incarnation(1));
  CHECK(candidateCount(directory, at(2)) == 1);
}

TEST_CASE("reports of an earlier incarnation or with an older load are ignored") {
  EngineDirectory directory{Knobs{}};
  directory.update(stateOf(2, at(10)), at(10));
  directory.update(stateOf(1, at(20)), at(20));
  directory.update(stateOf(2, at(5)), at(20));
  CHECK(directory.find(EngineId("e1"), at(20))->incarnation == Incarnation(2));
  CHECK(directory.find(EngineId("e1"), at(20))->load.measuredAt == at(10));
}

}  // namespace fernmoor
