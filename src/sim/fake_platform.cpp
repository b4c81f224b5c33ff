#include "sim/fake_platform.h"

#include <algorithm>
#include <utility>

namespace fernmoor::sim {

namespace {

Error failure(ErrorKind kind, const std::string& message, RunState state = RunState::kNotRun) {
  return Error{kind, message, state, std::nullopt};
}

Error lostAnswer() {
  return failure(ErrorKind::kOutcomeUnknown, "the platform's answer to a change was lost.",
                 RunState::kUnknown);
}

using Lock = std::lock_guard<std::mutex>;

}  // namespace

void FakePlatform::setDown(bool down) {
  const Lock lock(mutex_);
  down_ = down;
}

void FakePlatform::loseAnswers(int count) {
  const Lock lock(mutex_);
  answersToLose_ = count;
}

void FakePlatform::delayChanges(int count) {
  const Lock lock(mutex_);
  changesToDelay_ = count;
}

void FakePlatform::goDownAfterNextChange() {
  const Lock lock(mutex_);
  goesDownAfterChange_ = true;
}

void FakePlatform::setAnswerDelay(Duration delay) {
  const Lock lock(mutex_);
  answerDelay_ = delay;
}

Duration FakePlatform::answerDelay() const {
  const Lock lock(mutex_);
  return answerDelay_;
}

void FakePlatform::setMachineListLag(Duration lag) {
  const Lock lock(mutex_);
  machineListLag_ = lag;
}

void FakePlatform::setMachines(std::vector<Machine> machines) {
  const Lock lock(mutex_);
  machineLists_.push_back({clock_.now() + machineListLag_, std::move(machines)});
}

void FakePlatform::setHistoryLimit(size_t changes) {
  const Lock lock(mutex_);
  historyLimit_ = changes;
}

size_t FakePlatform::readCalls() const {
  const Lock lock(mutex_);
  return readCalls_;
}

/// Applies what was under way and tells whether the platform answers at all.
std::optional<Error> FakePlatform::beginCall() {
  for (const DelayedBatch& late : std::exchange(delayed_, {})) {
    applyLocked(collections_[late.collection], late.batch);
  }
  if (down_) {
    return failure(ErrorKind::kUnavailable, "the platform is down.");
  }
  return std::nullopt;
}

bool FakePlatform::expectationsHold(const Collection& collection, const ChangeBatch& batch) const {
  if (batch.expectedRevision && *batch.expectedRevision != collection.revision) {
    return false;
  }
  return std::all_of(batch.changes.begin(), batch.changes.end(), [&](const ObjectChange& change) {
    const auto object = collection.objects.find(change.name);
    const CollectionRevision version =
        object == collection.objects.end() ? CollectionRevision() : object->second.version;
    return version == change.expectedVersion;
  });
}

void FakePlatform::record(Collection& collection, const ChangeBatch& batch) {
  collection.revision = CollectionRevision(collection.revision.value() + 1);
  for (const ObjectChange& change : batch.changes) {
    if (change.valueJson) {
      collection.objects[change.name] =
          PlatformObject{change.name, collection.revision, *change.valueJson, batch.changeId};
    } else {
      collection.objects.erase(change.name);
    }
    collection.history.push_back(
        WatchedChange{collection.revision, batch.changeId, change.name, change.valueJson});
  }
  collection.applied[batch.changeId] = collection.revision;
  trimHistory(collection);
}

void FakePlatform::trimHistory(Collection& collection) const {
  while (collection.history.size() > historyLimit_) {
    collection.compactedUpTo = collection.history.front().version;
    collection.history.pop_front();
  }
}

Result<CollectionRevision> FakePlatform::applyLocked(Collection& collection,
                                                     const ChangeBatch& batch) {
  const auto former = collection.applied.find(batch.changeId);
  if (former != collection.applied.end()) {
    return former->second;
  }
  if (!expectationsHold(collection, batch)) {
    return failure(ErrorKind::kConflict, "an object changed meanwhile.");
  }
  record(collection, batch);
  return collection.revision;
}

Result<PlatformObject> FakePlatform::get(const CollectionName& collection, const ObjectName& name) {
  const Lock lock(mutex_);
  if (const auto error = beginCall()) {
    return *error;
  }
  const auto& objects = collections_[collection].objects;
  const auto found = objects.find(name);
  if (found == objects.end()) {
    return failure(ErrorKind::kNotFound, "there is no object " + name.value() + ".");
  }
  return found->second;
}

Result<CollectionRevision> FakePlatform::put(const CollectionName& collection,
                                             const ObjectChange& change, const ChangeId& changeId) {
  return apply(collection, ChangeBatch{changeId, std::nullopt, {change}});
}

Result<CollectionRevision> FakePlatform::apply(const CollectionName& collection,
                                               const ChangeBatch& batch) {
  const Lock lock(mutex_);
  if (const auto error = beginCall()) {
    return *error;
  }
  if (changesToDelay_ > 0) {
    --changesToDelay_;
    delayed_.push_back({collection, batch});
    return lostAnswer();
  }
  Result<CollectionRevision> applied = applyLocked(collections_[collection], batch);
  if (goesDownAfterChange_) {
    goesDownAfterChange_ = false;
    down_ = true;
    return lostAnswer();
  }
  if (answersToLose_ > 0) {
    --answersToLose_;
    return lostAnswer();
  }
  return applied;
}

Result<CollectionSnapshot> FakePlatform::list(const CollectionName& collection) {
  const Lock lock(mutex_);
  ++readCalls_;
  if (const auto error = beginCall()) {
    return *error;
  }
  const Collection& listed = collections_[collection];
  CollectionSnapshot snapshot{listed.revision, {}};
  for (const auto& entry : listed.objects) {
    snapshot.objects.push_back(entry.second);
  }
  return snapshot;
}

Result<WatchBatch> FakePlatform::watch(const CollectionName& collection, CollectionRevision after,
                                       Duration wait) {
  const Lock lock(mutex_);
  ++readCalls_;
  if (const auto error = beginCall()) {
    return *error;
  }
  const Collection& watched = collections_[collection];
  WatchBatch batch{watched.revision, after < watched.compactedUpTo, {}};
  if (batch.compacted) {
    return batch;
  }
  std::copy_if(watched.history.begin(), watched.history.end(), std::back_inserter(batch.changes),
               [&](const WatchedChange& change) { return change.version > after; });
  return batch;
}

Result<CollectionRevision> FakePlatform::findChange(const CollectionName& collection,
                                                    const ChangeId& changeId) {
  const Lock lock(mutex_);
  if (const auto error = beginCall()) {
    return *error;
  }
  const auto& applied = collections_[collection].applied;
  const auto found = applied.find(changeId);
  if (found == applied.end()) {
    return failure(ErrorKind::kNotFound, "there is no change " + changeId.value() + ".");
  }
  return found->second;
}

Result<std::vector<Machine>> FakePlatform::machines() {
  const Lock lock(mutex_);
  if (const auto error = beginCall()) {
    return *error;
  }
  std::vector<Machine> visible;
  for (const MachineListVersion& list : machineLists_) {
    if (list.visibleFrom <= clock_.now()) {
      visible = list.machines;
    }
  }
  return visible;
}

}  // namespace fernmoor::sim
