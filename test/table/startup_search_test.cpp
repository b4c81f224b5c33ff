/// @file
/// Tests of src/table/startup_search.h.
#include "table/startup_search.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

constexpr size_t kPeers = 20;

Time after(Duration duration) {
  return Time(std::chrono::hours(1)) + duration;
}

}  // namespace

TEST_CASE("a started node serves once enough peers answered and it has their highest version") {
  const Knobs knobs;
  StartupSearch search(knobs);
  search.begin(after(Duration(0)));
  CHECK_FALSE(search.mayServe(after(Duration(1)), kPeers, TableVersion(5)));
  for (uint32_t peer = 1; peer <= 8; ++peer) {
    search.onReply(NodeId(peer), TableVersion(peer));
  }
  CHECK_FALSE(search.mayServe(after(Duration(2)), kPeers, TableVersion(7)));
  CHECK(search.mayServe(after(Duration(2)), kPeers, TableVersion(8)));
  CHECK_FALSE(search.mayServe(after(4 * knobs.tableStartupWait), kPeers, TableVersion()));
}

TEST_CASE("a started node doesn't wait for ever for silent peers or for a version that was lost") {
  const Knobs knobs;
  StartupSearch search(knobs);
  search.begin(after(Duration(0)));
  CHECK_FALSE(search.needsPlatform(after(Duration(1)), kPeers));
  CHECK(search.needsPlatform(after(knobs.tableStartupWait), kPeers));
  CHECK(search.mayServe(after(knobs.tableStartupWait), kPeers, TableVersion(3)));
  search.onReply(NodeId(1), TableVersion(9));
  CHECK_FALSE(search.mayServe(after(knobs.tableStartupWait), kPeers, TableVersion(3)));
  CHECK(search.mayServe(after(3 * knobs.tableStartupWait), kPeers, TableVersion(3)));
}

}  // namespace fernmoor
