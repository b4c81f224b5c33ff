/// @file
/// Bearer keys of callers and operators.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "settings/settings.h"

namespace fernmoor {

/// Immutable after construction, so thread-safe. Keys are kept as hashes only and looked up by
/// hash, so that the time of a look-up tells nothing about a key.
class KeyRing {
 public:
  explicit KeyRing(const Settings& settings);
  /// @return the tenant that the key stands for.
  std::optional<TenantId> tenantOf(const std::string& key) const;
  bool isOperator(const std::string& key) const;

 private:
  std::unordered_map<std::string, TenantId> tenants_;
  std::vector<std::string> operators_;
};

}  // namespace fernmoor
