#include "engine/ownership_role.h"

#include <utility>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

constexpr size_t kOwnersPerEngine = 2;

}  // namespace

OwnershipRole::OwnershipRole(const MembershipView& membership, const Knobs& knobs)
    : membership_(membership), knobs_(knobs) {}

void OwnershipRole::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                              MessageSender& sender) {}

void OwnershipRole::onTick(Time now, MessageSender& sender) {
  {
    const RankedLock lock(mutex_);
    if (now < nextRefresh_) {
      return;
    }
    nextRefresh_ = now + knobs_.ownershipRefresh;
  }
  // Queried without holding the lock: membership's lock ranks before this one.
  const NodeId self = membership_.self().life.node;
  std::vector<AliveNode> alive;
  for (const Member& member : membership_.members()) {
    if (member.state == MemberState::kAlive) {
      alive.push_back({member.life.node, member.zone});
    }
  }
  const RankedLock lock(mutex_);
  self_ = self;
  if (alive == alive_) {
    return;
  }
  alive_ = std::move(alive);
  assignAll();
}

void OwnershipRole::setEngines(const std::vector<EngineAddress>& engines) {
  const RankedLock lock(mutex_);
  std::map<EngineId, Assignment> assignments;
  for (const EngineAddress& engine : engines) {
    assignments[engine.id] = Assignment{engine.zone, {}};
  }
  assignments_ = std::move(assignments);
  assignAll();
}

void OwnershipRole::assignAll() {
  for (auto& [engine, assignment] : assignments_) {
    assignment.owners = chooseOwners(engine, assignment.zone);
  }
}

EngineOwners OwnershipRole::chooseOwners(const EngineId& engine, const ZoneId& zone) const {
  std::vector<NodeId> inZone;
  std::vector<NodeId> anywhere;
  for (const AliveNode& node : alive_) {
    anywhere.push_back(node.node);
    if (node.zone == zone) {
      inZone.push_back(node.node);
    }
  }
  // Engines of a zone without a live node are assigned to other zones' nodes, not left unowned.
  const auto chosen = rendezvousTop(
      stableHash(engine.value()), inZone.empty() ? std::move(anywhere) : std::move(inZone),
      kOwnersPerEngine, [](NodeId node) { return uint64_t{node.value()}; });
  EngineOwners owners;
  if (!chosen.empty()) {
    owners.owner = chosen[0];
  }
  if (chosen.size() > 1) {
    owners.second = chosen[1];
  }
  return owners;
}

EngineOwners OwnershipRole::ownersOf(const EngineId& engine) const {
  const RankedLock lock(mutex_);
  const auto found = assignments_.find(engine);
  return found == assignments_.end() ? EngineOwners() : found->second.owners;
}

OwnershipDuty OwnershipRole::dutyOf(const EngineOwners& owners) const {
  if (owners.owner == self_) {
    return OwnershipDuty::kOwner;
  }
  return owners.second == self_ ? OwnershipDuty::kSecond : OwnershipDuty::kNone;
}

OwnershipDuty OwnershipRole::dutyFor(const EngineId& engine) const {
  const RankedLock lock(mutex_);
  const auto found = assignments_.find(engine);
  return found == assignments_.end() ? OwnershipDuty::kNone : dutyOf(found->second.owners);
}

std::vector<EngineId> OwnershipRole::enginesWithDuty(OwnershipDuty duty) const {
  const RankedLock lock(mutex_);
  std::vector<EngineId> engines;
  for (const auto& [engine, assignment] : assignments_) {
    if (dutyOf(assignment.owners) == duty) {
      engines.push_back(engine);
    }
  }
  return engines;
}

}  // namespace fernmoor
