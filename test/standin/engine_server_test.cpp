/// @file
/// Tests of standin/engine_server.h over loopback.
#include "standin/engine_server.h"

#include <doctest/doctest.h>

#include "standin/answer.h"
#include "standin/kv_store_server.h"
#include "standin/platform_server.h"
#include "test/standin/http_test_client.h"

namespace fernmoor::standin {

namespace {

EngineServerOptions quickEngine() {
  EngineServerOptions options;
  options.engine.id = EngineId("e1");
  options.engine.model = ModelId("m");
  options.engine.incarnation = Incarnation(7);
  options.engine.tokenInterval = Duration(1000);
  options.engine.eventDelay = Duration(0);
  return options;
}

std::string generateBody(const std::string& attempt, int64_t maxTokens,
                         const std::string& more = "") {
  return R"({"attempt":")" + attempt + R"(","request":"r","tenant":"t","model":"m","prompt":")" +
         std::string(200, 'x') + R"(","max_tokens":)" + std::to_string(maxTokens) + more + "}";
}

const std::string kWhole = answerText("m", std::string(200, 'x'), 30);

}  // namespace

TEST_CASE("the engine streams a whole answer and records the run") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  EventReader reader(engine.port(), "/v1/generate", generateBody("a", 30));
  CHECK(reader.rest() == kWhole);
  CHECK(reader.ended());
  const auto runs = engine.runs();
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].tokens == 30);
  CHECK(runs[0].ended);
}

TEST_CASE("a refused request is answered not_run and is not in the record") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  const auto answer =
      ask(engine.port(), "POST", "/v1/generate", generateBody("a", 3, R"(,"incarnation":6)"));
  CHECK(answer.status == 409);
  CHECK(textField(answer.body, "kind") == "wrong_incarnation");
  CHECK(textField(answer.body, "run") == "not_run");
  CHECK(engine.runs().empty());
}

TEST_CASE("a reader that went away is followed by another one at its position") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  EventReader first(engine.port(), "/v1/generate", generateBody("a", 30));
  first.next();
  first.next();
  first.close();
  EventReader second(engine.port(), "/v1/resume", R"({"attempt":"a","position":1})");
  CHECK(second.rest() == kWhole.substr(9));
  CHECK(second.ended());
  CHECK(ask(engine.port(), "POST", "/v1/resume", R"({"attempt":"b","position":1})").status == 404);
}

TEST_CASE("an attempt that nobody reads is cancelled after its grace") {
  auto options = quickEngine();
  options.readerGrace = Duration(1000);
  EngineServer engine(options);
  REQUIRE(isOk(engine.start()));
  EventReader reader(engine.port(), "/v1/generate", generateBody("a", 100000));
  reader.next();
  reader.close();
  CHECK(eventually([&] { return !engine.busy(); }));
  CHECK_FALSE(engine.runs()[0].ended);
}

TEST_CASE("cancel ends the stream without an end event") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  EventReader reader(engine.port(), "/v1/generate", generateBody("a", 100000));
  reader.next();
  CHECK(ask(engine.port(), "POST", "/v1/cancel", R"({"attempt":"a"})").status == 200);
  reader.rest();
  CHECK_FALSE(reader.ended());
  CHECK(eventually([&] { return !engine.busy(); }));
}

TEST_CASE("a crash cuts streams and comes back on the same port as a greater incarnation") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  EventReader reader(engine.port(), "/v1/generate", generateBody("a", 100000));
  reader.next();
  CHECK(ask(engine.port(), "POST", "/fault", R"({"kind":"crash","duration_ms":1})").status == 200);
  reader.rest();
  CHECK_FALSE(reader.ended());
  CHECK(eventually([&] { return ask(engine.port(), "GET", "/v1/state").status == 200; }));
  CHECK(engine.incarnation() > Incarnation(7));
  EventReader again(engine.port(), "/v1/generate", generateBody("a2", 30));
  CHECK(again.rest() == kWhole);
  CHECK(engine.runs().size() == 2);
}

TEST_CASE("while connections are refused, open streams go on") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  EventReader reader(engine.port(), "/v1/generate", generateBody("a", 30));
  ask(engine.port(), "POST", "/fault", R"({"kind":"refuse_connections","duration_ms":600000})");
  CHECK(eventually([&] { return ask(engine.port(), "GET", "/v1/state").status == 0; }));
  CHECK(reader.rest() == kWhole);
  CHECK(reader.ended());
}

TEST_CASE("a freeze loses nothing: calls and streams go on when it is over") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  EventReader reader(engine.port(), "/v1/generate", generateBody("a", 30));
  CHECK(ask(engine.port(), "POST", "/fault", R"({"kind":"freeze","duration_ms":20})").status ==
        200);
  CHECK(ask(engine.port(), "GET", "/v1/state").status == 200);
  CHECK(reader.rest() == kWhole);
}

TEST_CASE("with a platform, loading ends when its weight store gives the weights") {
  PlatformServerOptions platformOptions;
  platformOptions.weights.loadTime = Duration(1000);
  PlatformServer platform(platformOptions);
  REQUIRE(isOk(platform.start()));
  auto options = quickEngine();
  options.engine.weightsLoadTime = Duration(3600000000);
  options.platform = SocketAddress{"127.0.0.1", platform.port()};
  EngineServer engine(options);
  REQUIRE(isOk(engine.start()));
  const std::string order = R"({"token":1,"model":"m","weights_version":2})";
  CHECK(ask(engine.port(), "POST", "/v1/orders", order).status == 200);
  CHECK(eventually(
      [&] { return textField(ask(engine.port(), "GET", "/v1/state").body, "status") == "live"; }));
}

TEST_CASE("a reader of events is woken by a new block") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  JsonAnswer events;
  std::thread waiting([&] {
    events = ask(engine.port(), "GET", "/v1/events?incarnation=7&after=0&wait_ms=10000");
  });
  EventReader(engine.port(), "/v1/generate", generateBody("a", 1)).rest();
  waiting.join();
  CHECK(events.body->getArray("events")->size() == 3);
  CHECK_FALSE(events.body->optValue("gap", true));
}

TEST_CASE("the engine refuses the order of an older token and tells the newest") {
  EngineServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  const auto order = [&](const std::string& rest) {
    return ask(engine.port(), "POST", "/v1/orders", R"({"model":"m","weights_version":2,)" + rest);
  };
  CHECK(order(R"("token":5})").status == 200);
  const auto refused = order(R"("token":4})");
  CHECK(refused.status == 409);
  CHECK(numberField(refused.body, "highest_fencing_token") == 5);
  CHECK(order(R"("token":6,"incarnation":3})").status == 409);
  const auto state = ask(engine.port(), "GET", "/v1/state").body;
  CHECK(textField(state, "status") == "loading");
  CHECK(numberField(state, "highest_fencing_token") == 5);
}

TEST_CASE("blocks move from engine to store and from there to another engine") {
  EngineServer first(quickEngine());
  EngineServer second(quickEngine());
  KvStoreServer store(KvStoreServerOptions{});
  REQUIRE(isOk(first.start()));
  REQUIRE(isOk(second.start()));
  REQUIRE(isOk(store.start()));
  EventReader(first.port(), "/v1/generate", generateBody("a", 1)).rest();
  const auto chain = hashPrompt({TenantId("t"), ModelId("m"), AdapterId(), WeightsVersion(1)},
                                std::string(200, 'x'));
  JsonObject::Ptr body = newObject();
  body->set("blocks", toArray(chain.hashes));
  body->set("store", "http://127.0.0.1:" + std::to_string(store.port()));
  body->set("source", "http://127.0.0.1:" + std::to_string(store.port()));
  const auto saved = ask(first.port(), "POST", "/v1/kv/save", toText(body));
  CHECK(numberField(saved.body, "saved") == 3);
  const auto imported = ask(second.port(), "POST", "/v1/kv/import", toText(body));
  CHECK(numberField(imported.body, "imported") == 3);
  EventReader(second.port(), "/v1/generate", generateBody("b", 1)).rest();
  CHECK(second.runs()[0].cachedTokens == 48);
  REQUIRE(store.calls().size() == 2);
  CHECK(store.calls()[1].found == 3);
}

}  // namespace fernmoor::standin
