/// @file
/// Tests of src/gateway/engine_permits.h with permits requested at given times.
#include "gateway/engine_permits.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace fernmoor::gateway {

namespace {

constexpr uint64_t kEngine = 7;
constexpr Time kStart{std::chrono::hours(1)};
constexpr Duration kWindow{4000000};

Time at(int milliseconds) {
  return kStart + std::chrono::milliseconds(milliseconds);
}

/// Requests a permit every `step` ms for `length` ms. @return when requests may be sent.
std::vector<Time> permitsOf(EnginePermits& permits, double rate, int from, int length, int step,
                            Duration longestWait = Duration(0)) {
  std::vector<Time> sends;
  for (int now = from; now < from + length; now += step) {
    const PermitOffer offer = permits.take(kEngine, rate, longestWait, at(now));
    if (offer.isTaken) {
      sends.push_back(at(now) + offer.wait);
    }
  }
  return sends;
}

size_t mostInWindow(const std::vector<Time>& sends) {
  size_t most = 0;
  for (auto first = sends.begin(); first != sends.end(); ++first) {
    const auto last = std::upper_bound(first, sends.end(), *first + kWindow);
    most = std::max(most, static_cast<size_t>(last - first));
  }
  return most;
}

}  // namespace

TEST_CASE("permits stay within the rate and use it up under steady demand") {
  for (const double rate : {0.25, 0.5, 1.0, 1.4, 10.0, 200.0}) {
    EnginePermits permits;
    const std::vector<Time> sends = permitsOf(permits, rate, 0, 40000, 1);
    CHECK(static_cast<double>(sends.size()) >= rate * 40 - 2);
    CHECK(static_cast<double>(mostInWindow(sends)) <= rate * 4 + std::max(1.0, rate / 2) + 1);
  }
}

TEST_CASE("the first permit of an unknown engine is due after one interval") {
  EnginePermits permits;
  const PermitOffer offer = permits.take(kEngine, 2.0, Duration(0), at(0));
  CHECK_FALSE(offer.isTaken);
  CHECK((offer.wait == std::chrono::milliseconds(500)));
  CHECK(permits.take(kEngine, 2.0, Duration(0), at(500)).isTaken);
}

TEST_CASE(
    "a request takes the next permit within its longest wait, and later requests wait longer") {
  EnginePermits permits;
  const Duration longestWait = std::chrono::milliseconds(300);
  permits.take(kEngine, 5.0, Duration(0), at(0));
  const PermitOffer first = permits.take(kEngine, 5.0, longestWait, at(0));
  CHECK(first.isTaken);
  CHECK((first.wait == std::chrono::milliseconds(200)));
  const PermitOffer second = permits.take(kEngine, 5.0, longestWait, at(0));
  CHECK_FALSE(second.isTaken);
  CHECK((second.wait == std::chrono::milliseconds(400)));
  SUBCASE("a returned permit is available again") {
    permits.giveBack(kEngine, at(100));
    CHECK(permits.take(kEngine, 5.0, longestWait, at(100)).isTaken);
  }
}

TEST_CASE("a lower limit applies at once and discards accumulated permits") {
  EnginePermits permits;
  permitsOf(permits, 10.0, 0, 1000, 100);
  CHECK_FALSE(permits.take(kEngine, 0.5, Duration(0), at(3000)).isTaken);
  const std::vector<Time> sends = permitsOf(permits, 0.5, 3000, 8000, 1);
  CHECK(sends.size() == 3);
  CHECK(permitsOf(permits, 10.0, 12000, 2000, 1).size() >= 19);
}

TEST_CASE("granted and withheld permits are counted since the last query") {
  EnginePermits permits;
  permitsOf(permits, 1.0, 0, 2001, 500);
  const std::vector<PermitCounts> counts = permits.takeCounts();
  REQUIRE(counts.size() == 1);
  CHECK(counts[0].given == 2);
  CHECK(counts[0].withheld == 3);
  CHECK(permits.takeCounts().empty());
}

}  // namespace fernmoor::gateway
