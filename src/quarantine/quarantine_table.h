/// @file
/// Requests that are not sent to any engine, as they crash those that run them. Each node holds all
/// of them; they lie in the operators' store too, so that they outlive a restart of all nodes.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "common/time.h"

namespace fernmoor::quarantine {

/// One request that is not sent on.
struct Quarantined {
  uint64_t fingerprint = 0;
  Time since;
};

/// Thread-safe.
class QuarantineTable {
 public:
  /// @param since when it was quarantined; the earlier instant stands. @return whether it is new.
  bool add(const Quarantined& request, Time now);
  /// Notes that it lies in the store.
  void noteStored(uint64_t fingerprint);
  /// Notes that the store has lost it: it is to be written again.
  void noteLost(uint64_t fingerprint);
  /// An operator took it out of the store: it may be sent again.
  void lift(uint64_t fingerprint);
  /// @return how long it must not be sent from now on; nothing: it may be sent.
  std::optional<Duration> timeLeft(uint64_t fingerprint, Time now) const;
  /// @return those that are not known to lie in the store.
  std::vector<Quarantined> unstored(Time now) const;
  /// @return those in the store whose time is over, and forgets them here.
  std::vector<uint64_t> takeExpired(Time now);
  size_t size() const;

 private:
  struct Entry {
    Time since;
    bool isStored = false;
  };

  mutable std::mutex mutex_;
  std::map<uint64_t, Entry> entries_;
};

}  // namespace fernmoor::quarantine
