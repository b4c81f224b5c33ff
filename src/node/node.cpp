#include "node/node.h"

#include <Poco/URI.h>

#include <chrono>
#include <utility>

#include "common/log.h"
#include "platform/http_platform_client.h"

namespace fernmoor {

namespace {

constexpr Duration kHousekeepingInterval{500000};
constexpr Duration kDrainCheckInterval{20000};

/// Greater after every restart, as long as the machine's clock does not go back by the time that a
/// restart takes.
NodeLife newLife(const Settings& settings, const Clock& clock) {
  return NodeLife{settings.nodeId, Incarnation(static_cast<uint64_t>(clock.wallMicroseconds()))};
}

std::unique_ptr<PlatformClient> makePlatformClient(const Settings& settings) {
  if (settings.platformUrl.empty()) {
    return nullptr;
  }
  const Poco::URI uri(settings.platformUrl);
  return std::make_unique<HttpPlatformClient>(SocketAddress{uri.getHost(), uri.getPort()},
                                              settings.knobs);
}

std::unique_ptr<RoutingPolicy> makePolicy(const Knobs& knobs) {
  return valueOf(makeRoutingPolicy("least_expected_time", knobs));
}

EngineAddress engineAddressOf(const Machine& machine) {
  return EngineAddress{EngineId(machine.name), machine.zone, machine.address,
                       machine.status == MachineStatus::kLeaving};
}

}  // namespace

Node::Node(Settings settings)
    : settings_(std::move(settings)),
      self_(newLife(settings_, clock_)),
      keys_(settings_),
      engineClient_(http_),
      engines_(settings_.knobs),
      owned_(settings_.knobs),
      streamTokens_(settings_.clusterKey),
      requestIds_(self_),
      requestLog_(static_cast<size_t>(settings_.knobs.requestRecords)),
      policy_(makePolicy(settings_.knobs)),
      platform_(makePlatformClient(settings_)),
      control_(settings_, self_, clock_, table_, engines_, owned_, platform_.get(),
               [this](const std::vector<Machine>& machines) { takeMachines(machines); }),
      knowledge_(control_.roles().probes(), owned_, control_.sender(), settings_.knobs),
      monitor_(engineClient_, engines_, owned_, clock_, settings_.knobs) {
  services_ = std::make_unique<NodeServices>(
      NodeServices{settings_.knobs, clock_, self_, keys_, table_, engines_, knowledge_,
                   engineClient_, *policy_, streamTokens_, requestIds_, requestLog_});
  front_ = std::make_unique<HttpFront>(*services_, settings_.httpAddress);
}

Node::~Node() {
  drainAndStop(Duration{0});
}

void Node::start() {
  control_.start();
  front_->start();
  housekeepingThread_ = std::thread([this] { runHousekeeping(); });
  logInfo("serving at " + formatSocketAddress(settings_.httpAddress));
}

void Node::drainAndStop(Duration patience) {
  if (stopping_.exchange(true)) {
    return;
  }
  control_.drain();
  front_->stopAccepting();
  const Time end = clock_.now() + patience;
  while (front_->openRequests().count() > 0 && clock_.now() < end) {
    std::this_thread::sleep_for(kDrainCheckInterval);
  }
  if (housekeepingThread_.joinable()) {
    housekeepingThread_.join();
  }
  monitor_.stop();
  control_.stop();
}

void Node::takeMachines(const std::vector<Machine>& machines) {
  std::vector<EngineAddress> addresses;
  for (const Machine& machine : machines) {
    if (machine.kind == MachineKind::kEngine) {
      addresses.push_back(engineAddressOf(machine));
    }
  }
  engines_.setAddresses(addresses, clock_.now());
  control_.roles().ownership().setEngines(addresses);
}

void Node::runHousekeeping() {
  while (!stopping_) {
    followDuties();
    knowledge_.expire(clock_.now());
    std::this_thread::sleep_for(kHousekeepingInterval);
  }
}

void Node::followDuties() {
  std::vector<EngineState> followed;
  for (const EngineId& engine :
       control_.roles().ownership().enginesWithDuty(OwnershipDuty::kOwner)) {
    const auto state = engines_.find(engine, clock_.now());
    if (state) {
      followed.push_back(*state);
    }
  }
  monitor_.follow(followed);
}

}  // namespace fernmoor
