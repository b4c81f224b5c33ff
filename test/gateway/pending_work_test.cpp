/// @file
/// Tests of src/gateway/pending_work.h: what waits at an engine, and what is forgotten.
#include "gateway/pending_work.h"

#include <doctest/doctest.h>

namespace fernmoor::gateway {

namespace {

constexpr Time kStart{std::chrono::seconds(100)};
constexpr uint64_t kBound = 12000;

}  // namespace

TEST_CASE("requests are counted at an engine until its bound waits there") {
  PendingWork work;
  const LoadAnswer first = work.reserve(7, PendingRequest{1, 1, 9000}, kBound, kStart);
  CHECK(first.isGranted);
  CHECK(first.pendingTokens == 0);
  CHECK(work.reserve(7, PendingRequest{2, 1, 9000}, kBound, kStart).isGranted);
  const LoadAnswer third = work.reserve(7, PendingRequest{3, 1, 9000}, kBound, kStart);
  CHECK_FALSE(third.isGranted);
  CHECK(third.pendingTokens == 18000);
  CHECK(work.reserve(8, PendingRequest{3, 2, 9000}, kBound, kStart).isGranted);
}

TEST_CASE("a release takes off the very request of that owner") {
  PendingWork work;
  work.reserve(7, PendingRequest{1, 5, 9000}, kBound, kStart);
  work.reserve(7, PendingRequest{2, 5, 4000}, kBound, kStart);
  work.release(7, 1, 5);
  work.release(7, 1, 5);
  work.release(9, 2, 5);
  CHECK(work.reserve(7, PendingRequest{3, 1, 1}, kBound, kStart).pendingTokens == 4000);
}

TEST_CASE(
    "a request whose end is never told is forgotten, and an engine without any takes no room") {
  PendingWork work;
  work.reserve(7, PendingRequest{1, 1, 20000}, kBound, kStart);
  CHECK_FALSE(work.reserve(7, PendingRequest{1, 2, 1}, kBound, kStart).isGranted);
  const Time later = kStart + std::chrono::seconds(4);
  CHECK(work.reserve(7, PendingRequest{1, 3, 1}, kBound, later).pendingTokens == 0);
  work.release(7, 1, 3);
  CHECK(work.size() == 0);
}

}  // namespace fernmoor::gateway
