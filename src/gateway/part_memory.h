/// @file
/// What is remembered of cached parts of prompts: at which engine one was read last, and whether
/// the cache store was told to keep it. Hints only: a wrong one costs time, never a wrong answer,
/// since engines find parts by their scope.
#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/time.h"

namespace fernmoor::gateway {

/// Hash of a part's scope and id.
using PartKey = uint64_t;
PartKey partKeyOf(const std::string& scope, const std::string& part);

/// What is known of one part.
struct PartHint {
  uint64_t engine = 0;  ///< Hash of the id of the engine that read it last; 0: unknown.
  Time readAt;
  bool isStored = false;  ///< The store was sent it.
  Time storedAt;
};

/// Where requests ask for hints and leave them. Implementations are thread-safe.
class PartHints {
 public:
  virtual ~PartHints() = default;
  /// @return a hint for each part, empty where nothing is known; may wait some milliseconds.
  virtual std::vector<PartHint> find(const std::vector<PartKey>& parts) = 0;
  /// Notes that an engine has read the parts.
  virtual void note(const std::vector<PartKey>& parts, uint64_t engine, bool isStored) = 0;
};

/// A bounded memory of hints that forgets the parts unused the longest. Thread-safe.
class PartMemory {
 public:
  explicit PartMemory(size_t capacity) : capacity_(capacity) {}

  void note(PartKey part, uint64_t engine, bool isStored, Time now);
  /// @return an empty hint where nothing is known.
  PartHint find(PartKey part) const;
  size_t size() const;

 private:
  struct Entry {
    PartKey key = 0;
    PartHint hint;
  };

  size_t capacity_;
  mutable std::mutex mutex_;
  std::list<Entry> order_;  ///< Used last first.
  std::unordered_map<PartKey, std::list<Entry>::iterator> entries_;
};

}  // namespace fernmoor::gateway
