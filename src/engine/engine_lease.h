/// @file
/// The right to give orders to one engine (load weights, change role): a lease in the platform's
/// collection "engine-leases", one object for each engine. The object's version is the fencing
/// token; the engine refuses a token below the highest that it has seen, and the holder refuses
/// itself once its lease lapsed on its own clock. C. Gray, D. Cheriton, "Leases", SOSP 1989.
#pragma once

#include <optional>
#include <string>

#include "common/knobs.h"
#include "common/role.h"
#include "objectstore/object_store_client.h"

namespace fernmoor {

/// @return the collection of the leases.
const CollectionName& engineLeaseCollection();

/// What a lease's object says.
struct LeaseRecord {
  NodeLife holder;
  Duration duration{0};  ///< From when the holder sent it.
};

std::string writeLeaseRecord(const LeaseRecord& record);
/// @return the record, or an error of kind kInvalidRequest for an object that is no lease.
Result<LeaseRecord> readLeaseRecord(const std::string& valueJson);

/// What a node that wants the lease should do now.
struct LeaseStep {
  enum class Kind {
    kNothing,  ///< It is held and not near its end.
    kTake,     ///< Write the object under the expected version.
    kWait,     ///< Another holder's lease may still run.
  };
  Kind kind = Kind::kNothing;
  CollectionRevision expectedVersion;  ///< For kTake.
  Time until;                          ///< For kWait: read the object again then.
};

/// One engine's lease as one node sees it. All instants are of this node's clock: another holder's
/// lease counts from when this node first saw it, which is later than it was sent. Not thread-safe.
class EngineLease {
 public:
  /// @param self this life of this node; a later life of the same node is another holder.
  EngineLease(NodeLife self, const Knobs& knobs) : self_(self), knobs_(knobs) {}

  /// Takes the object as it was read.
  /// @param object none: there is no such object.
  void onRead(const std::optional<PlatformObject>& object, Time now);
  /// @return what to do after a read.
  LeaseStep nextStep(Time now) const;
  /// The write took effect.
  /// @param sentAt when it was sent: the lease runs from then.
  void onTaken(CollectionRevision version, Time sentAt);
  /// The write failed, or may have: nothing is held until a later write is known to have worked.
  void onFailed();

  /// @return the token for an order that is sent now, or kConflict where no lease is held, or
  ///     where it lapsed.
  Result<FencingToken> authorize(Time now) const;

 private:
  Time endOfOwn() const;

  NodeLife self_;
  Knobs knobs_;
  std::optional<CollectionRevision> held_;  ///< Version of the lease that this life holds.
  Time heldSince_;
  CollectionRevision seenVersion_;  ///< 0: there is no object.
  Time firstSeen_;
  std::optional<LeaseRecord> seen_;
};

}  // namespace fernmoor
