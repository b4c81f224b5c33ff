/// @file
/// The roles of one node, put together: who gets which message, and time for all. Holds no sockets,
/// clocks or threads; the daemon and the simulator both use it.
#pragma once

#include <memory>
#include <vector>

#include "admission/limit_role.h"
#include "claim/claim_service.h"
#include "common/knobs.h"
#include "common/role.h"
#include "engine/engine_directory.h"
#include "engine/owned_engines.h"
#include "engine/ownership_role.h"
#include "engine/probe_role.h"
#include "membership/machine_list_role.h"
#include "membership/membership_role.h"
#include "table/table.h"
#include "table/table_role.h"

namespace fernmoor {

/// What a node's roles start from.
struct RoleSetOptions {
  Member self;
  std::vector<Seed> seeds;
  Knobs knobs;
  uint64_t randomSeed = 0;
  int64_t wallMicrosecondsAtZero = 0;  ///< Wall clock minus monotonic clock.
};

/// Thread-safe, as its parts are.
class RoleSet {
 public:
  /// @param table,engines,owned outlive the roles.
  RoleSet(const RoleSetOptions& options, Table& table, EngineDirectory& engines,
          OwnedEngines& owned, MachineListRole::Listener onMachines);

  /// Hands a message to its role.
  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now, MessageSender& sender);
  /// Lets time pass for all roles, and passes versions on between them.
  void onTick(Time now, MessageSender& sender);

  MembershipRole& membership() { return membership_; }
  TableRole& table() { return tableRole_; }
  OwnershipRole& ownership() { return ownership_; }
  ClaimService& claims() { return claims_; }
  ProbeRole& probes() { return probes_; }
  LimitRole& limits() { return limits_; }
  MachineListRole& machines() { return machines_; }

 private:
  Role* roleOf(const proto::Envelope& envelope);
  std::vector<NodeId> loadAudience() const;
  void noteEngine(const EngineState& state);

  const Knobs knobs_;
  Table& table_;
  EngineDirectory& engines_;
  MembershipRole membership_;
  TableRole tableRole_;
  OwnershipRole ownership_;
  ClaimService claims_;
  ProbeRole probes_;
  LimitRole limits_;
  MachineListRole machines_;
  std::atomic<Time::rep> now_{0};  ///< Of the latest message or tick, for listeners without one.
};

}  // namespace fernmoor
