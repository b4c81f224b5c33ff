#include "node/control_plane.h"

#include <utility>

#include "claim/group_configuration_codec.h"

namespace fernmoor {

namespace {

constexpr Duration kTickInterval{20000};
/// Sleeps are cut into steps of this length, so that stop() is noticed.
constexpr Duration kSleepStep{50000};
/// A first group is written only after the others had time to join.
constexpr Duration kFirstGroupDelay{2000000};
constexpr size_t kFewestFirstMembers = 3;

const CollectionName kControlCollection("control");
const ObjectName kClaimGroupObject("claim-group");

Member selfMember(const Settings& settings, NodeLife self) {
  Member member;
  member.life = self;
  member.zone = settings.zone;
  member.region = settings.region;
  member.peerAddress = settings.peerAddress;
  member.httpAddress = settings.httpAddress;
  return member;
}

RoleSetOptions optionsFor(const Settings& settings, NodeLife self, const Clock& clock) {
  RoleSetOptions options;
  options.self = selfMember(settings, self);
  for (const SeedAddress& seed : settings.seeds) {
    options.seeds.push_back(Seed{seed.node, seed.peerAddress});
  }
  options.knobs = settings.knobs;
  options.randomSeed = self.incarnation.value() ^ self.node.value();
  options.wallMicrosecondsAtZero =
      clock.wallMicroseconds() - clock.now().time_since_epoch().count();
  return options;
}

}  // namespace

ControlPlane::ControlPlane(const Settings& settings, NodeLife self, const Clock& clock,
                           Table& table, EngineDirectory& engines, OwnedEngines& owned,
                           ObjectStoreClient* platform, MachineListener onMachines)
    : settings_(settings),
      self_(self),
      clock_(clock),
      table_(table),
      platform_(platform),
      roles_(optionsFor(settings, self, clock), table, engines, owned, std::move(onMachines)),
      transport_(settings.peerAddress, self, settings.clusterKey, settings.knobs,
                 [this](NodeId node) { return addressOf(node); }),
      startedAt_(clock.now()) {}

ControlPlane::~ControlPlane() {
  stop();
}

std::optional<SocketAddress> ControlPlane::addressOf(NodeId node) {
  return roles_.membership().snapshot()->addressOf(node);
}

void ControlPlane::start() {
  transport_.start([this](NodeLife from, const proto::Envelope& envelope) {
    roles_.onMessage(from, envelope, clock_.now(), transport_);
  });
  threads_.emplace_back([this] { runTicks(); });
  if (platform_ != nullptr) {
    threads_.emplace_back([this] { runWatcher(); });
    threads_.emplace_back([this] { runPlatformReader(); });
  }
}

void ControlPlane::drain() {
  roles_.membership().setDraining(true);
}

void ControlPlane::stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  roles_.membership().leave(transport_);
  for (std::thread& thread : threads_) {
    thread.join();
  }
  transport_.stop();
}

void ControlPlane::runTicks() {
  while (!stopping_) {
    roles_.onTick(clock_.now(), transport_);
    std::this_thread::sleep_for(kTickInterval);
  }
}

void ControlPlane::runWatcher() {
  TableWatcher watcher(*platform_, roles_.table(), table_, clock_, transport_, settings_.knobs,
                       self_.incarnation.value());
  while (!stopping_) {
    const Time end = clock_.now() + watcher.runOnce();
    while (!stopping_ && clock_.now() < end) {
      std::this_thread::sleep_for(std::min(kSleepStep, end - clock_.now()));
    }
  }
}

void ControlPlane::runPlatformReader() {
  while (!stopping_) {
    readMachines();
    readClaimGroup();
    const Time end = clock_.now() + settings_.knobs.machineListInterval;
    while (!stopping_ && clock_.now() < end) {
      std::this_thread::sleep_for(kSleepStep);
    }
  }
}

/// The platform bears few readers: those that watch the table read the list, the others take it
/// from them and read it only where that fails.
bool ControlPlane::shouldReadMachines() {
  const Time now = clock_.now();
  const std::optional<Duration> age = roles_.machines().age(now);
  const bool stale = !age || *age > 2 * settings_.knobs.machineListStale;
  return stale || roles_.table().platformNeed(now) != PlatformNeed::kNothing;
}

void ControlPlane::readMachines() {
  if (!shouldReadMachines()) {
    return;
  }
  const Result<std::vector<Machine>> machines = platform_->machines();
  platformAvailable_ = isOk(machines);
  if (!isOk(machines)) {
    return;
  }
  roles_.machines().onRead(valueOf(machines), clock_.now());
  std::vector<Seed> seeds;
  for (const Machine& machine : valueOf(machines)) {
    if (machine.kind == MachineKind::kNode && machine.node != self_.node) {
      seeds.push_back(Seed{machine.node, machine.address});
    }
  }
  roles_.membership().addSeeds(seeds);
}

void ControlPlane::readClaimGroup() {
  const auto object = platform_->get(kControlCollection, kClaimGroupObject);
  if (isOk(object)) {
    const auto configuration = groupConfigurationFromJson(valueOf(object).valueJson);
    if (isOk(configuration)) {
      roles_.claims().setGroupConfiguration(valueOf(configuration), clock_.now(), transport_);
    }
    return;
  }
  const auto members = roles_.membership().snapshot();
  const bool isWriter = members->members.front().life.node == self_.node;
  const bool ready = members->members.size() >= kFewestFirstMembers &&
                     clock_.now() - startedAt_ >= kFirstGroupDelay;
  if (errorOf(object).kind != ErrorKind::kNotFound || !isWriter || !ready) {
    return;
  }
  GroupConfiguration first;
  first.epoch = 1;
  for (const Member& member : members->members) {
    first.members.push_back(GroupMember{member.life.node, member.life.incarnation, member.zone});
  }
  // Whoever comes second is refused by the expected version and reads the first one's group.
  platform_->put(
      kControlCollection,
      ObjectChange{kClaimGroupObject, CollectionRevision(0), groupConfigurationToJson(first)},
      ChangeId("first-claim-group-" + std::to_string(self_.incarnation.value())));
}

}  // namespace fernmoor
