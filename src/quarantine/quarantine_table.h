/// @file
/// Quarantined requests, which are not sent to any engine because they crash the engines that run
/// them. Each node holds all of them. They are also kept in the operators' store, so that they
/// survive a restart of all nodes.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "common/time.h"

namespace fernmoor::quarantine {

/// A quarantined request.
struct Quarantined {
  uint64_t fingerprint = 0;
  Time since;
};

/// Thread-safe.
class QuarantineTable {
 public:
  /// Adds a request; if it is already in the table, the earlier `since` is kept.
  /// @return whether it is new.
  bool add(const Quarantined& request, Time now);
  /// Records that the request is in the store.
  void noteStored(uint64_t fingerprint);
  /// Records that the store has lost the request, so that it is written again.
  void noteLost(uint64_t fingerprint);
  /// Ends the quarantine, as an operator removed the request from the store.
  void lift(uint64_t fingerprint);
  /// @return the remaining quarantine time; nothing if the request may be sent.
  std::optional<Duration> timeLeft(uint64_t fingerprint, Time now) const;
  /// @return the requests that are not known to be in the store.
  std::vector<Quarantined> unstored(Time now) const;
  /// Drops the expired requests. @return those of them that are in the store.
  std::vector<uint64_t> takeExpired(Time now);
  size_t size() const;
  /// Blocks until a request is quarantined.
  void waitForAny();

 private:
  struct Entry {
    Time since;
    bool isStored = false;
  };

  mutable std::mutex mutex_;
  std::condition_variable added_;  ///< Notified when `entries_` grows.
  std::map<uint64_t, Entry> entries_;
};

}  // namespace fernmoor::quarantine
