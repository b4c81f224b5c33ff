/// @file
/// What a tenant may ask of all nodes together, and what one request counts of it.
#pragma once

#include "common/error.h"
#include "gateway/incoming_request.h"

namespace fernmoor::gateway {

/// @return what the request counts against its tenant's limit, in the limit's unit: one request, or
///         its tokens (prompt and longest answer), or the fixed number of a request without tokens.
double limitCostOf(const IncomingRequest& request);

/// Limits of tenants over all nodes. Implementations are thread-safe.
class TenantLimits {
 public:
  virtual ~TenantLimits() = default;
  /// Counts a request of that cost; may wait some milliseconds for another node.
  /// @return kRateLimited with the time until there is room again.
  virtual Result<Done> acquire(const Tenant& tenant, double cost) = 0;
  /// Takes back what a request counted that no back end ran.
  virtual void giveBack(const Tenant& tenant, double cost) = 0;
};

}  // namespace fernmoor::gateway
