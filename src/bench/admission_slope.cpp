/// @file
/// Cost of admission, by rows that have limits and by requests that wait.
#include <memory>
#include <string>

#include "admission/admission_controller.h"
#include "bench/resource_usage.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"

namespace fernmoor::bench {

namespace {

const PoolId kPool("model");

AdmissionRequest requestOf(size_t row, Time now) {
  AdmissionRequest request;
  request.limits.row = RowKey{ServiceId("service"), TenantId("tenant-" + std::to_string(row))};
  request.limits.ratePerSecond = 1000;
  request.limits.burst = 1000;
  request.limits.concurrency = 100;
  request.pool = kPool;
  request.deadline = now + Duration(30000000);
  return request;
}

std::unique_ptr<AdmissionController> makeController() {
  return std::make_unique<AdmissionController>(Knobs(), std::make_unique<LocalRowLimiter>(), 1);
}

struct RowsCost {
  double microseconds = 0;
  double bytes = 0;
};

RowsCost measureRows(size_t rows) {
  std::vector<AdmissionRequest> requests;
  for (size_t row = 0; row < rows; ++row) {
    requests.push_back(requestOf(row, Time(Duration(0))));
  }
  const int64_t before = heapBytes();
  const auto controller = makeController();
  int64_t microseconds = 1;
  size_t next = 0;
  const auto admitOne = [&] {
    const AdmissionRequest& request = requests[next++ * 7919 % rows];
    const Time now{Duration(microseconds++)};
    const auto outcome = controller->admit(request, now);
    if (isOk(outcome)) {
      controller->release(request, now);
    }
  };
  for (size_t row = 0; row < rows; ++row) {
    admitOne();
  }
  RowsCost cost;
  cost.bytes = static_cast<double>(heapBytes() - before);
  cost.microseconds = secondsPerCall(admitOne) * 1e6;
  return cost;
}

/// A full pool: requests of many tenants wait, and each grant is followed by a new request.
double secondsPerQueuedRequest(size_t waiting) {
  const auto controller = makeController();
  int64_t microseconds = 1;
  size_t next = 0;
  const auto admitOne = [&] {
    const Time now{Duration(microseconds++)};
    controller->admit(requestOf(next++, now), now);
  };
  controller->setCapacity(kPool, 0, Time(Duration(0)));
  for (size_t count = 0; count < waiting; ++count) {
    admitOne();
  }
  return secondsPerCall([&] {
    admitOne();
    const Time now{Duration(microseconds)};
    controller->setCapacity(kPool, 1, now);
    controller->takeDecisions(now);
  });
}

}  // namespace

std::vector<Slope> measureAdmission() {
  Slope time{"admission-time",
             "processor time of admitting and releasing one request with limits",
             "rows in use on the node",
             "us",
             "AdmissionController (src/admission/)",
             {},
             target::kTenants};
  Slope memory = time;
  memory.name = "admission-memory";
  memory.what = "heap of the limits of rows in use";
  memory.costUnit = "bytes";
  for (const size_t rows : {1000U, 5000U, 10000U, 35000U}) {
    const RowsCost cost = measureRows(rows);
    time.points.push_back(Point{static_cast<double>(rows), cost.microseconds});
    memory.points.push_back(Point{static_cast<double>(rows), cost.bytes});
  }
  Slope queue{"queue-time",
              "processor time of queueing and granting one request in a full pool",
              "requests that wait, each of another tenant",
              "us",
              "AdmissionQueue (src/admission/admission_queue.cpp)",
              {},
              2000};
  for (const size_t waiting : {10U, 100U, 500U, 1000U, 1900U}) {
    queue.points.push_back(
        Point{static_cast<double>(waiting), secondsPerQueuedRequest(waiting) * 1e6});
  }
  return {time, memory, queue};
}

}  // namespace fernmoor::bench
