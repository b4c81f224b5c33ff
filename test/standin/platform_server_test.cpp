/// @file
/// Tests of standin/platform_server.h over loopback, and of its parts on virtual time.
#include "standin/platform_server.h"

#include <doctest/doctest.h>

#include "test/standin/http_test_client.h"

namespace fernmoor::standin {

namespace {

Time at(int64_t milliseconds) {
  return Time(Duration(milliseconds * 1000));
}

std::string writeBody(uint64_t expected, const std::string& changeId, int64_t value) {
  return R"({"expected_version":)" + std::to_string(expected) + R"(,"change_id":")" + changeId +
         R"(","value":{"n":)" + std::to_string(value) + "}}";
}

struct RunningPlatform {
  explicit RunningPlatform(const PlatformServerOptions& options = {}) : server(options) {
    REQUIRE(isOk(server.start()));
  }
  JsonAnswer put(const std::string& name, uint64_t expected, const std::string& changeId,
                 int64_t value) {
    return ask(server.port(), "PUT", "/objects/rows/" + name, writeBody(expected, changeId, value));
  }
  JsonAnswer get(const std::string& path) { return ask(server.port(), "GET", path); }
  JsonAnswer fault(const std::string& body) { return ask(server.port(), "POST", "/fault", body); }
  PlatformServer server;
};

}  // namespace

TEST_CASE("a write on an old version is refused with what stands there") {
  RunningPlatform platform;
  CHECK(numberField(platform.put("x", 0, "c1", 1).body, "version") == 1);
  CHECK(numberField(platform.put("y", 0, "c2", 2).body, "version") == 2);
  const auto refused = platform.put("x", 0, "c3", 3);
  CHECK(refused.status == 409);
  const auto current = refused.body->getObject("current");
  CHECK(numberField(current, "version") == 1);
  CHECK(textField(current, "change_id") == "c1");
  CHECK(platform.get("/changes/rows/c3").status == 404);
}

TEST_CASE("a repeated change is answered as the first time and applied once") {
  RunningPlatform platform;
  platform.put("x", 0, "c1", 1);
  platform.put("x", 1, "c2", 2);
  CHECK(numberField(platform.put("x", 0, "c1", 1).body, "version") == 1);
  CHECK(numberField(platform.get("/objects/rows").body, "revision") == 2);
}

TEST_CASE("a batch takes one revision and applies as a whole or not at all") {
  RunningPlatform platform;
  const auto batch = [&](const std::string& rest) {
    return ask(platform.server.port(), "POST", "/objects/rows", "{" + rest + "}");
  };
  platform.put("x", 0, "c1", 1);
  const auto both = batch(
      R"("change_id":"b1","changes":[{"name":"x","expected_version":1,"value":null},
         {"name":"y","expected_version":0,"value":7}])");
  CHECK(numberField(both.body, "revision") == 2);
  CHECK(platform.get("/objects/rows/x").status == 404);
  CHECK(numberField(platform.get("/objects/rows/y").body, "value") == 7);
  CHECK(batch(R"("expected_revision":1,"changes":[{"name":"z","value":1}])").status == 409);
  CHECK(batch(R"("changes":[{"name":"z","value":1},{"name":"y","expected_version":1,"value":1}])")
            .status == 409);
  CHECK(platform.get("/objects/rows/z").status == 404);
  const auto changes = platform.get("/watch/rows?after=1").body->getArray("changes");
  REQUIRE(changes->size() == 2);
  CHECK(changes->getObject(0)->isNull("value"));
  CHECK(numberField(changes->getObject(1), "version") == 2);
}

TEST_CASE("an answer can be lost after the change took effect") {
  RunningPlatform platform;
  platform.fault(R"({"kind":"lose_answers","count":1})");
  CHECK(platform.put("x", 0, "c1", 1).status == 0);
  CHECK(numberField(platform.get("/changes/rows/c1").body, "version") == 1);
  CHECK(platform.put("x", 1, "c2", 2).status == 200);
}

TEST_CASE("a watch is woken by a write, and told where the history is too short") {
  PlatformServerOptions options;
  options.keptChanges = 2;
  options.watchesPerCollection = 1;
  RunningPlatform platform(options);
  JsonAnswer woken;
  std::thread watcher([&] {
    do {  // The look below takes the one place for a moment.
      woken = platform.get("/watch/rows?after=0&wait_ms=30000");
    } while (woken.status == 429);
  });
  CHECK(eventually(
      [&] { return platform.get("/watch/rows?after=0").status == 429; }));  // One is all.
  platform.put("x", 0, "c1", 1);
  watcher.join();
  CHECK(numberField(woken.body, "revision") == 1);
  CHECK(woken.body->getArray("changes")->size() == 1);
  platform.put("x", 1, "c2", 2);
  platform.put("x", 2, "c3", 3);
  CHECK(platform.get("/watch/rows?after=0").body->optValue("compacted", false));
  CHECK(platform.get("/watch/rows?after=1").body->getArray("changes")->size() == 2);
}

TEST_CASE("while down, the platform answers 503 to all, watches included, and keeps its objects") {
  RunningPlatform platform;
  platform.put("x", 0, "c1", 1);
  JsonAnswer broken;
  std::thread watcher([&] { broken = platform.get("/watch/rows?after=1&wait_ms=30000"); });
  platform.fault(R"({"kind":"down"})");
  watcher.join();
  CHECK(broken.status == 503);
  CHECK(platform.put("x", 1, "c2", 2).status == 503);
  platform.fault(R"({"kind":"none"})");
  CHECK(numberField(platform.get("/objects/rows/x").body, "version") == 1);
}

TEST_CASE("a watch that came before an outage is broken though it begins to wait after it") {
  RunningPlatform platform;
  platform.put("x", 0, "c1", 1);
  platform.fault(R"({"kind":"slow","delay_ms":400})");
  JsonAnswer broken;
  std::thread watcher([&] { broken = platform.get("/watch/rows?after=1&wait_ms=1000"); });
  // Either the watch is held up by now, or it comes while the platform is down.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  platform.fault(R"({"kind":"down"})");
  watcher.join();
  CHECK(broken.status == 503);
}

TEST_CASE("the machine list lags") {
  MachineList list(Duration(500000));
  Machine machine;
  machine.name = "e1";
  list.put(machine, at(1000));
  CHECK(list.at(at(1499)).empty());
  CHECK(list.at(at(1500)).size() == 1);
  CHECK(list.leave("e1", at(2000)));
  CHECK(list.at(at(2400))[0].status == "live");
  CHECK(list.at(at(2500))[0].status == "leaving");
  list.remove("e1", at(3000));
  CHECK(list.at(at(3400)).size() == 1);
  CHECK(list.at(at(3500)).empty());
  CHECK_FALSE(list.leave("e1", at(3500)));
}

TEST_CASE("more loads of weights than run in parallel slow each other, far more are refused") {
  WeightStoreOptions options;
  options.maximumLoads = 4;
  WeightStore store(options);
  const auto first = store.begin(at(0));
  const auto second = store.begin(at(0));
  CHECK((store.expectedEnd(*first, at(0)) == at(500)));
  CHECK(store.begin(at(250)).has_value());
  CHECK(store.begin(at(250)).has_value());
  CHECK_FALSE(store.begin(at(250)).has_value());
  CHECK((store.expectedEnd(*first, at(250)) == at(750)));  // At half the rate from now on.
  store.end(*second, at(750));
  CHECK(store.begin(at(750)).has_value());
}

}  // namespace fernmoor::standin
