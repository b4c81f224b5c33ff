/// @file
/// Tenants' limits over all nodes, and the cost of a request against its tenant's limit.
#pragma once

#include "common/error.h"
#include "gateway/incoming_request.h"

namespace fernmoor::gateway {

/// @return the cost of the request in the unit of its tenant's limit: one request; or its tokens
///         (prompt and longest answer), or the tenant's fixed cost if it states no tokens.
double limitCostOf(const IncomingRequest& request);

/// Limits of tenants over all nodes. Implementations are thread-safe.
class TenantLimits {
 public:
  virtual ~TenantLimits() = default;
  /// Charges a request of that cost. May block for some milliseconds for another node's answer.
  /// @return kRateLimited with the time to wait if the tenant is over its limit.
  virtual Result<Done> acquire(const Tenant& tenant, double cost) = 0;
  /// Refunds the cost of a request that no back end ran.
  virtual void giveBack(const Tenant& tenant, double cost) = 0;
};

}  // namespace fernmoor::gateway
