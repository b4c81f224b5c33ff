#include "node/key_ring.h"

#include <algorithm>

#include "wire/message_tag.h"

namespace fernmoor {

namespace {

/// Keeps key digests apart from all other uses of the tag.
constexpr const char* kPurpose = "bearer key";

std::string digestOf(const std::string& key) {
  return messageTag(kPurpose, key);
}

}  // namespace

KeyRing::KeyRing(const Settings& settings) {
  for (const TenantKey& entry : settings.tenantKeys) {
    tenants_[digestOf(entry.key)] = entry.tenant;
  }
  for (const std::string& key : settings.operatorKeys) {
    operators_.push_back(digestOf(key));
  }
}

std::optional<TenantId> KeyRing::tenantOf(const std::string& key) const {
  const auto found = tenants_.find(digestOf(key));
  if (key.empty() || found == tenants_.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool KeyRing::isOperator(const std::string& key) const {
  const std::string digest = digestOf(key);
  return !key.empty() &&
         std::find(operators_.begin(), operators_.end(), digest) != operators_.end();
}

}  // namespace fernmoor
