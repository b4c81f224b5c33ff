/// @file
/// Tests of src/gateway/stated_limits.h with statements at given times.
#include "gateway/stated_limits.h"

#include <doctest/doctest.h>

namespace fernmoor::gateway {

namespace {

constexpr uint64_t kEngine = 7;
constexpr Time kStart{std::chrono::hours(1)};

Time at(int milliseconds) {
  return kStart + std::chrono::milliseconds(milliseconds);
}

LimitStatement stated(std::optional<double> rate, int sentAt, int cameAt) {
  return LimitStatement{rate, at(sentAt), at(cameAt)};
}

}  // namespace

TEST_CASE("of answers that arrive out of order, the one to the later request applies") {
  StatedLimits limits;
  CHECK(limits.note(kEngine, stated(std::nullopt, 0, 10)) == LimitChange::kNone);
  CHECK(limits.note(kEngine, stated(1.4, 100, 120)) == LimitChange::kNamed);

  SUBCASE("an answer begun before the limit was known does not end it, however late it comes") {
    CHECK(limits.note(kEngine, stated(std::nullopt, 50, 4000)) == LimitChange::kNone);
    CHECK(limits.note(kEngine, stated(std::nullopt, 110, 130)) == LimitChange::kNone);
    CHECK(limits.rateOf(kEngine) == 1.4);
  }
  SUBCASE("an answer to a request sent after it was known ends it") {
    CHECK(limits.note(kEngine, stated(std::nullopt, 120, 150)) == LimitChange::kEnded);
    CHECK_FALSE(limits.rateOf(kEngine).has_value());
    SUBCASE("an older answer does not restore the limit") {
      CHECK(limits.note(kEngine, stated(1.4, 60, 119)) == LimitChange::kNone);
      CHECK(limits.count() == 0);
    }
    SUBCASE("a newer answer states the limit again") {
      CHECK(limits.note(kEngine, stated(1.4, 160, 170)) == LimitChange::kNamed);
    }
  }
  SUBCASE("the lower limit applies if the order of answers is unknown") {
    CHECK(limits.note(kEngine, stated(10.0, 90, 140)) == LimitChange::kNone);
    CHECK(limits.note(kEngine, stated(0.5, 90, 140)) == LimitChange::kChanged);
    CHECK(limits.rateOf(kEngine) == 0.5);
  }
  SUBCASE("the same limit again moves the instant from which another answer may end it") {
    CHECK(limits.note(kEngine, stated(1.4, 110, 500)) == LimitChange::kNone);
    CHECK(limits.note(kEngine, stated(std::nullopt, 130, 600)) == LimitChange::kNone);
    CHECK(limits.note(kEngine, stated(std::nullopt, 500, 520)) == LimitChange::kEnded);
  }
}

TEST_CASE("the known time of the next permit is discarded when the limit changes") {
  StatedLimits limits;
  CHECK_FALSE(limits.permitDue(kEngine, at(0)).has_value());
  limits.note(kEngine, stated(1.0, 0, 10));
  CHECK((limits.permitDue(kEngine, at(10)) == Duration(0)));
  limits.noteWait(kEngine, at(700));
  CHECK((limits.permitDue(kEngine, at(200)) == std::chrono::milliseconds(500)));
  limits.note(kEngine, stated(10.0, 210, 220));
  CHECK((limits.permitDue(kEngine, at(220)) == Duration(0)));
}

TEST_CASE("without an answer a node uses half of its share of the limit") {
  StatedLimits limits;
  CHECK(limits.takeUnasked(kEngine, 5, at(0)));
  limits.note(kEngine, stated(2.0, 0, 10));
  int passed = 0;
  for (int now = 10; now <= 20010; now += 10) {
    passed += limits.takeUnasked(kEngine, 5, at(now)) ? 1 : 0;
  }
  CHECK(passed == 4);
}

TEST_CASE("a back end with a limit of zero is permitted one request in four seconds") {
  CHECK(permittedRate(0) == 0.25);
  CHECK(permittedRate(1.4) == 1.4);
}

TEST_CASE("ended limits are forgotten after a while, others with their back end") {
  StatedLimits limits;
  const auto isListed = [](uint64_t) { return true; };
  const auto isNotListed = [](uint64_t) { return false; };
  limits.note(kEngine, stated(1.0, 0, 10));
  limits.forgetOld(isListed, at(100000));
  CHECK(limits.count() == 1);
  SUBCASE("a limit whose back end is no longer listed") {
    limits.forgetOld(isNotListed, at(20000));
    CHECK(limits.count() == 1);
    limits.forgetOld(isNotListed, at(40000));
    CHECK(limits.engines().empty());
  }
  SUBCASE("a limit that ended") {
    limits.note(kEngine, stated(std::nullopt, 100, 110));
    limits.forgetOld(isListed, at(9000));
    CHECK(limits.engines().size() == 1);
    limits.forgetOld(isListed, at(20000));
    CHECK(limits.engines().empty());
  }
}

}  // namespace fernmoor::gateway
