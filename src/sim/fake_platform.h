/// @file
/// The platform in memory, for the simulator and for tests: the same rules as the object API, and
/// its faults on command.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <vector>

#include "common/time.h"
#include "objectstore/object_store_client.h"

namespace fernmoor::sim {

/// Answers every call at once; a caller that simulates a slow platform delays its own steps by
/// answerDelay(). Watches don't wait: with no change they answer an empty batch. Thread-safe.
class FakePlatform : public ObjectStoreClient {
 public:
  /// @param clock decides how far the machine list lags; outlives the platform.
  explicit FakePlatform(const Clock& clock) : clock_(clock) {}

  /// While down, every call fails as unavailable, not run.
  void setDown(bool down);
  /// The next `count` changes are applied and their answers lost.
  void loseAnswers(int count);
  /// The next `count` changes are applied only at the following call, and their answers are lost:
  /// a change that arrives after its sender gave up.
  void delayChanges(int count);
  /// The next change is applied, its answer is lost, and the platform is down from then on.
  void goDownAfterNextChange();
  /// What a simulated caller adds to each call.
  void setAnswerDelay(Duration delay);
  Duration answerDelay() const;
  /// Changes to the machine list are seen this much later.
  void setMachineListLag(Duration lag);
  void setMachines(std::vector<Machine> machines);
  /// Changes kept for watches; older ones are told as compacted.
  void setHistoryLimit(size_t changes);
  /// @return number of calls to watch() and list() so far, to check that readers are few.
  size_t readCalls() const;

  Result<PlatformObject> get(const CollectionName& collection, const ObjectName& name) override;
  Result<CollectionRevision> put(const CollectionName& collection, const ObjectChange& change,
                                 const ChangeId& changeId) override;
  Result<CollectionRevision> apply(const CollectionName& collection,
                                   const ChangeBatch& batch) override;
  Result<CollectionSnapshot> list(const CollectionName& collection) override;
  Result<WatchBatch> watch(const CollectionName& collection, CollectionRevision after,
                           Duration wait) override;
  Result<CollectionRevision> findChange(const CollectionName& collection,
                                        const ChangeId& changeId) override;
  Result<std::vector<Machine>> machines() override;

 private:
  struct Collection {
    CollectionRevision revision;
    std::map<ObjectName, PlatformObject> objects;
    std::deque<WatchedChange> history;
    CollectionRevision compactedUpTo;
    std::map<ChangeId, CollectionRevision> applied;
  };
  struct DelayedBatch {
    CollectionName collection;
    ChangeBatch batch;
  };
  struct MachineListVersion {
    Time visibleFrom;
    std::vector<Machine> machines;
  };

  std::optional<Error> beginCall();
  Result<CollectionRevision> applyLocked(Collection& collection, const ChangeBatch& batch);
  bool expectationsHold(const Collection& collection, const ChangeBatch& batch) const;
  void record(Collection& collection, const ChangeBatch& batch);
  void trimHistory(Collection& collection) const;

  const Clock& clock_;
  mutable std::mutex mutex_;
  std::map<CollectionName, Collection> collections_;
  std::vector<DelayedBatch> delayed_;
  std::vector<MachineListVersion> machineLists_;
  bool down_ = false;
  int answersToLose_ = 0;
  int changesToDelay_ = 0;
  bool goesDownAfterChange_ = false;
  Duration answerDelay_{0};
  Duration machineListLag_{0};
  size_t historyLimit_ = 1000;
  size_t readCalls_ = 0;
};

}  // namespace fernmoor::sim
