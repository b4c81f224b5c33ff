/// @file
/// Tests of platform/era_mark.h against a store that holds one mark.
#include "platform/era_mark.h"

#include <doctest/doctest.h>

#include "test/gateway/forwarder_world.h"

namespace fernmoor::platform {

namespace {

using gateway::test::holdsText;
using gateway::test::ScriptedBackend;

struct MarkedStore {
  std::string answerTo(const std::string& request) {
    const std::string head = "Store-Era: " + std::to_string(era) + "\r\n";
    const std::string object = R"({"meta":{"name":"handled","rev":)" + std::to_string(revision) +
                               R"(},"spec":{"era":)" + std::to_string(marked) + "}}";
    if (request.rfind("GET ", 0) == 0) {
      const bool isFound = marked != 0;
      return gateway::test::answer(isFound ? "200 OK" : "404 None", isFound ? object : "{}", head);
    }
    ++writes;
    if (isTakenByAnother) {
      marked = era.load();
      return gateway::test::answer("409 Conflict", object, head);
    }
    CHECK(request.rfind(marked == 0 ? "POST " : "PUT ", 0) == 0);
    CHECK(holdsText(request, "\"era\":" + std::to_string(era)));
    marked = era.load();
    ++revision;
    return gateway::test::answer("200 OK", object, head);
  }

  std::atomic<int> era{2};
  std::atomic<int> marked{0};  ///< 0: there is no mark.
  std::atomic<int> revision{7};
  std::atomic<int> writes{0};
  std::atomic<bool> isTakenByAnother{false};
  std::atomic<bool> isDown{false};
  SystemClock clock;
  ScriptedBackend backend{[this](Poco::Net::StreamSocket& socket, const std::string& request) {
    if (!isDown) {
      gateway::test::say(socket, answerTo(request));
    }
    return !isDown;
  }};
  StoreClient store{backend.address(), clock};
  EraMark mark{store};
};

}  // namespace

TEST_CASE("a return of the store is unhandled while its mark is missing or names an earlier era") {
  MarkedStore world;
  SUBCASE("it is missing") {}
  SUBCASE("it came back with the copy") {
    world.era = 3;
    world.marked = 2;
  }
  CHECK_FALSE(world.mark.isSet(static_cast<uint64_t>(world.era)));
  CHECK_FALSE(world.mark.isSet(static_cast<uint64_t>(world.era)));
  CHECK(world.backend.requests() == 1);  // Asked once.

  world.mark.set(static_cast<uint64_t>(world.era));
  CHECK(world.mark.isSet(static_cast<uint64_t>(world.era)));
  CHECK(world.writes == 1);
  EraMark ofOtherNode(world.store);
  CHECK(ofOtherNode.isSet(static_cast<uint64_t>(world.era)));

  ++world.era;  // It comes back once more, from a copy of before.
  CHECK_FALSE(world.mark.isSet(static_cast<uint64_t>(world.era)));
}

TEST_CASE("a store that never came back from a copy needs no mark") {
  MarkedStore world;
  CHECK(world.mark.isSet(0));
  CHECK(world.mark.isSet(1));
  CHECK(world.backend.requests() == 0);
}

TEST_CASE("a mark that another node sets first counts") {
  MarkedStore world;
  world.isTakenByAnother = true;
  CHECK_FALSE(world.mark.isSet(2));
  world.mark.set(2);
  CHECK(world.mark.isSet(2));
  CHECK(world.writes == 1);
}

TEST_CASE("a mark that cannot be read counts as not set, and is asked for again") {
  MarkedStore world;
  world.marked = 2;
  world.isDown = true;
  CHECK_FALSE(world.mark.isSet(2));
  world.mark.set(2);
  CHECK(world.writes == 0);
  world.isDown = false;
  CHECK(world.mark.isSet(2));
}

}  // namespace fernmoor::platform
