/// @file
/// Tests of src/admission/admission_controller.h.
#include "admission/admission_controller.h"

#include <doctest/doctest.h>

#include <set>

namespace fernmoor {

namespace {

constexpr Time kStart{Duration(1000000)};
const PoolId kPool("m");

AdmissionRequest requestOf(const std::string& tenant, Time now) {
  AdmissionRequest request;
  request.limits.row = RowKey{ServiceId("s"), TenantId(tenant)};
  request.pool = kPool;
  request.maxWait = Duration(2000000);
  request.deadline = now + Duration(10000000);
  return request;
}

struct Fixture {
  AdmissionController controller{Knobs{}, std::make_unique<LocalRowLimiter>(), 1};

  bool isAdmitted(const Result<AdmissionOutcome>& outcome) {
    return isOk(outcome) && std::holds_alternative<Admitted>(valueOf(outcome));
  }
  TicketId ticketOf(const Result<AdmissionOutcome>& outcome) {
    return std::get<Queued>(valueOf(outcome)).ticket;
  }
};

}  // namespace

TEST_CASE_FIXTURE(Fixture, "requests start while slots are free, then wait for one") {
  CHECK(isAdmitted(controller.admit(requestOf("a", kStart), kStart)));  // Not limited yet.
  controller.setCapacity(kPool, 1, kStart);
  const AdmissionRequest first = requestOf("a", kStart);
  CHECK(isAdmitted(controller.admit(first, kStart)));
  const TicketId second = ticketOf(controller.admit(requestOf("b", kStart), kStart));
  CHECK(controller.takeDecisions(kStart).empty());
  controller.release(first, kStart + Duration(500));
  const auto decisions = controller.takeDecisions(kStart + Duration(500));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].ticket == second);
  CHECK(isOk(decisions[0].result));
  CHECK(decisions[0].waited.count() == 500);
}

TEST_CASE_FIXTURE(Fixture, "a queued request that expires is rejected as not run") {
  controller.setCapacity(kPool, 0, kStart);
  const TicketId ticket = ticketOf(controller.admit(requestOf("a", kStart), kStart));
  CHECK(controller.takeDecisions(kStart + Duration(2000000)).empty());
  const auto decisions = controller.takeDecisions(kStart + Duration(2000001));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].ticket == ticket);
  const Error error = errorOf(decisions[0].result);
  CHECK((error.kind == ErrorKind::kOverloaded));
  CHECK((error.runState == RunState::kNotRun));
  CHECK(error.retryAfter.has_value());
}

TEST_CASE_FIXTURE(Fixture, "a request that cannot start in time is rejected immediately") {
  controller.setCapacity(kPool, 1000, kStart);
  Time now = kStart;
  for (int request = 0; request < 100; ++request) {  // 10 starts per second.
    now += Duration(100000);
    controller.admit(requestOf("a", now), now);
  }
  controller.setCapacity(kPool, 0, now);
  std::set<Duration> retryAfters;
  int queued = 0;
  for (int request = 0; request < 100; ++request) {
    const auto outcome = controller.admit(requestOf("a", now), now);
    if (isOk(outcome)) {
      ++queued;
    } else {
      CHECK((errorOf(outcome).runState == RunState::kNotRun));
      retryAfters.insert(*errorOf(outcome).retryAfter);
    }
  }
  CHECK(queued >= 18);  // About two seconds of starts.
  CHECK(queued <= 23);
  CHECK(retryAfters.size() > 70);  // Jitter keeps callers from retrying together.
  CHECK(controller.counters().refusedByEstimate == static_cast<uint64_t>(100 - queued));
}

TEST_CASE_FIXTURE(Fixture, "a rejected, expired or cancelled request frees its row's concurrency") {
  controller.setCapacity(kPool, 0, kStart);
  AdmissionRequest request = requestOf("a", kStart);
  request.limits.concurrency = 1;
  const TicketId ticket = ticketOf(controller.admit(request, kStart));
  CHECK_FALSE(isOk(controller.admit(request, kStart)));
  controller.cancel(ticket, kStart);
  CHECK(isOk(controller.admit(request, kStart)));
  controller.takeDecisions(kStart + Duration(3000000));
  request.deadline = kStart + Duration(9000000);
  CHECK(isOk(controller.admit(request, kStart + Duration(3000000))));
}

}  // namespace fernmoor
