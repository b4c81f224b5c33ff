/// @file
/// Tests of src/bench/owner_load.h. They guard against a benchmark that measures an emptier owner
/// than it says.
#include "bench/owner_load.h"

#include <doctest/doctest.h>

namespace fernmoor::bench {

TEST_CASE("the benchmark's owner has the requests, parts and reservations that it states") {
  for (const bool areWaiting : {false, true}) {
    CAPTURE(areWaiting);
    OwnerLoadSizes sizes;
    sizes.tenants = 256;
    sizes.areTenantsWaiting = areWaiting;
    OwnerLoad load(sizes);
    for (int call = 0; call < 3000; ++call) {
      const gateway::LoadAnswer answer = load.serve();
      REQUIRE(answer.isGranted);
      CHECK(answer.presentRequests == 64);
      CHECK(answer.readingTokens == 628);  // Both shared parts are known.
    }
    CHECK(load.endReservations().expired == 64);
  }
}

TEST_CASE("the benchmark's largest tenant is refused as long as others wait") {
  for (const size_t tenants : {16U, 64U, 256U}) {
    CAPTURE(tenants);
    OwnerLoadSizes sizes;
    sizes.tenants = tenants;
    sizes.areTenantsWaiting = true;
    OwnerLoad load(sizes);
    for (int call = 0; call < 3000; ++call) {
      REQUIRE_FALSE(load.askForMore().isGranted);
    }
    CHECK(load.refusals().share == 3000);
  }
}

}  // namespace fernmoor::bench
