#include "standin/object_collection.h"

#include <algorithm>

namespace fernmoor::standin {

namespace {
constexpr size_t kKeptChangeIds = 100000;
}  // namespace

const ObjectRecord* ObjectCollection::find(const std::string& name) const {
  const auto found = objects_.find(name);
  return found == objects_.end() ? nullptr : &found->second;
}

std::vector<ObjectRecord> ObjectCollection::all() const {
  std::vector<ObjectRecord> records;
  records.reserve(objects_.size());
  for (const auto& [name, record] : objects_) {
    records.push_back(record);
  }
  return records;
}

std::optional<uint64_t> ObjectCollection::findChange(const std::string& changeId) const {
  const auto found = changeIds_.find(changeId);
  if (found == changeIds_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<ObjectConflict> ObjectCollection::findConflict(const ObjectWrite& write) const {
  if (write.expectedRevision && *write.expectedRevision != revision_) {
    return ObjectConflict{Error{ErrorKind::kConflict,
                                "The collection changed since. Read it, merge, and write again.",
                                RunState::kNotRun, std::nullopt},
                          revision_, std::nullopt};
  }
  for (const ObjectChange& change : write.changes) {
    const ObjectRecord* current = find(change.name);
    const uint64_t version = current == nullptr ? 0 : current->version;
    if (!change.expectedVersion || *change.expectedVersion == version) {
      continue;
    }
    return ObjectConflict{
        Error{ErrorKind::kConflict,
              "Object \"" + change.name + "\" changed since. Read it, merge, and write again.",
              RunState::kNotRun, std::nullopt},
        revision_, current == nullptr ? std::nullopt : std::optional<ObjectRecord>(*current)};
  }
  return std::nullopt;
}

WriteOutcome ObjectCollection::write(const ObjectWrite& write) {
  if (const auto applied = findChange(write.changeId)) {
    return *applied;
  }
  if (auto conflict = findConflict(write)) {
    return *conflict;
  }
  ++revision_;
  for (const ObjectChange& change : write.changes) {
    const ObjectRecord record{change.name, revision_, write.changeId, change.value};
    if (change.value.isEmpty()) {
      objects_.erase(change.name);
    } else {
      objects_[change.name] = record;
    }
    history_.push_back(record);
  }
  while (history_.size() > keptChanges_) {
    forgottenRevision_ = history_.front().version;
    history_.pop_front();
  }
  remember(write.changeId);
  return revision_;
}

void ObjectCollection::remember(const std::string& changeId) {
  if (changeId.empty()) {
    return;
  }
  changeIds_[changeId] = revision_;
  changeOrder_.push_back(changeId);
  if (changeOrder_.size() > kKeptChangeIds) {
    changeIds_.erase(changeOrder_.front());
    changeOrder_.pop_front();
  }
}

ObjectHistory ObjectCollection::changesAfter(uint64_t revision) const {
  ObjectHistory history;
  history.revision = revision_;
  history.compacted = revision < forgottenRevision_ || revision > revision_;
  if (history.compacted) {
    return history;
  }
  const auto first = std::partition_point(
      history_.begin(), history_.end(),
      [revision](const ObjectRecord& record) { return record.version <= revision; });
  history.changes.assign(first, history_.end());
  return history;
}

}  // namespace fernmoor::standin
