/// @file
/// Tests of src/gateway/engine_division.h and part_memory.h.
#include "gateway/engine_division.h"

#include <doctest/doctest.h>

#include <set>

#include "gateway/part_memory.h"

namespace fernmoor::gateway {

namespace {

struct Request {
  explicit Request(uint64_t tokens) {
    row.usesPrefixes = true;
    incoming.row = &row;
    incoming.pool = "pool";
    incoming.promptTokens = tokens;
  }
  Row row;
  IncomingRequest incoming;
};

std::vector<BackendView> engines(size_t count) {
  std::vector<BackendView> made(count);
  for (size_t index = 0; index < count; ++index) {
    made[index].listing.id = "e" + std::to_string(index);
  }
  return made;
}

std::set<std::string> idsOf(const std::vector<BackendView>& members) {
  std::set<std::string> ids;
  for (const BackendView& member : members) {
    ids.insert(member.listing.id);
  }
  return ids;
}

}  // namespace

TEST_CASE("long and short prompts get engines of their own where a pool has both") {
  EngineDivision division;
  const Request longPrompt(9000);
  const Request shortPrompt(800);
  const Time now(std::chrono::seconds(1));
  CHECK(division.note(longPrompt.incoming, now) == EngineShare::kAll);
  for (int request = 0; request < 5; ++request) {
    division.note(shortPrompt.incoming, now);
  }
  CHECK(division.note(longPrompt.incoming, now) == EngineShare::kLongPart);
  CHECK(division.note(shortPrompt.incoming, now) == EngineShare::kShortPart);
  const Time later = now + std::chrono::minutes(2);
  CHECK(division.note(shortPrompt.incoming, later) == EngineShare::kAll);
}

TEST_CASE("the parts of a pool are disjoint, together the whole, and the same everywhere") {
  const std::vector<BackendView> members = engines(12);
  const auto forLong = idsOf(membersOfShare(members, EngineShare::kLongPart));
  const auto forShort = idsOf(membersOfShare(members, EngineShare::kShortPart));
  CHECK(forLong.size() == 8);
  CHECK(forShort.size() == 4);
  for (const std::string& id : forShort) {
    CHECK(forLong.count(id) == 0);
  }
  std::vector<BackendView> reversed(members.rbegin(), members.rend());
  CHECK(idsOf(membersOfShare(reversed, EngineShare::kLongPart)) == forLong);
  CHECK(membersOfShare(engines(3), EngineShare::kShortPart).size() == 3);
}

TEST_CASE("hints are bounded and the ones unused the longest are forgotten") {
  PartMemory memory(2);
  const Time now(std::chrono::seconds(1));
  memory.note(1, 11, true, now);
  memory.note(2, 12, false, now);
  memory.note(1, 13, false, now + std::chrono::seconds(1));
  memory.note(3, 14, false, now);
  CHECK(memory.size() == 2);
  CHECK(memory.find(2).engine == 0);
  CHECK(memory.find(1).engine == 13);
  CHECK(memory.find(1).isStored);
  CHECK(memory.find(1).storedAt == now);
}

TEST_CASE("parts of different scopes are different parts") {
  CHECK(partKeyOf("a", "x") != partKeyOf("b", "x"));
  CHECK(partKeyOf("a", "x") == partKeyOf("a", "x"));
}

}  // namespace fernmoor::gateway
