/// @file
/// Tests of src/http/json_split.h.
#include "http/json_split.h"

#include <doctest/doctest.h>

#include <string>

namespace fernmoor {

TEST_CASE("members are split at the brackets and quotes that belong to the text") {
  const std::string text =
      R"( { "a" : 1 , "b":"},\"]{\\" , "c":{"a":[{"x":"]"},[]]},"d":[ ] , "a":2e5, "\u0061":null} )";
  const auto members = splitJsonObject(text);
  REQUIRE(members);
  REQUIRE(members->size() == 6);
  CHECK((*members)[0].value == "1");
  CHECK((*members)[1].value == R"("},\"]{\\")");
  CHECK((*members)[2].value == R"({"a":[{"x":"]"},[]]})");
  CHECK((*members)[3].value == "[ ]");
  CHECK((*members)[5].name == R"(\u0061)");
  CHECK(findJsonMember(*members, "a") == "2e5");
  CHECK(findJsonMember(*members, "z").empty());
}

TEST_CASE("elements that no parser takes are split from the others") {
  const std::string deep = std::string(200000, '[') + std::string(200000, ']');
  const std::string text =
      "[1e999, " + deep + ", \"\xff\\udcff\", -99999999999999999999999, nonsense, {}]";
  const auto elements = splitJsonArray(text);
  REQUIRE(elements);
  REQUIRE(elements->size() == 6);
  CHECK((*elements)[1] == deep);
  CHECK((*elements)[2] == "\"\xff\\udcff\"");
  CHECK((*elements)[4] == "nonsense");
  CHECK(splitJsonArray("[]")->empty());
  CHECK(splitJsonObject("{}")->empty());
}

TEST_CASE("a text that is cut off or goes on is not split") {
  for (const std::string text :
       {"", "{", "[", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":1,", "{\"a\":1,}", "{\"a\":\"}",
        "{\"a\":\"\\", "{\"a\":{}", "{a:1}", "{\"a\" 1}", "{}{}", "[]", "nonsense", "{\"a\":[}"}) {
    CAPTURE(text);
    CHECK_FALSE(splitJsonObject(text));
  }
  for (const std::string text : {"[1", "[1,]", "[,]", "{}", "[1]x"}) {
    CAPTURE(text);
    CHECK_FALSE(splitJsonArray(text));
  }
}

}  // namespace fernmoor
