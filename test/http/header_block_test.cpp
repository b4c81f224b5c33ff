/// @file
/// Tests of src/http/header_block.h.
#include "http/header_block.h"

#include <doctest/doctest.h>

#include "test/http/socket_pair.h"

namespace fernmoor {

namespace {

using test::SocketPair;

/// A clock that the test moves; the sockets beside it are real.
class SteppedClock : public Clock {
 public:
  Time now() const override { return now_; }
  int64_t wallMicroseconds() const override { return 0; }
  Time now_{std::chrono::seconds(100)};
};

HeaderOutcome take(const std::string& sent, std::string& text, size_t maxBytes = 1000) {
  SocketPair pair;
  pair.farSends(sent);
  pair.farCloses();
  const SystemClock clock;
  HeaderBounds bounds{maxBytes, clock.now() + std::chrono::seconds(5), std::chrono::seconds(5)};
  Time firstByteAt;
  return takeHeader(pair.near, bounds, clock, nullptr, text, firstByteAt);
}

HeaderOutcome outcomeOf(const std::string& sent, size_t maxBytes = 1000) {
  std::string text;
  return take(sent, text, maxBytes);
}

}  // namespace

TEST_CASE("a header is taken up to its empty line and no further") {
  std::string text;
  CHECK(take("GET / HTTP/1.1\r\nHost: a\r\n\r\nbody", text) == HeaderOutcome::kWhole);
  CHECK(text == "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
}

TEST_CASE("headers that two readers could understand differently are refused") {
  CHECK(outcomeOf("GET / HTTP/1.1\nHost: a\n\n") == HeaderOutcome::kMalformed);
  CHECK(outcomeOf("GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n") == HeaderOutcome::kMalformed);
  CHECK(outcomeOf("GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n") == HeaderOutcome::kMalformed);
  const std::string withZero = std::string("GET / HTTP/1.1\r\nHost: a") + '\0' + "b\r\n\r\n";
  CHECK(outcomeOf(withZero) == HeaderOutcome::kMalformed);
  CHECK(outcomeOf("\r\nGET / HTTP/1.1\r\n\r\n") == HeaderOutcome::kMalformed);
}

TEST_CASE("a header over the bound, and one that breaks off, are told apart from nothing at all") {
  CHECK(outcomeOf("GET / HTTP/1.1\r\nX: " + std::string(200, 'x') + "\r\n\r\n", 100) ==
        HeaderOutcome::kTooLarge);
  CHECK(outcomeOf("GET / HT") == HeaderOutcome::kBroken);
  CHECK(outcomeOf("") == HeaderOutcome::kNothing);
}

TEST_CASE("a header that begins and does not end in its time is given up") {
  SocketPair pair;
  pair.farSends("GET / HT");
  SteppedClock clock;
  HeaderBounds bounds{1000, clock.now() + std::chrono::seconds(5), Duration(0)};
  std::string text;
  Time firstByteAt;
  CHECK(takeHeader(pair.near, bounds, clock, nullptr, text, firstByteAt) ==
        HeaderOutcome::kTimeout);
  CHECK(firstByteAt == clock.now());
}

TEST_CASE("the wait for a header ends when the other connection is closed") {
  SocketPair engine;
  SocketPair caller;
  caller.farCloses();
  const SystemClock clock;
  HeaderBounds bounds{1000, clock.now() + std::chrono::seconds(30), std::chrono::seconds(5)};
  std::string text;
  Time firstByteAt;
  CHECK(takeHeader(engine.near, bounds, clock, &caller.near, text, firstByteAt) ==
        HeaderOutcome::kOtherClosed);
}

}  // namespace fernmoor
