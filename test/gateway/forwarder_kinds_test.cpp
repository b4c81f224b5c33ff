/// @file
/// Tests of src/gateway/forwarder.h over loopback: late answers by their cause, and engines for
/// long and short prompts.
#include <doctest/doctest.h>

#include <atomic>
#include <set>

#include "gateway/forwarder.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

namespace {

using namespace test;  // NOLINT(google-build-using-namespace)

/// Serves a stream of two events with these times before them, against limits of 2 s each.
/// @return the late answers counted by cause: first event, pause.
std::pair<int, int> lateAnswersOf(Duration beforeFirst, Duration beforeSecond) {
  ForwarderWorld world;
  world.row.isStream = true;
  world.row.target = std::chrono::seconds(2);
  world.row.longestPause = std::chrono::seconds(2);
  std::atomic<bool> hasFirst{false};
  world.caller.onBody = [&] { hasFirst = true; };
  world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
    world.clock.leap = beforeFirst;
    say(socket, streamHead() + chunk(event(1)));
    while (!hasFirst) {
      std::this_thread::yield();
    }
    world.clock.leap = beforeFirst + beforeSecond;
    say(socket, chunk(event(2)) + "0\r\n\r\n");
    return true;
  });
  world.serve();
  CHECK(world.caller.body == event(1) + event(2));
  const std::string metrics = world.metrics.serialize();
  const auto counted = [&](const std::string& cause) {
    const std::string line =
        "fernmoor_late_answers_total{cause=\"" + cause + "\",service=\"pool\",tenant=\"\"} ";
    const size_t at = metrics.find(line);
    return at == std::string::npos ? -1 : std::atoi(metrics.c_str() + at + line.size());
  };
  return {counted("first_event"), counted("pause")};
}

}  // namespace

// Guards against late answers that are not counted, counted twice or under the wrong cause.
TEST_CASE("an answer that is delivered late is counted once, by its cause") {
  constexpr Duration kNone{0};
  constexpr Duration kTooLong = std::chrono::seconds(3);
  CHECK(lateAnswersOf(kNone, kNone) == std::pair(0, 0));
  CHECK(lateAnswersOf(kTooLong, kNone) == std::pair(1, 0));
  CHECK(lateAnswersOf(kNone, kTooLong) == std::pair(0, 1));
  CHECK(lateAnswersOf(kTooLong, kTooLong) == std::pair(1, 0));
}

// Guards against a separation that learns nothing from the requests that are forwarded.
TEST_CASE("forwarded requests of long and short prompts come to use different engines") {
  ForwarderWorld world;
  auto table = std::make_shared<TrafficTable>();
  table->version = 2;
  Pool pool;
  pool.name = "pool";
  pool.servesModels = true;
  pool.room.places = 32;
  table->addPool(pool);
  world.table.take(table, world.clock.now());
  world.row.name = "short";
  world.row.isStream = true;
  world.row.usesPrefixes = true;
  world.row.longestPause = std::chrono::milliseconds(300);
  Row longRow = world.row;
  longRow.name = "long";
  for (int index = 0; index < 8; ++index) {
    const auto script = [&](Poco::Net::StreamSocket& socket, const std::string& request) {
      const Duration reading = std::chrono::milliseconds(holdsText(request, "long") ? 140 : 20);
      world.clock.leap = world.clock.leap.load() + reading;
      say(socket, streamHead() + chunk(event(1)) + "0\r\n\r\n");
      return true;
    };
    world.add("e" + std::to_string(index), script);
  }
  const auto enginesOf = [&](const Row& row, uint64_t shared, uint64_t own, int subject) {
    IncomingRequest request = world.request();
    request.row = &row;
    request.body = row.name;
    request.promptTokens = shared + own;
    request.parts = {PromptPart{row.name + std::to_string(subject), shared},
                     PromptPart{"own", own}};
    std::vector<int> before;
    for (const auto& backend : world.scripted) {
      before.push_back(backend->requests());
    }
    world.forwarder.serve(request, world.caller);
    size_t engine = 0;
    while (world.scripted[engine]->requests() == before[engine]) {
      ++engine;
      REQUIRE(engine < before.size());
    }
    return engine;
  };
  std::set<size_t> ofShort;
  std::set<size_t> ofLong;
  constexpr int kLearning = 40;
  for (int turn = 0; turn < kLearning + 30; ++turn) {
    const size_t shortEngine = enginesOf(world.row, 198, 628, turn % 10);
    const size_t longEngine = enginesOf(longRow, 6300, 2890, turn % 10);
    if (turn >= kLearning) {
      ofShort.insert(shortEngine);
      ofLong.insert(longEngine);
    }
  }
  CHECK(ofLong.size() > 1);
  for (const size_t engine : ofShort) {
    CHECK(ofLong.count(engine) == 0);
  }
}

}  // namespace fernmoor::gateway
