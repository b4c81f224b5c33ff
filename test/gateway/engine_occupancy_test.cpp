/// @file
/// Tests of src/gateway/engine_occupancy.h: what requests take at an engine, and what it caches.
#include "gateway/engine_occupancy.h"

#include <doctest/doctest.h>

namespace fernmoor::gateway {

namespace {

/// A prompt of shared parts and 2,890 own tokens, and an answer of 9 tokens.
EngineDemand longPrompt(std::vector<SharedPart> parts) {
  EngineDemand demand;
  demand.promptTokens = 2890;
  for (const SharedPart& part : parts) {
    demand.promptTokens += part.tokens;
  }
  demand.memoryTokens = demand.promptTokens + 9;
  demand.sharedParts = std::move(parts);
  return demand;
}

const SharedPart kCommon{1, 2500};
const SharedPart kSubject{2, 3800};
const SharedPart kOtherSubject{3, 3800};
/// Of one prompt without shared parts: 2,890 + 9 tokens.
constexpr uint64_t kOwnMemory = 2899;

void serve(EngineOccupancy& engine, const EngineDemand& demand) {
  Occupant occupant = engine.add(demand);
  engine.promptRead(occupant);
  engine.remove(occupant);
}

}  // namespace

// Guards against an engine that looks full with a few long prompts, because each is counted whole.
TEST_CASE("parts that present requests share take memory and reading once") {
  EngineOccupancy engine;
  engine.setCapacity(EngineRoom{32, 95466});
  const EngineDemand demand = longPrompt({kCommon, kSubject});
  for (int count = 0; count < 20; ++count) {
    CHECK(engine.missingRoom(demand).hasMemory());
    engine.add(demand);
  }
  CHECK(engine.occupiedTokens() == 6300 + 20 * kOwnMemory);
  CHECK(engine.unreadTokens() == 6300 + 20 * 2890);
  CHECK(engine.addedMemoryTokens(longPrompt({kCommon, kOtherSubject})) == 3800 + kOwnMemory);
}

// Guards against cached parts that are counted as still to be read, and against parts that count as
// cached although a part before them is missing, so that the engine reads them again.
TEST_CASE("a part needs no reading if the engine holds it and all parts before it") {
  EngineOccupancy engine;
  engine.setCapacity(EngineRoom{32, 95466});
  CHECK(engine.readingTokens(longPrompt({kCommon, kSubject})) == 9190);
  serve(engine, longPrompt({kCommon, kSubject}));
  CHECK(engine.readingTokens(longPrompt({kCommon, kSubject})) == 2890);
  CHECK(engine.readingTokens(longPrompt({kCommon, kOtherSubject})) == 3800 + 2890);
  const EngineDemand otherBeginning = longPrompt({kOtherSubject, kSubject});
  CHECK(engine.readingTokens(otherBeginning) == 10490);
  const Occupant occupant = engine.add(otherBeginning);
  CHECK(engine.unreadTokens() == 10490);
  engine.remove(occupant);
  CHECK(engine.unreadTokens() == 0);
}

// Guards against an engine that is thrashing and looks idle, because evicted parts count as cached.
TEST_CASE("the least recently used parts are evicted when requests need the memory") {
  EngineOccupancy engine;
  engine.setCapacity(EngineRoom{32, 16000});
  serve(engine, longPrompt({kCommon, kSubject}));
  serve(engine, longPrompt({kCommon, kOtherSubject}));
  CHECK(engine.cachedTokens() == 10100);
  EngineDemand unshared;
  unshared.promptTokens = 6000;
  unshared.memoryTokens = 6000;
  const Occupant occupant = engine.add(unshared);
  CHECK(engine.cachedTokens() == 6300);
  CHECK(engine.readingTokens(longPrompt({kCommon, kSubject})) == 3800 + 2890);
  CHECK(engine.readingTokens(longPrompt({kCommon, kOtherSubject})) == 2890);
  engine.remove(occupant);
  CHECK(engine.readingTokens(longPrompt({kCommon, kSubject})) == 3800 + 2890);
  engine.setCapacity(EngineRoom{32, 3000});
  CHECK(engine.readingTokens(longPrompt({kCommon, kOtherSubject})) == 3800 + 2890);
}

// Guards against parts that count as cached although the request that was to read them failed.
TEST_CASE("a part that was never read is not cached, but is still to be read for its other users") {
  EngineOccupancy engine;
  const Occupant first = engine.add(longPrompt({kCommon}));
  const Occupant second = engine.add(longPrompt({kCommon}));
  engine.remove(first);
  CHECK(engine.unreadTokens() == 2500 + 2890);
  engine.remove(second);
  CHECK(engine.unreadTokens() == 0);
  CHECK(engine.partCount() == 0);
  CHECK(engine.readingTokens(longPrompt({kCommon})) == 5390);
}

// Guards against a refusal for one resource that is decided by another one.
TEST_CASE("slots, memory and reading are checked separately") {
  EngineOccupancy engine;
  engine.setCapacity(EngineRoom{2, 8000});
  const EngineDemand demand = longPrompt({});
  Occupant first = engine.add(demand);
  CHECK(engine.missingRoom(demand).hasPlace());
  CHECK(engine.missingRoom(demand).hasMemory());
  CHECK_FALSE(engine.missingRoom(demand).hasReading(2890));
  CHECK(engine.missingRoom(demand).hasReading(2891));
  engine.promptRead(first);
  CHECK(engine.missingRoom(demand).hasReading(1));
  engine.add(demand);
  CHECK(engine.missingRoom(demand).places == 1);
  CHECK(engine.missingRoom(demand).memoryTokens == 3 * kOwnMemory - 8000);
}

// Guards against a request that waits for ever for memory that the idle engine does not have.
TEST_CASE("an idle engine has room for every request") {
  EngineOccupancy engine;
  engine.setCapacity(EngineRoom{2, 1000});
  CHECK(engine.missingRoom(longPrompt({kCommon})).hasMemory());
}

// Guards against state that grows with the number of parts or is corrupted by invalid demands.
TEST_CASE("known parts are bounded, and invalid parts are counted as the request's own") {
  EngineOccupancy engine;
  std::vector<Occupant> occupants;
  for (uint64_t key = 1; key <= 600; ++key) {
    occupants.push_back(engine.add(longPrompt({SharedPart{key, 100}})));
  }
  CHECK(engine.partCount() == 512);
  CHECK(engine.occupiedTokens() == 600 * (100 + kOwnMemory));
  EngineDemand invalid = longPrompt({kCommon, kCommon});
  invalid.sharedParts.push_back(SharedPart{700, 4000000000});
  occupants.push_back(engine.add(invalid));
  for (Occupant& occupant : occupants) {
    engine.promptRead(occupant);
    engine.remove(occupant);
  }
  CHECK(engine.occupiedTokens() == 0);
  CHECK(engine.unreadTokens() == 0);
  CHECK(engine.partCount() == 512);
}

}  // namespace fernmoor::gateway
