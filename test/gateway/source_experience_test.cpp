/// @file
/// Tests of src/gateway/source_experience.h.
#include "gateway/source_experience.h"

#include <doctest/doctest.h>

namespace fernmoor::gateway {

namespace {

constexpr uint64_t kPrompt = 9000;
constexpr std::chrono::milliseconds kFromEngine(200);

void note(SourceExperience& experience, PartSource source, Duration took, Time now) {
  for (int request = 0; request < 4; ++request) {
    experience.note(source, kPrompt, took, now);
  }
}

}  // namespace

TEST_CASE("the store counts as slow") {
  SourceExperience experience;
  Time now{std::chrono::seconds(1000)};
  note(experience, PartSource::kEngine, kFromEngine, now);

  SUBCASE("not after a single slow fetch") {
    CHECK_FALSE(experience.isStoreSlow(now));
    experience.note(PartSource::kStore, kPrompt, std::chrono::seconds(2), now);
    CHECK_FALSE(experience.isStoreSlow(now));
  }
  SUBCASE("not at the latency of an idle link") {
    note(experience, PartSource::kStore, std::chrono::milliseconds(235), now);
    CHECK_FALSE(experience.isStoreSlow(now));
  }
  SUBCASE("while fetches from it are slow") {
    note(experience, PartSource::kStore, std::chrono::milliseconds(700), now);
    CHECK(experience.isStoreSlow(now));
    SUBCASE("not 20 s after the last slow fetch, so that it is retried") {
      CHECK_FALSE(experience.isStoreSlow(now + std::chrono::seconds(20)));
    }
    SUBCASE("not after slow fetches from an uncertain source") {
      SourceExperience other;
      note(other, PartSource::kEngine, kFromEngine, now);
      note(other, PartSource::kUncertain, std::chrono::milliseconds(700), now);
      CHECK_FALSE(other.isStoreSlow(now));
    }
  }
}

}  // namespace fernmoor::gateway
