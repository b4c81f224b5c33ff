#include "gateway/traffic_table.h"

#include <Poco/String.h>

#include <algorithm>

#include "common/hex_text.h"
#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

/// @param isolated names of the isolated tenants.
std::string sharedCacheNameOf(const std::set<std::string>& isolated) {
  if (isolated.empty()) {
    return kSharedCacheName;
  }
  std::string text;
  for (const std::string& tenant : isolated) {
    text += std::to_string(tenant.size()) + ":" + tenant;  // The length keeps the names apart.
  }
  return std::string(kSharedCacheName) + "-" + hexText(stableHash(text));
}

}  // namespace

std::string normalizedHost(const std::string& host) {
  return Poco::toLower(host.substr(0, host.find(':')));
}

void TrafficTable::addRow(Row row) {
  row.host = normalizedHost(row.host);
  addRow(std::make_shared<const Row>(std::move(row)));
}

void TrafficTable::addRow(RowPtr row) {
  ++rowCount_;
  rowsByHost_[row->host].push_back(std::move(row));
}

void TrafficTable::addPool(Pool pool) {
  pools_[pool.name] = std::move(pool);
}

void TrafficTable::addTenant(const Tenant& tenant, const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    tenantsByKey_[key] = tenant;
  }
  if (tenant.isIsolated) {
    isolated_.insert(tenant.name);
  }
}

void TrafficTable::finish() {
  sharedCacheName_ = sharedCacheNameOf(isolated_);
  for (auto& entry : rowsByHost_) {
    std::stable_sort(
        entry.second.begin(), entry.second.end(),
        [](const RowPtr& a, const RowPtr& b) { return a->pathPrefix < b->pathPrefix; });
  }
}

const Row* TrafficTable::findRow(const std::string& host, const std::string& path) const {
  const auto found = rowsByHost_.find(normalizedHost(host));
  if (found == rowsByHost_.end()) {
    return nullptr;
  }
  const std::vector<RowPtr>& rows = found->second;
  // Prefixes end with a slash, so only prefixes of the path that end with a slash can match.
  for (size_t end = path.rfind('/'); end != std::string::npos;
       end = end == 0 ? std::string::npos : path.rfind('/', end - 1)) {
    const std::string prefix = path.substr(0, end + 1);
    const auto row = std::lower_bound(
        rows.begin(), rows.end(), prefix,
        [](const RowPtr& each, const std::string& value) { return each->pathPrefix < value; });
    if (row != rows.end() && (*row)->pathPrefix == prefix) {
      return row->get();
    }
  }
  return nullptr;
}

const Tenant* TrafficTable::findTenant(const std::string& key) const {
  const auto found = tenantsByKey_.find(key);
  return found == tenantsByKey_.end() ? nullptr : &found->second;
}

const Pool* TrafficTable::findPool(const std::string& name) const {
  const auto found = pools_.find(name);
  return found == pools_.end() ? nullptr : &found->second;
}

}  // namespace fernmoor::gateway
