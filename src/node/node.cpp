#include "node/node.h"

#include <Poco/URI.h>

#include <algorithm>
#include <utility>

#include "common/log.h"
#include "objectstore/http_object_store_client.h"

namespace fernmoor {

namespace {

/// Between two rounds of housekeeping; queued requests wait for at most that long too much.
constexpr Duration kHousekeepingInterval{50000};
constexpr Duration kDrainCheckInterval{20000};

/// Greater after every restart, as long as the machine's clock does not go back by the time that a
/// restart takes.
NodeLife newLife(const Settings& settings, const Clock& clock) {
  return NodeLife{settings.nodeId, Incarnation(static_cast<uint64_t>(clock.wallMicroseconds()))};
}

std::unique_ptr<ObjectStoreClient> makePlatformClient(const Settings& settings) {
  if (settings.platformUrl.empty()) {
    return nullptr;
  }
  const Poco::URI uri(settings.platformUrl);
  return std::make_unique<HttpObjectStoreClient>(SocketAddress{uri.getHost(), uri.getPort()},
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
      applications_(settings_.zone, settings_.knobs),
      gate_(control_.roles().limits(), clock_, settings_.knobs, self_.incarnation.value()),
      applicationRunner_(http_, applications_, gate_, clock_),
      measures_(metrics_),
      monitor_(engineClient_, engines_, owned_, clock_, settings_.knobs),
      housekeeping_(control_, engines_, monitor_, knowledge_, gate_, metrics_, table_, clock_,
                    settings_.knobs) {
  services_ = std::make_unique<NodeServices>(NodeServices{
      settings_.knobs, clock_, self_, keys_, table_, control_.roles().table(), engines_, knowledge_,
      engineClient_, *policy_, streamTokens_, requestIds_, requestLog_, gate_, applicationRunner_,
      control_.roles().claims(), control_.sender(), measures_, draining_});
  operators_ = std::make_unique<OperatorServices>(
      OperatorServices{*services_, control_.roles().membership(), control_.roles().ownership(),
                       owned_, platform_.get(), control_.roles().table(), [this] { orderDrain(); },
                       [this] { return housekeeping_.latestRates(); }, kRateInterval});
  front_ = std::make_unique<HttpFront>(*services_, *operators_, settings_.httpAddress);
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
  if (drained_.exchange(true)) {
    return;
  }
  // First the others send their callers elsewhere, then the door closes, then work runs out.
  draining_ = true;
  control_.drain();
  std::this_thread::sleep_for(std::min(patience, settings_.knobs.drainNoticeTime));
  front_->stopAccepting();
  const Time end = clock_.now() + patience;
  while (!front_->idle() && clock_.now() < end) {
    std::this_thread::sleep_for(kDrainCheckInterval);
  }
  stopping_ = true;
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
  applications_.setMachines(machines);
  engines_.setAddresses(addresses, clock_.now());
  control_.roles().ownership().setEngines(addresses);
}

void Node::runHousekeeping() {
  while (!stopping_) {
    housekeeping_.runOnce(front_->openRequests().count());
    stopIfSuperseded();
    std::this_thread::sleep_for(kHousekeepingInterval);
  }
}

void Node::stopIfSuperseded() {
  if (control_.roles().membership().supersededBy() && !draining_) {
    logError(
        "another process runs under this node's id; this one stops: give each its own node_id");
    orderDrain();
  }
}

void Node::orderDrain() {
  {
    const std::lock_guard<std::mutex> lock(drainMutex_);
    drainWanted_ = true;
  }
  drainOrdered_.notify_all();
}

void Node::stopWaiting() {
  orderDrain();
}

void Node::waitForDrainOrder() {
  std::unique_lock<std::mutex> lock(drainMutex_);
  drainOrdered_.wait(lock, [this] { return drainWanted_; });
}

}  // namespace fernmoor
