#include "sim/membership_cluster.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fernmoor::sim {

namespace {

constexpr uint16_t kPeerPort = 7400;
constexpr uint16_t kHttpPort = 8080;
constexpr uint32_t kNodesPerNetwork = 200;
constexpr Duration kLookInterval = std::chrono::milliseconds(50);

SocketAddress addressOf(NodeId node, uint16_t port) {
  const uint32_t number = node.value();
  return SocketAddress{"10.20." + std::to_string(number / kNodesPerNetwork) + "." +
                           std::to_string(number % kNodesPerNetwork + 1),
                       port};
}

/// Puts the newest version in force that the membership hears of, as a table role does.
class TableFollower : public Role {
 public:
  explicit TableFollower(std::shared_ptr<MembershipRole> membership)
      : membership_(std::move(membership)) {}
  void onMessage(NodeLife, const proto::Envelope&, Time, MessageSender&) override {}
  void onTick(Time, MessageSender&) override {
    membership_->setLocalTableVersion(membership_->snapshot()->newestTableVersion);
  }

 private:
  std::shared_ptr<MembershipRole> membership_;
};

bool holdsExactly(const MembershipSnapshot& snapshot, const std::vector<NodeLife>& lives) {
  if (snapshot.members.size() != lives.size()) {
    return false;
  }
  return std::all_of(lives.begin(), lives.end(), [&snapshot](NodeLife life) {
    const Member* const member = snapshot.find(life);
    return member != nullptr && member->state != MemberState::kSuspect;
  });
}

}  // namespace

MembershipCluster::MembershipCluster(const MembershipClusterSettings& settings)
    : settings_(settings), cluster_(settings.seed, settings.network) {
  const auto placements = spreadOverZones(settings.nodes, settings.zones, settings.regions);
  for (uint32_t index = 0; index < std::min(settings.seedNodes, settings.nodes); ++index) {
    seeds_.push_back(Seed{placements[index].node, addressOf(placements[index].node, kPeerPort)});
  }
  for (const Placement& placement : placements) {
    cluster_.addNode(placement, factoryFor(placement), settings.tickInterval);
  }
}

RoleFactory MembershipCluster::factoryFor(const Placement& placement) {
  return [this, placement](NodeLife life, Time) {
    MembershipSettings role;
    role.self.life = life;
    role.self.zone = placement.zone;
    role.self.region = placement.region;
    role.self.peerAddress = addressOf(placement.node, kPeerPort);
    role.self.httpAddress = addressOf(placement.node, kHttpPort);
    role.seeds = seeds_;
    role.knobs = settings_.knobs;
    role.randomSeed = settings_.seed ^ (life.incarnation.value() << 16U) ^ life.node.value();
    const auto membership = std::make_shared<MembershipRole>(role);
    std::vector<HostedRole> roles{{proto::Envelope::kMembership, membership}};
    if (settings_.followTableVersions) {
      roles.push_back({proto::Envelope::kTable, std::make_shared<TableFollower>(membership)});
    }
    return roles;
  };
}

bool MembershipCluster::isAgreed() const {
  std::vector<NodeLife> lives;
  for (const auto& node : cluster_.nodes()) {
    if (node->isRunning()) {
      lives.push_back(node->life());
    }
  }
  const auto& nodes = cluster_.nodes();
  return std::all_of(nodes.begin(), nodes.end(), [&lives](const auto& node) {
    return !node->isRunning() ||
           holdsExactly(*node->template role<MembershipRole>()->snapshot(), lives);
  });
}

uint32_t MembershipCluster::countHolding(uint32_t id, MemberState state) const {
  uint32_t holding = 0;
  for (const auto& node : cluster_.nodes()) {
    if (!node->isRunning() || node->placement().node == NodeId(id)) {
      continue;
    }
    const auto snapshot = node->role<MembershipRole>()->snapshot();
    const Member* const member = snapshot->find(NodeId(id));
    const MemberState held = member == nullptr ? MemberState::kDead : member->state;
    holding += held == state ? 1 : 0;
  }
  return holding;
}

uint32_t MembershipCluster::countKnowing(TableVersion version) const {
  uint32_t knowing = 0;
  for (const auto& node : cluster_.nodes()) {
    const bool knows = node->isRunning() &&
                       node->role<MembershipRole>()->snapshot()->newestTableVersion >= version;
    knowing += knows ? 1 : 0;
  }
  return knowing;
}

uint32_t MembershipCluster::countKnowingAllHave(TableVersion version) const {
  uint32_t knowing = 0;
  for (const auto& node : cluster_.nodes()) {
    if (!node->isRunning()) {
      continue;
    }
    const auto snapshot = node->role<MembershipRole>()->snapshot();
    const bool all =
        std::all_of(snapshot->members.begin(), snapshot->members.end(),
                    [version](const Member& member) { return member.tableVersion >= version; });
    knowing += all ? 1 : 0;
  }
  return knowing;
}

Duration MembershipCluster::runUntilAgreed(Duration limit) {
  const Time start = cluster_.now();
  while (!isAgreed() && cluster_.now() - start < limit) {
    run(kLookInterval);
  }
  return std::min<Duration>(cluster_.now() - start, limit);
}

}  // namespace fernmoor::sim
