/// @file
/// Tests of standin/application_server.h over loopback.
#include "standin/application_server.h"

#include <doctest/doctest.h>

#include "test/standin/http_test_client.h"

namespace fernmoor::standin {

namespace {

ApplicationServerOptions quickEngine() {
  ApplicationServerOptions options;
  options.incarnation = Incarnation(7);
  options.workTime = Duration(1000);
  return options;
}

/// @return the status, 0 where the connection was cut.
int pay(const ApplicationServer& engine, const std::string& key) {
  try {
    const std::string body = R"({"amount":12})";
    Poco::Net::HTTPClientSession session("127.0.0.1", engine.port());
    session.setTimeout(Poco::Timespan(60, 0));
    Poco::Net::HTTPRequest request("POST", "/run/payment", "HTTP/1.1");
    request.set("Idempotency-Key", key);
    request.set("X-Attempt-Id", key + "-1");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    return response.getStatus();
  } catch (const Poco::Exception&) {
    return 0;
  }
}

int fault(const ApplicationServer& engine, const std::string& body) {
  return ask(engine.port(), "POST", "/fault", body).status;
}

}  // namespace

TEST_CASE("the application engine records each run, doubled keys too") {
  ApplicationServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  CHECK(pay(engine, "k") == 200);
  CHECK(pay(engine, "k") == 200);
  const auto runs = engine.runs();
  REQUIRE(runs.size() == 2);
  CHECK(runs[1].key == "k");
  CHECK(runs[1].attempt == AttemptId("k-1"));
  CHECK(runs[1].completed);
  const auto answer = ask(engine.port(), "POST", "/run/receipt", R"({"claim":"c"})").body;
  CHECK(textField(answer, "receipt") ==
        textField(ask(engine.port(), "POST", "/run/receipt", R"({"claim":"c"})").body, "receipt"));
}

TEST_CASE("a lost answer belongs to a run that was completed") {
  ApplicationServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  CHECK(fault(engine, R"({"kind":"lose_answer","count":1})") == 200);
  CHECK(pay(engine, "k") == 0);
  REQUIRE(engine.runs().size() == 1);
  CHECK(engine.runs()[0].completed);
  CHECK(pay(engine, "l") == 200);
}

TEST_CASE("a refused operation is told as not run and is not in the record") {
  ApplicationServer engine(quickEngine());
  REQUIRE(isOk(engine.start()));
  fault(engine, R"({"kind":"refuse","count":1})");
  const auto refused = ask(engine.port(), "POST", "/run/payment", R"({"amount":1})");
  CHECK(refused.status == 503);
  CHECK(textField(refused.body, "run") == "not_run");
  CHECK(engine.runs().empty());
}

TEST_CASE("a crash in mid-run counts as started, and a greater incarnation comes back") {
  auto options = quickEngine();
  options.workTime = Duration(50000000);
  ApplicationServer engine(options);
  REQUIRE(isOk(engine.start()));
  int status = -1;
  std::thread caller([&] { status = pay(engine, "k"); });
  CHECK(eventually([&] { return engine.runs().size() == 1; }));
  fault(engine, R"({"kind":"crash","duration_ms":1})");
  caller.join();
  CHECK(status == 0);
  CHECK_FALSE(engine.runs()[0].completed);
  CHECK(eventually([&] { return ask(engine.port(), "GET", "/state").status == 200; }));
  CHECK(engine.incarnation() > Incarnation(7));
  CHECK(numberField(ask(engine.port(), "GET", "/state").body, "running") == 0);
}

}  // namespace fernmoor::standin
