/// @file
/// Tests of src/http/message_head.h.
#include "http/message_head.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

HeadOutcome outcomeOf(const std::string& text) {
  HTTPRequest head;
  return parseRequestHead(text, head);
}

}  // namespace

TEST_CASE("a request's line and fields are taken as they are, without the blanks around values") {
  HTTPRequest head;
  REQUIRE(parseRequestHead("PUT /a?b=%20 HTTP/1.0\r\nHost:h\r\nX-A: \t a b \t\r\nX-Empty:\r\n"
                           "x-a: =?UTF-8?Q?=0D=0A?=\r\nX-B: a:b\r\n\r\n",
                           head) == HeadOutcome::kParsed);
  CHECK(head.getMethod() == "PUT");
  CHECK(head.getURI() == "/a?b=%20");
  CHECK(head.getVersion() == "HTTP/1.0");
  CHECK(head.size() == 5);
  CHECK(head["X-A"] == "a b");
  CHECK(head["X-Empty"].empty());
  CHECK(head["X-B"] == "a:b");
  CHECK(formatHead(head) ==
        "PUT /a?b=%20 HTTP/1.0\r\nHost: h\r\nX-A: a b\r\nx-a: =?UTF-8?Q?=0D=0A?=\r\n"
        "X-Empty: \r\nX-B: a:b\r\n\r\n");
}

TEST_CASE("a request head that two readers could understand differently is malformed") {
  for (const std::string& text :
       {"GET  /a HTTP/1.1\r\n\r\n", "GET /a\r\n\r\n", "GET /a HTTP/1.1 \r\n\r\n",
        "GET /a b HTTP/1.1\r\n\r\n", "G(T /a HTTP/1.1\r\n\r\n", " GET /a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/11\r\n\r\n", "GET /a HTTP/1.1\r\nX : a\r\n\r\n",
        "GET /a HTTP/1.1\r\n: a\r\n\r\n", "GET /a HTTP/1.1\r\nX\r\n\r\n",
        "GET /a HTTP/1.1\r\nX: a\rb\r\n\r\n", "GET /a HTTP/1.1\r\nX: a\n\r\n",
        "GET /a HTTP/1.1\r\nX: a\r\n", "GET /a HTTP/1.1\r\n\r\nX: a\r\n", "\r\n\r\n", ""}) {
    CAPTURE(text);
    CHECK(outcomeOf(text) == HeadOutcome::kMalformed);
  }
}

TEST_CASE("a long value and many fields are taken, more than the bound are refused") {
  CHECK(outcomeOf("GET /a HTTP/1.1\r\nX: " + std::string(12000, 'v') + "\r\n\r\n") ==
        HeadOutcome::kParsed);
  std::string text = "GET /a HTTP/1.1\r\n";
  for (size_t count = 0; count < kMaxHeadFields; ++count) {
    text += "X: a\r\n";
  }
  CHECK(outcomeOf(text + "\r\n") == HeadOutcome::kParsed);
  CHECK(outcomeOf(text + "X: a\r\n\r\n") == HeadOutcome::kTooManyFields);
}

TEST_CASE("an answer's status and reason are read, also where the reason is missing") {
  HTTPResponse head;
  REQUIRE(parseAnswerHead("HTTP/1.1 503 Not Now\r\nX-A : a\r\n\r\n", head) == HeadOutcome::kParsed);
  CHECK(static_cast<int>(head.getStatus()) == 503);
  CHECK(head.getReason() == "Not Now");
  CHECK(head["X-A"] == "a");
  CHECK(parseAnswerHead("HTTP/1.1 204 \r\n\r\n", head) == HeadOutcome::kParsed);
  CHECK(parseAnswerHead("HTTP/1.1 204\r\n\r\n", head) == HeadOutcome::kParsed);
  CHECK(static_cast<int>(head.getStatus()) == 204);
  for (const std::string& text :
       {"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n",
        "HTTP/1.1 2x0 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", "200 OK\r\n\r\n"}) {
    CAPTURE(text);
    CHECK(parseAnswerHead(text, head) == HeadOutcome::kMalformed);
  }
}

TEST_CASE("a head with bytes that would end a line early is not written") {
  const std::vector<std::string> breaks = {"a\rb", "a\nb", "a\r\nX-B: b", std::string("a\0b", 3)};
  for (const std::string& value : breaks) {
    HTTPRequest request("GET", "/a", HTTPRequest::HTTP_1_1);
    request.set("X-A", value);
    CHECK_FALSE(formatHead(request));
    CHECK_FALSE(formatHead(HTTPRequest("GET", "/" + value, HTTPRequest::HTTP_1_1)));
    CHECK_FALSE(formatHead(HTTPRequest(value, "/a", HTTPRequest::HTTP_1_1)));
    HTTPResponse answer(HTTPResponse::HTTP_OK, value);
    CHECK_FALSE(formatHead(answer));
    answer.setReason("OK");
    CHECK(formatHead(answer));
    answer.set("X-A", value);
    CHECK_FALSE(formatHead(answer));
  }
  for (const std::string& name : {"X A", "X:", "", "X\r\nX"}) {
    HTTPRequest request("GET", "/a", HTTPRequest::HTTP_1_1);
    request.add(name, "a");
    CHECK_FALSE(formatHead(request));
  }
}

}  // namespace fernmoor
