/// @file
/// Holds of QuarantineDirectory: requests wait while a decision about them is due.
#include <algorithm>

#include "peers/quarantine_directory.h"

namespace fernmoor::peers {

using gateway::Suspects;

void QuarantineDirectory::hold(uint64_t fingerprint, Time until) {
  Time& held = heldUntil_[fingerprint];
  held = std::max(held, until);
  holdsAny_ = true;
}

void QuarantineDirectory::forgetHolds(Time now) {
  for (auto held = heldUntil_.begin(); held != heldUntil_.end();) {
    held = now >= held->second ? heldUntil_.erase(held) : std::next(held);
  }
  holdsAny_ = !heldUntil_.empty();
}

void QuarantineDirectory::endHold(uint64_t fingerprint) {
  heldUntil_.erase(fingerprint);
  holdsAny_ = !heldUntil_.empty();
  holdEnded_.notify_all();
}

bool QuarantineDirectory::isHeldAt(uint64_t fingerprint, Time now) const {
  const auto held = heldUntil_.find(fingerprint);
  return held != heldUntil_.end() && now < held->second;
}

bool QuarantineDirectory::isHeld(uint64_t fingerprint) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return isHeldAt(fingerprint, clock_.now());
}

void QuarantineDirectory::awaitDecision(const Suspects& suspects) {
  if (!holdsAny_) {
    return;  // The usual case; avoids taking a lock on the request path.
  }
  std::unique_lock<std::mutex> lock(mutex_);
  awaitDecision(suspects.request, lock);
  for (const uint64_t part : suspects.parts) {
    awaitDecision(part, lock);
  }
}

void QuarantineDirectory::awaitDecision(uint64_t fingerprint, std::unique_lock<std::mutex>& lock) {
  for (Time now = clock_.now(); isHeldAt(fingerprint, now); now = clock_.now()) {
    holdEnded_.wait_for(lock, heldUntil_.at(fingerprint) - now);
  }
}

}  // namespace fernmoor::peers
