/// @file
/// Tests of standin/json.h.
#include "standin/json.h"

#include <doctest/doctest.h>

namespace fernmoor::standin {

TEST_CASE("bodies that are no object are refused, fields of wrong type or range are absent") {
  for (const char* text : {"[1]", "null", "5", "{", "\"x\"", "{\"a\":}"}) {
    CAPTURE(text);
    CHECK_FALSE(isOk(parseObject(text)));
  }
  const auto parsed = parseObject(R"({"a":"7","b":1e30,"c":null,"d":true,"e":-4})");
  REQUIRE(isOk(parsed));
  const auto& object = valueOf(parsed);
  CHECK(numberField(object, "a", 3) == 3);
  CHECK(numberField(object, "b", 3) == 3);
  CHECK(numberField(object, "c", 3) == 3);
  CHECK(numberField(object, "d", 3) == 3);
  CHECK(numberField(object, "e", 3) == -4);
  CHECK(textField(object, "e", "none") == "none");
}

TEST_CASE("block hashes keep all their bits on the way") {
  JsonObject::Ptr body = newObject();
  const std::vector<BlockHash> blocks{0, 0xfedcba9876543210};
  body->set("blocks", toArray(blocks));
  CHECK(toText(body) == R"({"blocks":["0000000000000000","fedcba9876543210"]})");
  CHECK(blocksField(valueOf(parseObject(toText(body))), "blocks") == blocks);
}

}  // namespace fernmoor::standin
