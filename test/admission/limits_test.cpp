/// @file
/// Tests of token_bucket.h, retry_budget.h and row_limiter.h in src/admission/.
#include <doctest/doctest.h>

#include "admission/row_limiter.h"

namespace fernmoor {

namespace {
constexpr Time kStart{Duration(1000000)};
}  // namespace

TEST_CASE("a token bucket admits the burst, then the rate") {
  TokenBucket bucket(100, 5, kStart);
  int passed = 0;
  for (int millisecond = 0; millisecond <= 1000; ++millisecond) {
    passed += bucket.tryTake(kStart + Duration(millisecond * 1000)) ? 1 : 0;
  }
  CHECK(passed == 105);
  const Time later = kStart + Duration(1000000);
  CHECK(bucket.timeUntilToken(later).count() > 0);
  CHECK(bucket.timeUntilToken(later).count() <= 10001);  // Rounded up.
  bucket.configure(0, 5, later);
  CHECK((bucket.timeUntilToken(later) == Duration::max()));
}

TEST_CASE("requests over a row's rate or concurrency limit are rejected with a Retry-After") {
  LocalRowLimiter limiter;
  RowLimits limits;
  limits.row = RowKey{ServiceId("alerts"), TenantId("ward")};
  limits.concurrency = 2;
  CHECK(isOk(limiter.tryAcquire(limits, 1.0, kStart)));
  CHECK(isOk(limiter.tryAcquire(limits, 1.0, kStart)));
  const auto refused = limiter.tryAcquire(limits, 1.0, kStart);
  REQUIRE_FALSE(isOk(refused));
  CHECK((errorOf(refused).kind == ErrorKind::kRateLimited));
  CHECK((errorOf(refused).runState == RunState::kNotRun));
  limiter.release(limits.row, kStart);
  limits.ratePerSecond = 10;
  CHECK(isOk(limiter.tryAcquire(limits, 1.0, kStart)));
  limits.concurrency = 0;
  const auto tooFast = limiter.tryAcquire(limits, 1.0, kStart);
  REQUIRE_FALSE(isOk(tooFast));
  CHECK(errorOf(tooFast).retryAfter->count() == 100000);
  CHECK(limiter.inFlight(limits.row) == 2);
}

}  // namespace fernmoor
