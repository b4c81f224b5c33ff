/// @file
/// Tests of src/admission/admission_queue.h.
#include "admission/admission_queue.h"

#include <doctest/doctest.h>

#include <map>

namespace fernmoor {

namespace {

constexpr Time kStart{Duration(1000000)};

QueuedRequest queuedOf(uint64_t ticket, const std::string& tenant, DeadlineClass deadlineClass,
                       int64_t priority = 5, double weight = 1) {
  QueuedRequest queued;
  queued.ticket = TicketId(ticket);
  queued.request.limits.row = RowKey{ServiceId("s"), TenantId(tenant)};
  queued.request.deadlineClass = deadlineClass;
  queued.request.priority = priority;
  queued.request.weight = weight;
  queued.request.deadline = kStart + Duration(30000000);
  queued.enqueuedAt = kStart;
  queued.latestStart = latestStartOf(queued.request, kStart);
  return queued;
}

constexpr auto kInteractive = DeadlineClass::kInteractive;
constexpr auto kDeferred = DeadlineClass::kDeferred;

}  // namespace

TEST_CASE("interactive requests precede deferred ones, low priority numbers precede high ones") {
  AdmissionQueue queue{Knobs{}};
  queue.push(queuedOf(1, "a", kDeferred, 0));
  queue.push(queuedOf(2, "a", kInteractive, 7));
  queue.push(queuedOf(3, "a", kInteractive, 1));
  CHECK(queue.requestsAhead(queuedOf(9, "a", kDeferred, 5).request) == 3);
  CHECK(queue.pop(kStart)->ticket == TicketId(3));
  CHECK(queue.pop(kStart)->ticket == TicketId(2));
  CHECK(queue.pop(kStart)->ticket == TicketId(1));
  CHECK_FALSE(queue.pop(kStart).has_value());
}

TEST_CASE("tenants of equal priority share by weight, regardless of their number of requests") {
  AdmissionQueue queue{Knobs{}};
  uint64_t ticket = 0;
  for (int request = 0; request < 300; ++request) {
    queue.push(queuedOf(++ticket, "large", kInteractive, 5, 1));
  }
  for (int request = 0; request < 100; ++request) {
    queue.push(queuedOf(++ticket, "weighty", kInteractive, 5, 3));
    queue.push(queuedOf(++ticket, "small", kInteractive, 5, 1));
  }
  std::map<std::string, int> served;
  for (int grant = 0; grant < 100; ++grant) {
    ++served[queue.pop(kStart)->request.limits.row.tenant.value()];
  }
  CHECK(served["weighty"] == doctest::Approx(60).epsilon(0.05));
  CHECK(served["large"] == doctest::Approx(20).epsilon(0.1));
  CHECK(served["small"] == doctest::Approx(20).epsilon(0.1));
}

TEST_CASE("a tenant gains no credit while it has no requests") {
  AdmissionQueue queue{Knobs{}};
  uint64_t ticket = 0;
  for (int request = 0; request < 200; ++request) {
    queue.push(queuedOf(++ticket, "steady", kInteractive));
  }
  for (int grant = 0; grant < 100; ++grant) {
    queue.pop(kStart);
  }
  for (int request = 0; request < 100; ++request) {
    queue.push(queuedOf(++ticket, "returning", kInteractive));
  }
  int returning = 0;
  for (int grant = 0; grant < 50; ++grant) {
    returning += queue.pop(kStart)->request.limits.row.tenant == TenantId("returning") ? 1 : 0;
  }
  CHECK(returning == doctest::Approx(25).epsilon(0.1));
}

TEST_CASE("deferred requests that waited for half their allowed time get every fourth grant") {
  AdmissionQueue queue{Knobs{}};
  for (uint64_t ticket = 1; ticket <= 40; ++ticket) {
    queue.push(queuedOf(ticket, "a", kInteractive, 0));
    queue.push(queuedOf(100 + ticket, "b", kDeferred, 9));
  }
  int deferred = 0;
  for (int grant = 0; grant < 20; ++grant) {
    deferred += queue.pop(kStart + Duration(1000))->request.deadlineClass == kDeferred ? 1 : 0;
  }
  CHECK(deferred == 0);
  for (int grant = 0; grant < 20; ++grant) {
    deferred += queue.pop(kStart + Duration(6000000))->request.deadlineClass == kDeferred ? 1 : 0;
  }
  CHECK(deferred == 5);
}

TEST_CASE("a full queue rejects the newest request of the lowest band, never a more urgent one") {
  Knobs knobs;
  knobs.admissionQueueLimit = 2;
  AdmissionQueue queue(knobs);
  CHECK_FALSE(queue.push(queuedOf(1, "a", kDeferred)).has_value());
  CHECK_FALSE(queue.push(queuedOf(2, "a", kDeferred)).has_value());
  CHECK(queue.push(queuedOf(3, "a", kInteractive))->ticket == TicketId(2));
  CHECK(queue.push(queuedOf(4, "a", kDeferred))->ticket == TicketId(4));
  CHECK(queue.size() == 2);
}

TEST_CASE("requests that can no longer start in time are removed") {
  AdmissionQueue queue{Knobs{}};
  queue.push(queuedOf(1, "a", kInteractive));
  CHECK(queue.takeExpired(kStart + Duration(10000000)).empty());
  CHECK(queue.takeExpired(kStart + Duration(10000001)).size() == 1);
  CHECK(queue.size() == 0);
  queue.push(queuedOf(2, "a", kInteractive));
  CHECK(queue.remove(TicketId(2)).has_value());
  CHECK_FALSE(queue.remove(TicketId(2)).has_value());
}

}  // namespace fernmoor
