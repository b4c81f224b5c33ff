/// @file
/// What this node remembers of cached parts of prompts: at which engine one was read last, and
/// whether the cache store was told to keep it. A hint only: a wrong one costs time, never a wrong
/// answer, since engines find parts by their scope.
#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>

#include "common/time.h"

namespace fernmoor::gateway {

/// What is remembered of one part.
struct PartHint {
  std::string engine;  ///< Where it was read last; empty: unknown.
  Time readAt;
  bool isStored = false;  ///< The store was sent it.
  Time storedAt;
};

/// Thread-safe; keeps the parts used last.
class PartMemory {
 public:
  explicit PartMemory(size_t capacity) : capacity_(capacity) {}

  void noteRead(const std::string& scope, const std::string& part, const std::string& engine,
                Time now);
  void noteStored(const std::string& scope, const std::string& part, Time now);
  /// @return an empty hint where nothing is known.
  PartHint find(const std::string& scope, const std::string& part) const;
  size_t size() const;

 private:
  struct Entry {
    uint64_t key = 0;
    PartHint hint;
  };
  static uint64_t keyOf(const std::string& scope, const std::string& part);
  PartHint& touch(uint64_t key);

  size_t capacity_;
  mutable std::mutex mutex_;
  std::list<Entry> order_;  ///< Used last first.
  std::unordered_map<uint64_t, std::list<Entry>::iterator> entries_;
};

}  // namespace fernmoor::gateway
