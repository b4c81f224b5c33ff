#include "backends/software_history.h"

#include "backends/backend_set.h"

namespace fernmoor {

namespace {

/// Longer than any stream lasts over its caller's tries (10 min).
constexpr Duration kGoneRetention{600000000};

}  // namespace

void SoftwareHistory::noteWhole(Time now) {
  if (!wholeSince_) {
    wholeSince_ = now;
  }
}

Time SoftwareHistory::add(const BackendListing& listing, Time now) {
  Use& use = pools_[listing.pool][listing.software];
  if (use.listed == 0) {
    use.since = now;
  }
  ++use.listed;
  use.goneAt.reset();
  return use.since;
}

void SoftwareHistory::remove(const BackendListing& listing) {
  --pools_[listing.pool][listing.software].listed;
}

void SoftwareHistory::age(Time now) {
  for (auto pool = pools_.begin(); pool != pools_.end();) {
    std::map<Software, Use>& uses = pool->second;
    for (auto each = uses.begin(); each != uses.end();) {
      Use& use = each->second;
      if (use.listed == 0 && !use.goneAt) {
        use.goneAt = now;
      }
      const bool isLongGone = use.goneAt && now - *use.goneAt > kGoneRetention;
      each = isLongGone ? uses.erase(each) : std::next(each);
    }
    pool = uses.empty() ? pools_.erase(pool) : std::next(pool);
  }
}

std::optional<std::string> SoftwareHistory::sole(const std::string& pool, Time since) const {
  const auto found = pools_.find(pool);
  if (!wholeSince_ || *wholeSince_ > since || found == pools_.end()) {
    return std::nullopt;
  }
  const Software* only = nullptr;
  for (const auto& [software, use] : found->second) {
    if (use.goneAt && *use.goneAt < since) {
      continue;
    }
    if (only != nullptr) {
      return std::nullopt;
    }
    only = &software;
  }
  return only == nullptr ? std::nullopt : *only;
}

}  // namespace fernmoor
