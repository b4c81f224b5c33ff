/// @file
/// The operators' rows as the request path reads them: an immutable snapshot of one version. A row
/// says for the requests of one host and path which pool of back ends serves them, how long they
/// may take and whether they may run again; tenants and their keys stand beside the rows.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission_request.h"
#include "common/ids.h"
#include "common/socket_address.h"
#include "common/time.h"
#include "gateway/engine_loads.h"

namespace fernmoor::gateway {

/// What a request of a row may be done with after it may have run.
enum class Repetition {
  kRepeatable,  ///< May run more than once.
  kOnce,        ///< May run at most once.
};

/// One part of a row's traffic.
struct WeightedPool {
  std::string pool;
  double weight = 1;
};

/// One row.
struct Row {
  std::string name;
  std::string host;        ///< In lower case, without a port.
  std::string pathPrefix;  ///< Begins and ends with a slash.
  std::vector<WeightedPool> pools;
  Repetition repetition = Repetition::kOnce;
  bool isStream = false;      ///< Answers are event streams.
  bool isResumable = false;   ///< A stream may go on elsewhere after its last event.
  bool isPublic = false;      ///< Needs no key.
  bool usesPrefixes = false;  ///< Engines that hold a prompt's beginning are preferred.
  Duration timeout{30000000};
  Duration target{1000000};
  int maxAttempts = 1;  ///< Most back ends that may run one request.
  int priority = 0;     ///< 0 is the highest.
};

/// Rows are shared by all versions of the table in which they are the same.
using RowPtr = std::shared_ptr<const Row>;

/// One tenant.
struct Tenant {
  std::string name;
  bool isIsolated = false;  ///< Shares no cached prompt with others.
  int priority = 0;
  RowLimits limits{};            ///< Over all nodes and services.
  double costWithoutTokens = 1;  ///< Of a request that tells no tokens, where these are limited.
};

/// What is known of a pool beside its members.
struct Pool {
  std::string name;
  int maxConnections = 0;  ///< Of all callers together to one member; 0: unknown.
  bool servesModels = false;
  double tokenBytes = 0;  ///< Cached memory of one token; 0: unknown.
  EngineRoom room;        ///< Of each engine; zeros: unknown.
};

/// A store of cached prompts beside the engines.
struct CacheStore {
  SocketAddress address;
};

/// Bounds on what callers send.
struct CallerLimits {
  size_t maxHeaderBytes = 16384;
  size_t maxBodyBytes = 4U << 20U;
  Duration headerTimeout{3000000};
  Duration idleTimeout{15000000};
};

/// One version of all rows. Immutable once published.
class TrafficTable {
 public:
  uint64_t version = 0;
  CallerLimits limits;
  std::vector<CacheStore> cacheStores;
  bool hasTenants = false;

  void addRow(Row row);
  /// @param row with its host as normalizedHost() gives it.
  void addRow(RowPtr row);
  void addPool(Pool pool);
  /// @param keys keys that speak for the tenant.
  void addTenant(const Tenant& tenant, const std::vector<std::string>& keys);
  /// Call once after the last row. Of rows with one host and prefix, the first holds.
  void sortRows();

  /// @param host as the caller gave it; a port is ignored.
  /// @param path without the query.
  /// @return the row with the longest prefix of the path, or null.
  const Row* findRow(const std::string& host, const std::string& path) const;
  /// @return the tenant of the key, or null.
  const Tenant* findTenant(const std::string& key) const;
  /// @return the pool, or null.
  const Pool* findPool(const std::string& name) const;
  size_t rowCount() const { return rowCount_; }

 private:
  std::unordered_map<std::string, std::vector<RowPtr>> rowsByHost_;
  std::unordered_map<std::string, Tenant> tenantsByKey_;
  std::unordered_map<std::string, Pool> pools_;
  size_t rowCount_ = 0;
};

using TrafficTablePtr = std::shared_ptr<const TrafficTable>;

/// @return the host in lower case without its port.
std::string normalizedHost(const std::string& host);

}  // namespace fernmoor::gateway
