#include "gateway/tenant_limits.h"

namespace fernmoor::gateway {

double limitCostOf(const IncomingRequest& request) {
  if (!request.tenant || request.tenant->limits.unit == LimitUnit::kRequests) {
    return 1.0;
  }
  const uint64_t tokens = request.promptTokens + request.mostAnswerTokens;
  return tokens > 0 ? static_cast<double>(tokens) : request.tenant->costWithoutTokens;
}

}  // namespace fernmoor::gateway
