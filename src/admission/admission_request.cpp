#include "admission/admission_request.h"

namespace fernmoor {

namespace {

/// All application engines form one pool, because any of them can run any operation.
constexpr const char* kApplicationPool = "application";

}  // namespace

const char* toString(LimitUnit unit) {
  return unit == LimitUnit::kTokens ? "tokens" : "requests";
}

AdmissionRequest admissionRequestOf(const Row& row, Time now) {
  AdmissionRequest request;
  request.limits = RowLimits{row.key,   LimitUnit::kRequests, row.ratePerSecond,
                             row.burst, row.concurrency,      row.rowVersion};
  request.pool = PoolId(row.backEnd == BackEndKind::kModel ? row.model.value() : kApplicationPool);
  request.priority = row.priority;
  request.weight = row.weight;
  request.deadlineClass = row.deadlineClass;
  request.maxWait = row.maxWait;
  request.deadline = now + row.deadline;
  return request;
}

}  // namespace fernmoor
