/// @file
/// Tests of src/sim/membership_measurement.h: the cost and speed that docs/MEMBERSHIP.md promises.
/// FERNMOOR_MEMBERSHIP_SIZES=10,30,100 measures and prints other numbers of nodes.
#include "sim/membership_measurement.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <sstream>
#include <string>

namespace fernmoor::sim {
namespace {

constexpr uint32_t kZones = 7;
constexpr uint32_t kIdleSeconds = 60;
constexpr double kBytesPerSecond = 2000;
constexpr double kVersionSeconds = 3;

}  // namespace

TEST_CASE("membership keeps to its share of the control budget and is fast enough") {
  const char* const given = std::getenv("FERNMOOR_MEMBERSHIP_SIZES");
  std::istringstream sizes(given == nullptr ? "30" : given);
  std::string size;
  while (std::getline(sizes, size, ',')) {
    const auto nodes = static_cast<uint32_t>(std::stoul(size));
    const MembershipMeasurement measured = measureMembership(nodes, kZones, kIdleSeconds, 1);
    MESSAGE(toText(measured));
    CHECK(measured.joinSeconds >= 0);
    CHECK(measured.idleBytesPerSecond < kBytesPerSecond);
    CHECK(measured.falseSuspicions == 0);
    CHECK(measured.versionSeen.all >= 0);
    CHECK(measured.versionSeen.all < kVersionSeconds);
    CHECK(measured.versionConfirmed.all >= 0);
    CHECK(measured.drainSeen.all >= 0);
    CHECK(measured.dead.all >= 0);
  }
}

}  // namespace fernmoor::sim
