/// @file
/// Hints about cached parts of prompts: the engine that read a part last, and whether the cache
/// store was asked to keep it. A wrong hint costs time but never causes a wrong answer, since
/// engines look parts up by their scope.
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

/// What is known about one part.
struct PartHint {
  uint64_t engine = 0;  ///< Hash of the id of the engine that read it last; 0: unknown.
  Time readAt;
  bool isStored = false;  ///< It was sent to the store.
  Time storedAt;
};

/// Finds and records hints for requests. Implementations are thread-safe.
class PartHints {
 public:
  virtual ~PartHints() = default;
  /// May block for some milliseconds.
  /// @return a hint for each part, empty where nothing is known.
  virtual std::vector<PartHint> find(const std::vector<PartKey>& parts) = 0;
  /// Records that an engine has read the parts.
  virtual void note(const std::vector<PartKey>& parts, uint64_t engine, bool isStored) = 0;
};

/// A bounded LRU cache of hints; only note() counts as a use. Thread-safe.
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
  std::list<Entry> order_;  ///< Most recently used first.
  std::unordered_map<PartKey, std::list<Entry>::iterator> entries_;
};

}  // namespace fernmoor::gateway
