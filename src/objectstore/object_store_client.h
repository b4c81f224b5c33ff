/// @file
/// The platform's object API as the rest of the program sees it: versioned objects with
/// compare-and-set, watches, and the list of machines. Calls block and belong on control-plane
/// threads only; no caller's request ever waits for one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/socket_address.h"
#include "common/time.h"

namespace fernmoor {

/// Revision of a collection: one counter that grows by one with every change of the collection, so
/// that all versions in it are in one order. 0: before the first change.
using CollectionRevision = NumberId<struct CollectionRevisionTag>;
using CollectionName = NamedId<struct CollectionNameTag>;
using ObjectName = NamedId<struct ObjectNameTag>;
/// Chosen by the author of a change; the platform applies one id at most once.
using ChangeId = NamedId<struct ChangeIdTag>;

struct PlatformObject {
  ObjectName name;
  CollectionRevision version;  ///< Revision that last changed the object.
  std::string valueJson;
  ChangeId changeId;  ///< The change that wrote it.
};

/// One object set or, without a value, deleted.
struct ObjectChange {
  ObjectName name;
  CollectionRevision expectedVersion;  ///< 0: the object must not exist.
  std::optional<std::string> valueJson;
};

/// Changes that take effect all together under one revision, or not at all.
struct ChangeBatch {
  ChangeId changeId;
  std::optional<CollectionRevision> expectedRevision;  ///< None: any.
  std::vector<ObjectChange> changes;
};

/// All objects of a collection at one revision.
struct CollectionSnapshot {
  CollectionRevision revision;
  std::vector<PlatformObject> objects;
};

/// One object's change as a watch tells it; the changes of one batch bear the same version.
struct WatchedChange {
  CollectionRevision version;
  ChangeId changeId;
  ObjectName name;
  std::optional<std::string> valueJson;  ///< None: deleted.
};

/// Answer to a watch: every change after the revision asked for, in order.
struct WatchBatch {
  CollectionRevision revision;  ///< The collection's revision now.
  bool compacted = false;       ///< The platform no longer keeps what was asked: take a snapshot.
  std::vector<WatchedChange> changes;
};

enum class MachineKind { kNode, kEngine, kApplication, kKvStore };
enum class MachineStatus { kLive, kLeaving };

/// One entry of the platform's machine list, which lags.
struct Machine {
  std::string name;
  MachineKind kind = MachineKind::kNode;
  SocketAddress address;
  ZoneId zone;
  RegionId region;
  MachineStatus status = MachineStatus::kLive;
  NodeId node;  ///< For nodes; 0 for others.
};

/// Calls to the platform. Thread-safe. Errors: kNotFound, kConflict, kRateLimited, kUnavailable and
/// kTimeout (runState tells whether a change may have been applied), kOutcomeUnknown where a
/// change's answer was lost: resolve it by findChange or by sending the same change again.
class ObjectStoreClient {
 public:
  virtual ~ObjectStoreClient() = default;
  virtual Result<PlatformObject> get(const CollectionName& collection, const ObjectName& name) = 0;
  /// Sets or deletes one object. @return the change's revision.
  virtual Result<CollectionRevision> put(const CollectionName& collection,
                                         const ObjectChange& change, const ChangeId& changeId) = 0;
  /// Applies a batch. @return the batch's revision.
  virtual Result<CollectionRevision> apply(const CollectionName& collection,
                                           const ChangeBatch& batch) = 0;
  virtual Result<CollectionSnapshot> list(const CollectionName& collection) = 0;
  /// Waits until there is a change after the given revision, at most `wait`.
  virtual Result<WatchBatch> watch(const CollectionName& collection, CollectionRevision after,
                                   Duration wait) = 0;
  /// @return the revision under which the change was applied, or kNotFound.
  virtual Result<CollectionRevision> findChange(const CollectionName& collection,
                                                const ChangeId& changeId) = 0;
  virtual Result<std::vector<Machine>> machines() = 0;
};

}  // namespace fernmoor
