/// @file
/// Tests of src/quarantine/quarantine_table.h and served_memory.h.
#include "quarantine/quarantine_table.h"

#include <doctest/doctest.h>

#include <thread>

#include "quarantine/served_memory.h"

namespace fernmoor::quarantine {

namespace {

Time at(int64_t seconds) {
  return Time(std::chrono::seconds(10000 + seconds));
}

}  // namespace

TEST_CASE("a quarantined request is not sent for half an hour") {
  QuarantineTable table;
  CHECK_FALSE(table.timeLeft(5, at(0)));
  CHECK(table.add(Quarantined{5, at(0)}, at(1)));
  CHECK_FALSE(table.add(Quarantined{5, at(1)}, at(1)));
  CHECK(table.timeLeft(5, at(60)) == std::chrono::seconds(29 * 60));
  CHECK_FALSE(table.timeLeft(5, at(1800)));
  SUBCASE("and may be quarantined again after that") {
    CHECK(table.add(Quarantined{5, at(2000)}, at(2000)));
    CHECK(table.timeLeft(5, at(2001)));
  }
  SUBCASE("an expired verdict that arrives late has no effect") {
    CHECK_FALSE(table.add(Quarantined{6, at(0)}, at(1800)));
    CHECK_FALSE(table.timeLeft(6, at(1800)));
  }
  SUBCASE("or until an operator lifts it") {
    table.lift(5);
    CHECK_FALSE(table.timeLeft(5, at(2)));
  }
}

TEST_CASE("the table lists the requests to write to the store and to remove from it") {
  QuarantineTable table;
  table.add(Quarantined{5, at(0)}, at(0));
  table.add(Quarantined{6, at(0)}, at(0));
  table.noteStored(5);
  REQUIRE(table.unstored(at(1)).size() == 1);
  CHECK(table.unstored(at(1)).front().fingerprint == 6);
  CHECK(table.takeExpired(at(1)).empty());
  CHECK(table.takeExpired(at(1800)) == std::vector<uint64_t>{5});
  CHECK(table.size() == 0);
}

TEST_CASE("the table is bounded and drops the oldest request first") {
  QuarantineTable table;
  for (uint64_t fingerprint = 1; fingerprint <= 1500; ++fingerprint) {
    table.add(Quarantined{fingerprint, at(static_cast<int64_t>(fingerprint) / 10)}, at(200));
  }
  CHECK(table.size() == 1024);
  CHECK(table.timeLeft(1500, at(200)));
  CHECK_FALSE(table.timeLeft(1, at(200)));
}

TEST_CASE("the memory of served requests keeps at least the newest generation") {
  ServedMemory memory;
  memory.note(1, at(0));
  CHECK(memory.wasServedAfter(1, at(-1)));
  CHECK_FALSE(memory.wasServedAfter(1, at(0)));
  for (uint64_t fingerprint = 2; fingerprint < 4000; ++fingerprint) {
    memory.note(fingerprint, at(1));
  }
  CHECK(memory.wasServedAfter(1, at(-1)));
  for (uint64_t fingerprint = 2; fingerprint < 20000; ++fingerprint) {
    memory.note(fingerprint, at(1));
  }
  CHECK_FALSE(memory.wasServedAfter(1, at(-1)));
  CHECK(memory.wasServedAfter(19999, at(0)));
}

TEST_CASE("a thread that waits for quarantined requests wakes up for the first one") {
  QuarantineTable table;
  std::thread waiting([&] { table.waitForAny(); });
  CHECK(table.add(Quarantined{7, Time()}, Time()));
  waiting.join();
  table.waitForAny();  // Returns at once while there is one.
}

}  // namespace fernmoor::quarantine
