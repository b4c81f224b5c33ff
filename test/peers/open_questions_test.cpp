/// @file
/// Tests of src/peers/open_questions.h.
#include "peers/open_questions.h"

#include <doctest/doctest.h>

namespace fernmoor::peers {

namespace {

constexpr NodeId kOther(2);
constexpr Time kStart{std::chrono::seconds(100)};
constexpr Duration kMoment{std::chrono::milliseconds(350)};
constexpr size_t kMegabyte = 1000000;

}  // namespace

TEST_CASE("a short question is given up after a moment, and its late answer is not taken for one") {
  OpenQuestions questions;
  const uint32_t id = questions.ask(kOther, kStart);
  CHECK(questions.giveUp(kStart + kMoment) == 1);
  CHECK_FALSE(questions.takeAnswered(id));
  const uint32_t next = questions.ask(kOther, kStart);
  const std::optional<OpenQuestion> answered = questions.takeAnswered(next);
  REQUIRE(answered);
  CHECK(answered->askedAt == kStart);
  CHECK_FALSE(questions.takeAnswered(next));
}

TEST_CASE("a pull has the time that its bytes need on a narrow link") {
  OpenQuestions questions;
  questions.pull(kOther, kMegabyte, kStart);
  CHECK(questions.isPulling());
  CHECK(questions.giveUp(kStart + std::chrono::milliseconds(1500)) == 0);
  CHECK(questions.giveUp(kStart + std::chrono::milliseconds(2500)) == 1);
  CHECK_FALSE(questions.isPulling());

  SUBCASE("and twice as long after each time that was too short") {
    questions.pull(kOther, kMegabyte, kStart);
    CHECK(questions.giveUp(kStart + std::chrono::milliseconds(4500)) == 0);
    CHECK(questions.giveUp(kStart + std::chrono::milliseconds(4700)) == 1);
    CHECK(questions.failedPulls() == 2);
  }
  SUBCASE("until one was answered") {
    const uint32_t id = questions.pull(kOther, kMegabyte, kStart);
    REQUIRE(questions.takeAnswered(id));
    questions.notePulled(true);
    questions.pull(kOther, kMegabyte, kStart);
    CHECK(questions.giveUp(kStart + std::chrono::milliseconds(2500)) == 1);
  }
  SUBCASE("also where the answer put it off") {
    const uint32_t id = questions.pull(kOther, kMegabyte, kStart);
    REQUIRE(questions.takeAnswered(id));
    questions.notePulled(false);
    questions.pull(kOther, kMegabyte, kStart);
    CHECK(questions.giveUp(kStart + std::chrono::milliseconds(2500)) == 0);
  }
}

}  // namespace fernmoor::peers
