/// @file
/// The operators' rows as read by the request path: an immutable snapshot of one version. A row
/// states for the requests of one host and path prefix which pools of back ends serve them, their
/// timeout, and whether they may be retried. The table also has the tenants and their keys.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission_request.h"
#include "common/ids.h"
#include "common/socket_address.h"
#include "common/time.h"
#include "gateway/engine_loads.h"

namespace fernmoor::gateway {

/// Whether a request that may have run already may be sent again.
enum class Repetition {
  kRepeatable,  ///< May run more than once.
  kOnce,        ///< May run at most once.
};

/// A pool and its share of a row's traffic.
struct WeightedPool {
  std::string pool;
  double weight = 1;
};

/// How to route the requests of one host and path prefix.
struct Row {
  std::string name;
  std::string host;        ///< In lower case, without a port.
  std::string pathPrefix;  ///< Begins and ends with a slash.
  std::vector<WeightedPool> pools;
  Repetition repetition = Repetition::kOnce;
  bool isStream = false;      ///< Answers are event streams.
  bool isResumable = false;   ///< A stream may resume on another back end after its last event.
  bool isPublic = false;      ///< Needs no key.
  bool usesPrefixes = false;  ///< Engines that have cached a prefix of the prompt are preferred.
  Duration timeout{30000000};
  Duration target{1000000};
  Duration longestPause{0};  ///< Between two events of an answer that is in time; 0: any.
  int maxAttempts = 1;       ///< Maximum number of back ends that may run one request.
  int priority = 0;          ///< 0 is the highest.
};

/// A row is shared by all versions of the table in which it is unchanged.
using RowPtr = std::shared_ptr<const Row>;

/// A customer with its own limits and priority.
struct Tenant {
  std::string name;
  bool isIsolated = false;  ///< Shares no cached prompts with other tenants.
  int priority = 0;
  RowLimits limits{};            ///< Over all nodes and services.
  double costWithoutTokens = 1;  ///< Cost of a request without token counts under a token limit.
};

/// Properties of a pool other than its members.
struct Pool {
  std::string name;
  int maxConnections = 0;  ///< Limit per member for all callers together; 0: unknown.
  bool servesModels = false;
  double tokenBytes = 0;  ///< Cache memory of one token in bytes; 0: unknown.
  EngineRoom room;        ///< Capacity of each engine; zeros: unknown.
};

/// A store of cached prompts outside the engines.
struct CacheStore {
  SocketAddress address;
};

/// Limits on callers' requests.
struct CallerLimits {
  size_t maxHeaderBytes = 16384;
  size_t maxBodyBytes = 4U << 20U;
  Duration headerTimeout{3000000};
  Duration idleTimeout{15000000};
};

/// Name of the cached prompts that all tenants share if none is isolated.
inline constexpr const char* kSharedCacheName = "shared";

/// One version of all rows. Immutable once published.
class TrafficTable {
 public:
  uint64_t version = 0;
  CallerLimits limits;
  std::vector<CacheStore> cacheStores;
  bool hasTenants = false;

  void addRow(Row row);
  /// @param row its host must be in the form that normalizedHost() returns.
  void addRow(RowPtr row);
  void addPool(Pool pool);
  /// @param keys the API keys of the tenant.
  void addTenant(const Tenant& tenant, const std::vector<std::string>& keys);
  /// Call once after the last row and tenant. Of rows with the same host and prefix, the first one
  /// is used.
  void finish();

  /// @param host as sent by the caller; a port is ignored.
  /// @param path without the query.
  /// @return the row with the longest matching path prefix, or null.
  const Row* findRow(const std::string& host, const std::string& path) const;
  /// @return the tenant with that API key, or null.
  const Tenant* findTenant(const std::string& key) const;
  /// @return whether the tenant of that name shares no cached prompts with others.
  bool isIsolated(const std::string& tenant) const { return isolated_.count(tenant) > 0; }
  /// @return the name under which all tenants that are not isolated share cached prompts. It is a
  ///         function of the set of isolated tenants alone: under one set none of them has ever
  ///         cached anything by that name, whatever tables came before, and all nodes agree on it.
  const std::string& sharedCacheName() const { return sharedCacheName_; }
  /// @return the pool with that name, or null.
  const Pool* findPool(const std::string& name) const;
  size_t rowCount() const { return rowCount_; }

 private:
  std::unordered_map<std::string, std::vector<RowPtr>> rowsByHost_;
  std::unordered_map<std::string, Tenant> tenantsByKey_;
  std::unordered_map<std::string, Pool> pools_;
  std::set<std::string> isolated_;  ///< Names of tenants.
  std::string sharedCacheName_ = kSharedCacheName;
  size_t rowCount_ = 0;
};

using TrafficTablePtr = std::shared_ptr<const TrafficTable>;

/// @return the host in lower case without its port.
std::string normalizedHost(const std::string& host);

}  // namespace fernmoor::gateway
