/// @file
/// Tests of src/objectstore/object_store_codec.h.
#include "objectstore/object_store_codec.h"

#include <doctest/doctest.h>

namespace fernmoor::platform_codec {

namespace {

const std::vector<std::string> kUnreadable = {"1e999", "100000000000000000000000000000",
                                              R"({"a":"\udcff"})",
                                              std::string(5000, '[') + std::string(5000, ']')};

const std::string kSound = R"({"value":{"a":[1]},"name":"sound","version":4,"change_id":"c"})";

std::string oddObject(const std::string& value) {
  return R"({"name":"odd","version":3,"value":)" + value + "}";
}

std::string snapshotOf(const std::string& odd) {
  return R"({"objects":[)" + odd + "," + kSound + R"(],"revision":9})";
}

std::string batchOf(const std::string& odd) {
  return R"({"revision":9,"changes":[)" + odd + R"(,{"name":"gone","version":5,"value":null},)" +
         kSound + "]}";
}

}  // namespace

TEST_CASE("a value that no parser takes hides no other object of a snapshot or a watch") {
  for (const std::string& value : kUnreadable) {
    CAPTURE(value.substr(0, 40));
    const auto snapshot = readSnapshot(snapshotOf(oddObject(value)));
    REQUIRE(isOk(snapshot));
    REQUIRE(valueOf(snapshot).objects.size() == 2);
    CHECK(valueOf(snapshot).revision == CollectionRevision(9));
    CHECK(valueOf(snapshot).objects[0].name == ObjectName("odd"));
    CHECK(valueOf(snapshot).objects[1].valueJson == R"({"a":[1]})");
    CHECK(valueOf(snapshot).objects[1].version == CollectionRevision(4));
    const auto batch = readWatchBatch(batchOf(oddObject(value)));
    REQUIRE(isOk(batch));
    REQUIRE(valueOf(batch).changes.size() == 3);
    CHECK_FALSE(valueOf(batch).changes[1].valueJson);
    CHECK(valueOf(batch).changes[2].valueJson == R"({"a":[1]})");
  }
}

TEST_CASE("a machine of an unknown kind hides no other") {
  const auto machines = readMachines(
      R"({"machines":[{"name":"x","kind":"balloon","address":"10.0.0.1","port":1},
          {"name":"y","kind":"node","address":"10.0.0.2","port":99999},
          {"name":"z","kind":"node","address":"10.0.0.3","port":80}]})");
  REQUIRE(isOk(machines));
  REQUIRE(valueOf(machines).size() == 1);
  CHECK(valueOf(machines)[0].name == "z");
}

TEST_CASE("an answer that does not fit the protocol is an error") {
  for (const std::string text :
       {"", "[]", "{}", R"({"objects":{},"revision":1})", R"({"objects":[]})",
        R"({"objects":[{"name":1e999,"version":3,"value":{}}],"revision":9})",
        R"({"objects":[],"revision":1)"}) {
    CAPTURE(text);
    CHECK_FALSE(isOk(readSnapshot(text)));
  }
}

}  // namespace fernmoor::platform_codec
