/// @file
/// A collection of versioned objects with compare-and-set, batches and a bounded history, as the
/// platform's object API gives it (docs/PROTOCOL-PLATFORM.md). Not thread-safe.
#pragma once

#include <Poco/Dynamic/Var.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/error.h"

namespace fernmoor::standin {

/// One object's new value. An empty value deletes it.
struct ObjectChange {
  std::string name;
  /// The version that the writer saw; 0: the object must not exist; none: not compared.
  std::optional<uint64_t> expectedVersion;
  Poco::Dynamic::Var value;
};

/// Changes that are applied together or not at all.
struct ObjectWrite {
  std::string changeId;  ///< Empty: cannot be looked up or repeated.
  std::optional<uint64_t> expectedRevision;
  std::vector<ObjectChange> changes;
};

/// An object, or a past change of it, in which an empty value stands for a deletion.
struct ObjectRecord {
  std::string name;
  uint64_t version = 0;
  std::string changeId;
  Poco::Dynamic::Var value;
};

/// A lost compare-and-set, with what stands there.
struct ObjectConflict {
  Error error;
  uint64_t revision = 0;                ///< Of the collection.
  std::optional<ObjectRecord> current;  ///< None where the object does not exist.
};

/// Either the revision in which the write took effect, or why it did not.
using WriteOutcome = std::variant<uint64_t, ObjectConflict>;

/// Changes since a revision; `compacted` where the history does not reach back that far.
struct ObjectHistory {
  uint64_t revision = 0;
  bool compacted = false;
  std::vector<ObjectRecord> changes;
};

class ObjectCollection {
 public:
  /// @param keptChanges length of the history.
  explicit ObjectCollection(size_t keptChanges) : keptChanges_(keptChanges) {}

  /// Applies the write under the next revision. A change id that was applied before is answered as
  /// it was then and has no effect.
  WriteOutcome write(const ObjectWrite& write);
  const ObjectRecord* find(const std::string& name) const;
  std::vector<ObjectRecord> all() const;
  uint64_t revision() const { return revision_; }
  /// @return the revision of a change; none where it was not applied (or is long ago).
  std::optional<uint64_t> findChange(const std::string& changeId) const;
  ObjectHistory changesAfter(uint64_t revision) const;

 private:
  std::optional<ObjectConflict> findConflict(const ObjectWrite& write) const;
  void remember(const std::string& changeId);

  size_t keptChanges_;
  uint64_t revision_ = 0;
  std::map<std::string, ObjectRecord> objects_;
  std::deque<ObjectRecord> history_;
  uint64_t forgottenRevision_ = 0;  ///< Changes up to this one are no longer in the history.
  std::unordered_map<std::string, uint64_t> changeIds_;
  std::deque<std::string> changeOrder_;
};

}  // namespace fernmoor::standin
