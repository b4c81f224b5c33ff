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

TEST_CASE(
    "a request to a back end carries its id, the remaining time and the tenant, but not the key") {
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

TEST_CASE("an engine states how many rejections it survives, in all its answers") {
  Sent sent;
  const auto mention = [&](int status, const std::string& text) {
    return sent.facts(status, {{"X-Request-Id", "r1"}, {"Server-Brittle", text}})
        .brittlenessMention;
  };
  for (const char* const text : {"0", "8", "30", "8.0"}) {
    CHECK(mention(200, text) == gateway::LimitMention::kStated);
  }
  CHECK(sent.facts(200, {{"X-Request-Id", "r1"}, {"Server-Brittle", "8"}}).survivedRejections == 8);
  for (const char* const odd : {"abc", "-1", "+8", "", " ", "0x8", "inf", "1e400", "8,0"}) {
    CHECK(mention(200, odd) == gateway::LimitMention::kUnreadable);
  }
  CHECK(mention(200, "99999999999999999999") == gateway::LimitMention::kStated);
  Poco::Net::HTTPResponse twice;
  twice.set("X-Request-Id", "r1");
  twice.add("Server-Brittle", "8");
  twice.add("Server-Brittle", "8");
  CHECK(EngineProtocol().readAnswer(sent.request, twice).brittlenessMention ==
        gateway::LimitMention::kUnreadable);
  CHECK(sent.facts(200, {{"X-Request-Id", "r1"}}).brittlenessMention ==
        gateway::LimitMention::kNone);
  CHECK(sent.facts(503, {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}}).brittlenessMention ==
        gateway::LimitMention::kUntold);
  CHECK(sent.facts(421, {{"X-Request-Id", "r1"}, {"Server-Brittle", "8"}}).brittlenessMention ==
        gateway::LimitMention::kUntold);
  CHECK(sent.facts(503, {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}}).lackedRoom);
  CHECK_FALSE(sent.facts(429, {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}}).lackedRoom);
  CHECK_FALSE(sent.facts(503, {{"X-Request-Id", "r1"}}).lackedRoom);
}

TEST_CASE("a cache scope is sent only together with the version of its weights") {
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

TEST_CASE("a request may run elsewhere only if the back end states that it did not run") {
  Sent sent;
  CHECK(sent.facts(503, {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}}).didNotRun);
  CHECK(sent.facts(421, {{"X-Request-Id", "r1"}}).didNotRun);
  CHECK(sent.facts(421, {}).didNotRun);
  CHECK(sent.facts(421, {}).isWrongIncarnation);
  CHECK_FALSE(sent.facts(503, {{"X-Request-Id", "r1"}}).didNotRun);
  CHECK_FALSE(sent.facts(500, {{"X-Request-Id", "r1"}}).didNotRun);
  CHECK_FALSE(sent.facts(503, {{"X-Request-Id", "r0"}, {"X-Not-Executed", "1"}}).didNotRun);
}

TEST_CASE(
    "a limit is read from a single header with a decimal number in a response to our request") {
  using gateway::LimitMention;
  Sent sent;
  const auto mentionOf = [&](const std::string& text, int status = 200) {
    return sent.facts(status, {{"X-Request-Id", "r1"}, {"Server-Limit", text}}).limitMention;
  };
  SUBCASE("a decimal number") {
    for (const auto& [text, limit] :
         std::vector<std::pair<std::string, double>>{{"1.4", 1.4},
                                                     {"0", 0},
                                                     {"0.1", 0.1},
                                                     {"10", 10},
                                                     {"007", 7},
                                                     {"100000000000000", 1e14}}) {
      const gateway::AnswerFacts facts =
          sent.facts(200, {{"X-Request-Id", "r1"}, {"Server-Limit", text}});
      CHECK(facts.limitMention == LimitMention::kStated);
      CHECK(facts.limit == doctest::Approx(limit));
    }
  }
  SUBCASE("an invalid number neither sets nor clears the limit") {
    const std::string huge(400, '9');
    for (const char* text : {"abc", "-1", "nan", "inf", "1e400", "1e1", "1,4", "", " ", "+1", "0x1",
                             ".5", "5.", "1.4 a second", "1.4, 1.4", huge.c_str()}) {
      CHECK_MESSAGE(mentionOf(text) == LimitMention::kUnreadable, text);
    }
  }
  SUBCASE("a header that occurs twice is invalid") {
    Poco::Net::HTTPResponse answer;
    answer.set("X-Request-Id", "r1");
    answer.add("Server-Limit", "1.4");
    answer.add("server-limit", "1.4");
    CHECK(EngineProtocol().readAnswer(sent.request, answer).limitMention ==
          LimitMention::kUnreadable);
  }
  SUBCASE("a response without the header clears the limit") {
    CHECK(sent.facts(200, {{"X-Request-Id", "r1"}}).limitMention == LimitMention::kNone);
    CHECK(sent.facts(500, {{"X-Request-Id", "r1"}}).limitMention == LimitMention::kNone);
  }
  SUBCASE("a rejection may set a limit but does not clear it") {
    const std::vector<std::pair<std::string, std::string>> away = {{"X-Request-Id", "r1"},
                                                                   {"X-Not-Executed", "1"}};
    CHECK(sent.facts(503, away).limitMention == LimitMention::kUntold);
    CHECK(sent.facts(503, {away[0], away[1], {"Server-Limit", "2"}}).limitMention ==
          LimitMention::kStated);
  }
  SUBCASE("a response from another incarnation or to another request is ignored") {
    CHECK(mentionOf("1.4", 421) == LimitMention::kUntold);
    CHECK(sent.facts(200, {{"X-Request-Id", "r2"}, {"Server-Limit", "1.4"}}).limitMention ==
          LimitMention::kUntold);
  }
}

TEST_CASE("a response is matched to its request by the request id") {
  Sent sent;
  CHECK(sent.facts(200, {{"X-Request-Id", "r1"}}).isOurs);
  CHECK_FALSE(sent.facts(200, {{"X-Request-Id", "r0"}}).isOurs);
  CHECK_FALSE(sent.facts(200, {}).isOurs);
  CHECK(sent.facts(200, {{"X-Request-Id", "r1"}, {"X-Weight-Versions", "4"}}).weightsVersion == 4);
}

TEST_CASE(
    "an engine announces its shutdown with one exact header value in a response to our request") {
  Sent sent;
  const auto factsOf = [&](const std::string& text, int status = 200) {
    return sent.facts(status, {{"X-Request-Id", "r1"}, {"Server-Leaving", text}});
  };
  CHECK(factsOf("1").leaves);
  CHECK(factsOf("1", 503).leaves);
  CHECK_FALSE(sent.facts(200, {{"X-Request-Id", "r1"}}).leaves);
  CHECK_FALSE(sent.facts(200, {{"X-Request-Id", "r1"}}).hasUnreadableWithdrawal);
  SUBCASE("other values do not announce a shutdown") {
    for (const char* text : {"0", "", "true", "01", "1.0", "yes", "-1", "1, 1"}) {
      CHECK_MESSAGE(!factsOf(text).leaves, text);
      CHECK_MESSAGE(factsOf(text).hasUnreadableWithdrawal, text);
    }
  }
  SUBCASE("a response from another incarnation or to another request is ignored") {
    CHECK_FALSE(factsOf("1", 421).leaves);
    CHECK_FALSE(sent.facts(200, {{"X-Request-Id", "r0"}, {"Server-Leaving", "1"}}).leaves);
  }
}

TEST_CASE("an unavailable engine asks for a pause with Retry-After in seconds") {
  Sent sent;
  const auto factsOf = [&](const std::string& text, int status = 503) {
    return sent.facts(status,
                      {{"X-Request-Id", "r1"}, {"X-Not-Executed", "1"}, {"Retry-After", text}});
  };
  CHECK((factsOf("3").rest == std::chrono::seconds(3)));
  CHECK((factsOf("0.25").rest == std::chrono::milliseconds(250)));
  CHECK((factsOf("0").rest == Duration(0)));
  CHECK((factsOf("99999999999999999999").rest == std::chrono::hours(1)));
  CHECK((sent.facts(503, {{"X-Request-Id", "r1"}, {"Retry-After", "2"}}).rest ==
         std::chrono::seconds(2)));
  SUBCASE("Retry-After is ignored with other statuses") {
    CHECK((factsOf("3", 200).rest == Duration(0)));
    CHECK((factsOf("3", 429).rest == Duration(0)));
    CHECK((factsOf("3", 421).rest == Duration(0)));
    CHECK((sent.facts(503, {{"X-Request-Id", "r0"}, {"Retry-After", "2"}}).rest == Duration(0)));
  }
  SUBCASE("an invalid number of seconds asks for no pause") {
    for (const char* text : {"abc", "-1", "nan", "inf", "1e400", "1,4", "", " ", "+1", "0x1", ".5",
                             "5.", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
      CHECK_MESSAGE((factsOf(text).rest == Duration(0)), text);
      CHECK_MESSAGE(factsOf(text).hasUnreadableWithdrawal, text);
    }
  }
  SUBCASE("a header that occurs twice is invalid") {
    Poco::Net::HTTPResponse answer(Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    answer.set("X-Request-Id", "r1");
    answer.add("Retry-After", "3");
    answer.add("retry-after", "3");
    CHECK((EngineProtocol().readAnswer(sent.request, answer).rest == Duration(0)));
  }
}

}  // namespace fernmoor::platform
