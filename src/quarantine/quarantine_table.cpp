#include "quarantine/quarantine_table.h"

#include <algorithm>

namespace fernmoor::quarantine {

namespace {

/// How long a quarantined request is rejected. After each expiry it can crash three more engines.
/// With a longer time, a request that was quarantined wrongly or whose fault has been fixed is
/// rejected for longer, although an operator can lift the quarantine.
constexpr Duration kQuarantineTime{std::chrono::minutes(30)};
/// About 80 bytes each. Each entry takes three crashes, so to fill the table an engine would have
/// to crash every 1.7 s for the whole quarantine time.
constexpr size_t kMaxQuarantined = 1024;

}  // namespace

bool QuarantineTable::add(const Quarantined& request, Time now) {
  if (now - request.since >= kQuarantineTime) {
    return false;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [entry, isNew] = entries_.try_emplace(request.fingerprint, Entry{request.since});
  if (!isNew && now - entry->second.since >= kQuarantineTime) {
    entry->second =
        Entry{request.since};  // Quarantined again after the previous quarantine had expired.
    return true;
  }
  entry->second.since = std::min(entry->second.since, request.since);
  added_.notify_one();
  if (entries_.size() > kMaxQuarantined) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& a, const auto& b) { return a.second.since < b.second.since; }));
  }
  return isNew;
}

void QuarantineTable::waitForAny() {
  std::unique_lock<std::mutex> lock(mutex_);
  added_.wait(lock, [this] { return !entries_.empty(); });
}

void QuarantineTable::noteStored(uint64_t fingerprint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) {
    found->second.isStored = true;
  }
}

void QuarantineTable::noteLost(uint64_t fingerprint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) {
    found->second.isStored = false;
  }
}

void QuarantineTable::lift(uint64_t fingerprint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  entries_.erase(fingerprint);
}

std::optional<Duration> QuarantineTable::timeLeft(uint64_t fingerprint, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || now - found->second.since >= kQuarantineTime) {
    return std::nullopt;
  }
  return found->second.since + kQuarantineTime - now;
}

std::vector<Quarantined> QuarantineTable::unstored(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Quarantined> found;
  for (const auto& [fingerprint, entry] : entries_) {
    if (!entry.isStored && now - entry.since < kQuarantineTime) {
      found.push_back(Quarantined{fingerprint, entry.since});
    }
  }
  return found;
}

std::vector<uint64_t> QuarantineTable::takeExpired(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<uint64_t> expired;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (now - entry->second.since < kQuarantineTime) {
      ++entry;
      continue;
    }
    if (entry->second.isStored) {
      expired.push_back(entry->first);
    }
    entry = entries_.erase(entry);
  }
  return expired;
}

size_t QuarantineTable::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entries_.size();
}

}  // namespace fernmoor::quarantine
