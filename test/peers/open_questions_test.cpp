/// @file
/// Tests of src/peers/open_questions.h.
#include "peers/open_questions.h"

#include <doctest/doctest.h>

#include <limits>

namespace fernmoor::peers {

namespace {

constexpr NodeId kOther(2);
constexpr Time kStart{std::chrono::seconds(100)};
constexpr Duration kMoment{std::chrono::milliseconds(350)};
constexpr size_t kQueued = 500000;  ///< Bytes that a queue is assumed to drain in a second.

}  // namespace

TEST_CASE("a short question expires after 300 ms, and its late answer is ignored") {
  OpenQuestions questions(0);
  const uint32_t id = questions.ask(kOther, kStart);
  CHECK(questions.expire(kStart + kMoment) == 1);
  CHECK_FALSE(questions.takeAnswered(id, kOther));
  const uint32_t next = questions.ask(kOther, kStart);
  CHECK_FALSE(questions.takeAnswered(next, NodeId(3)));
  const std::optional<OpenQuestion> answered = questions.takeAnswered(next, kOther);
  REQUIRE(answered);
  CHECK(answered->askedAt == kStart);
  CHECK_FALSE(questions.takeAnswered(next, kOther));
}

TEST_CASE("ids wrap around and skip 0, which stands for no question") {
  OpenQuestions questions(std::numeric_limits<uint32_t>::max());
  CHECK(questions.ask(kOther, kStart) == 1);
}

TEST_CASE("a pull expires like a short question unless its answer is reported as queued") {
  OpenQuestions questions(0);
  questions.pull(kOther, kStart);
  CHECK(questions.expire(kStart + kMoment) == 1);
  CHECK_FALSE(questions.isPulling());

  const uint32_t id = questions.pull(kOther, kStart);
  questions.noteQueued(id, NodeId(3), kQueued, kStart);  // Ignored, as another node was asked.
  questions.noteQueued(id, kOther, kQueued, kStart);
  CHECK(questions.expire(kStart + std::chrono::milliseconds(1200)) == 0);
  CHECK(questions.expire(kStart + std::chrono::milliseconds(1400)) == 1);

  SUBCASE("its extension doubles after each one that was too short") {
    questions.noteQueued(questions.pull(kOther, kStart), kOther, kQueued, kStart);
    CHECK(questions.expire(kStart + std::chrono::milliseconds(2500)) == 0);
    CHECK(questions.expire(kStart + std::chrono::milliseconds(2700)) == 1);
  }
  SUBCASE("until a pull completes") {
    questions.pull(kOther, kStart);
    questions.completePull();
    CHECK_FALSE(questions.isPulling());
    CHECK(questions.size() == 0);
    questions.noteQueued(questions.pull(kOther, kStart), kOther, kQueued, kStart);
    CHECK(questions.expire(kStart + std::chrono::milliseconds(1400)) == 1);
  }
  SUBCASE(
      "the first extension is shorter than the age bound of the table, as the asked node may "
      "stop") {
    questions.completePull();
    questions.noteQueued(questions.pull(kOther, kStart), kOther, 100 * kQueued, kStart);
    CHECK(questions.expire(kStart + std::chrono::milliseconds(1600)) == 1);
  }
}

}  // namespace fernmoor::peers
