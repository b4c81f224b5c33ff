#include "node/role_set.h"

namespace fernmoor {

namespace {

/// Roles draw different random numbers from one seed.
enum class SeedOffset : uint64_t { kMembership = 1, kTable = 2, kClaims = 3, kMachines = 4 };

uint64_t seedFor(const RoleSetOptions& options, SeedOffset offset) {
  return rendezvousWeight(options.randomSeed, static_cast<uint64_t>(offset));
}

}  // namespace

RoleSet::RoleSet(const RoleSetOptions& options, Table& table, EngineDirectory& engines,
                 OwnedEngines& owned, MachineListRole::Listener onMachines)
    : knobs_(options.knobs),
      table_(table),
      engines_(engines),
      membership_(MembershipSettings{options.self, options.seeds, options.knobs,
                                     seedFor(options, SeedOffset::kMembership)}),
      tableRole_(table, membership_, options.knobs, seedFor(options, SeedOffset::kTable)),
      ownership_(membership_, options.knobs),
      claims_(options.self.life, options.wallMicrosecondsAtZero, options.knobs,
              seedFor(options, SeedOffset::kClaims)),
      probes_(
          options.self.life.node, owned,
          [this](const EngineId& engine) { return ownership_.ownerOf(engine); },
          [this] { return loadAudience(); },
          [this](const EngineState& state) { noteEngine(state); }, options.knobs),
      limits_(membership_, options.knobs),
      machines_(membership_, std::move(onMachines), options.knobs,
                seedFor(options, SeedOffset::kMachines)) {}

Role* RoleSet::roleOf(const proto::Envelope& envelope) {
  switch (envelope.body_case()) {
    case proto::Envelope::kMembership:
      return &membership_;
    case proto::Envelope::kTable:
      return &tableRole_;
    case proto::Envelope::kClaim:
      return &claims_;
    case proto::Envelope::kProbe:
      return &probes_;
    case proto::Envelope::kLimit:
      return &limits_;
    case proto::Envelope::kMachineList:
      return &machines_;
    default:
      return nullptr;
  }
}

void RoleSet::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                        MessageSender& sender) {
  now_ = now.time_since_epoch().count();
  Role* role = roleOf(envelope);
  if (role != nullptr) {
    role->onMessage(from, envelope, now, sender);
  }
}

void RoleSet::onTick(Time now, MessageSender& sender) {
  now_ = now.time_since_epoch().count();
  membership_.setLocalTableVersion(table_.version());
  membership_.onTick(now, sender);
  const auto members = membership_.snapshot();
  tableRole_.onVersionSeen(members->newestTableHolder, members->newestTableVersion);
  tableRole_.onTick(now, sender);
  ownership_.onTick(now, sender);
  claims_.onTick(now, sender);
  probes_.onTick(now, sender);
  limits_.onTick(now, sender);
  machines_.onTick(now, sender);
}

std::vector<NodeId> RoleSet::loadAudience() const {
  const auto snapshot = membership_.snapshot();
  const Member& self = snapshot->selfMember();
  const bool small = static_cast<int64_t>(snapshot->members.size()) <= knobs_.wholeRegionNodes;
  std::vector<NodeId> audience;
  for (const Member& member : snapshot->members) {
    const bool near = member.zone == self.zone || (small && member.region == self.region);
    if (near && member.life.node != self.life.node) {
      audience.push_back(member.life.node);
    }
  }
  return audience;
}

void RoleSet::noteEngine(const EngineState& state) {
  engines_.update(state, Time(Duration(now_.load())));
}

}  // namespace fernmoor
