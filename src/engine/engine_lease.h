/// @file
/// The lease that permits a node to send orders (load weights, change role) to one engine: stored
/// in the platform's collection "engine-leases", one object per engine. The object's version is the
/// fencing token; the engine rejects a token below the highest that it has seen, and the holder
/// stops using its lease once it has expired on the holder's own clock. C. Gray, D. Cheriton,
/// "Leases", SOSP 1989.
#pragma once

#include <optional>
#include <string>

#include "common/knobs.h"
#include "common/role.h"
#include "objectstore/object_store_client.h"

namespace fernmoor {

/// @return the collection that stores the leases.
const CollectionName& engineLeaseCollection();

/// Content of a lease object.
struct LeaseRecord {
  NodeLife holder;
  Duration duration{0};  ///< Counted from when the holder sent the write.
};

std::string writeLeaseRecord(const LeaseRecord& record);
/// @return the record, or an error of kind kInvalidRequest for an object that is not a lease.
Result<LeaseRecord> readLeaseRecord(const std::string& valueJson);

/// Next action of a node that wants the lease.
struct LeaseStep {
  enum class Kind {
    kNothing,  ///< The lease is held and not near expiry.
    kAcquire,  ///< Write the object under the expected version.
    kWait,     ///< Another holder's lease may still run.
  };
  Kind kind = Kind::kNothing;
  CollectionRevision expectedVersion;  ///< For kAcquire.
  Time until;                          ///< For kWait: read the object again then.
};

/// One engine's lease as seen by one node. All times are of this node's clock: another holder's
/// lease counts from when this node first saw it, which is later than it was sent. Not thread-safe.
class EngineLease {
 public:
  /// @param self this incarnation of the node; a later one of the same node is another holder.
  EngineLease(NodeLife self, const Knobs& knobs) : self_(self), knobs_(knobs) {}

  /// Records the object as read.
  /// @param object empty if the object does not exist.
  void onRead(const std::optional<PlatformObject>& object, Time now);
  /// @return what to do after a read.
  LeaseStep nextStep(Time now) const;
  /// Records that the write took effect.
  /// @param sentAt when it was sent: the lease runs from then.
  void onAcquired(CollectionRevision version, Time sentAt);
  /// Records that the write failed or may have failed: no lease is held until a later write is
  /// known to have succeeded.
  void onWriteFailed();

  /// @return the token for an order that is sent now, or kConflict if no lease is held or
  ///     it expired.
  Result<FencingToken> authorize(Time now) const;

 private:
  Time ownExpiry() const;

  NodeLife self_;
  Knobs knobs_;
  std::optional<CollectionRevision> held_;  ///< Version of the lease held by this incarnation.
  Time heldSince_;
  CollectionRevision seenVersion_;  ///< 0 if the object does not exist.
  Time firstSeen_;
  std::optional<LeaseRecord> seen_;
};

}  // namespace fernmoor
