/// @file
/// Tests of src/gateway/part_memory.h.
#include "gateway/part_memory.h"

#include <doctest/doctest.h>

namespace fernmoor::gateway {

TEST_CASE("hints are bounded and the least recently used ones are evicted") {
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

TEST_CASE("the key of a part depends on its scope") {
  CHECK(partKeyOf("a", "x") != partKeyOf("b", "x"));
  CHECK(partKeyOf("a", "x") == partKeyOf("a", "x"));
}

}  // namespace fernmoor::gateway
