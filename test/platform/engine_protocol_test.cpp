/// @file
/// Tests of platform/engine_protocol.h.
#include "platform/engine_protocol.h"

#include <doctest/doctest.h>

namespace fernmoor::platform {

namespace {

struct Sent {
  Sent() {
    request.id = "r1";
    plan.backend.id = "i-1";
  }
  Poco::Net::HTTPRequest head() {
    Poco::Net::HTTPRequest made;
    EngineProtocol().addHeaders(request, plan, std::chrono::milliseconds(1234), made);
    return made;
  }
  gateway::AnswerFacts facts(int status,
                             const std::vector<std::pair<std::string, std::string>>& headers) {
    Poco::Net::HTTPResponse answer(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    for (const auto& header : headers) {
      answer.set(header.first, header.second);
    }
    return EngineProtocol().readAnswer(request, answer);
  }
  gateway::IncomingRequest request;
  gateway::SendPlan plan;
};

}  // namespace

TEST_CASE("a back end is told its own id, the time left and the tenant, never the key") {
  Sent sent;
  sent.request.tenant = gateway::Tenant{"sese", false, 0};
  sent.request.key = "secret";
  const Poco::Net::HTTPRequest head = sent.head();
  CHECK(head.get("X-Expect-Instance") == "i-1");
  CHECK(head.get("X-Deadline-Ms") == "1234");
  CHECK(head.get("X-Tenant") == "sese");
  CHECK_FALSE(head.has("Api-Key"));
  CHECK_FALSE(head.has("X-Cache-Salt"));
  CHECK_FALSE(head.has("Last-Event-Id"));
}

TEST_CASE("a scope is never named without the weights that it stands for") {
  Sent sent;
  sent.plan.cacheScope = "shared.v3";
  sent.plan.weightsVersion = 3;
  sent.plan.transfer.fetchFrom = SocketAddress{"10.0.0.1", 80};
  sent.plan.resumeAfter = "12";
  const Poco::Net::HTTPRequest head = sent.head();
  CHECK(head.get("X-Cache-Salt") == "shared.v3");
  CHECK(head.get("X-Expect-Version") == "3");
  CHECK(head.get("X-Kv-Fetch") == "10.0.0.1:80");
  CHECK_FALSE(head.has("X-Kv-Save"));
  CHECK(head.get("Last-Event-Id") == "12");
}

TEST_CASE("only the named words of a back end free a request to run elsewhere") {
  Sent sent;
  CHECK(sent.facts(503, {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}}).didNotRun);
  CHECK(sent.facts(421, {{"X-Request-Id", "r1"}}).didNotRun);
  CHECK(sent.facts(421, {}).didNotRun);
  CHECK(sent.facts(421, {}).isWrongLife);
  CHECK_FALSE(sent.facts(503, {{"X-Request-Id", "r1"}}).didNotRun);
  CHECK_FALSE(sent.facts(500, {{"X-Request-Id", "r1"}}).didNotRun);
  CHECK_FALSE(sent.facts(503, {{"X-Request-Id", "r0"}, {"X-Not-Executed", "1"}}).didNotRun);
}

TEST_CASE("an answer is ours only by its id") {
  Sent sent;
  CHECK(sent.facts(200, {{"X-Request-Id", "r1"}}).isOurs);
  CHECK_FALSE(sent.facts(200, {{"X-Request-Id", "r0"}}).isOurs);
  CHECK_FALSE(sent.facts(200, {}).isOurs);
  CHECK(sent.facts(200, {{"X-Request-Id", "r1"}, {"X-Weight-Versions", "4"}}).weightsVersion == 4);
}

}  // namespace fernmoor::platform
