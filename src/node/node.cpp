#include "node/node.h"

#include <Poco/URI.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <utility>

#include "platform/http_platform_client.h"
#include "table/row_codec.h"

namespace fernmoor {

namespace {

constexpr Duration kPlatformInterval{500000};
constexpr Duration kDrainCheckInterval{20000};
const CollectionName kTableCollection("table");

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
      views_(settings_.knobs),
      streamTokens_(settings_.clusterKey),
      requestIds_(self_),
      requestLog_(static_cast<size_t>(settings_.knobs.requestRecords)),
      policy_(makePolicy(settings_.knobs)),
      platform_(makePlatformClient(settings_)),
      monitor_(engineClient_, engines_, views_, clock_, settings_.knobs) {
  services_ = std::make_unique<NodeServices>(
      NodeServices{settings_.knobs, clock_, self_, keys_, table_, engines_, views_, engineClient_,
                   *policy_, streamTokens_, requestIds_, requestLog_});
  front_ = std::make_unique<HttpFront>(*services_, settings_.httpAddress);
}

Node::~Node() {
  drainAndStop(Duration{0});
}

void Node::start() {
  front_->start();
  platformThread_ = std::thread([this] { pollPlatform(); });
  spdlog::info("node {} serves at {}", self_.node.value(),
               formatSocketAddress(settings_.httpAddress));
}

void Node::drainAndStop(Duration patience) {
  if (stopping_.exchange(true)) {
    return;
  }
  front_->stopAccepting();
  const Time end = clock_.now() + patience;
  while (front_->openRequests().count() > 0 && clock_.now() < end) {
    std::this_thread::sleep_for(kDrainCheckInterval);
  }
  if (platformThread_.joinable()) {
    platformThread_.join();
  }
  monitor_.stop();
}

void Node::pollPlatform() {
  while (!stopping_ && platform_ != nullptr) {
    refreshTable();
    refreshMachines();
    views_.expire(clock_.now());
    std::this_thread::sleep_for(kPlatformInterval);
  }
}

void Node::refreshTable() {
  const Result<CollectionSnapshot> listed = platform_->list(kTableCollection);
  if (!isOk(listed)) {
    return;
  }
  std::vector<Row> rows;
  for (const PlatformObject& object : valueOf(listed).objects) {
    Result<Row> row = rowFromJsonText(object.valueJson);
    if (isOk(row)) {
      rows.push_back(std::move(valueOf(row)));
    }
  }
  const TableVersion version(valueOf(listed).revision.value());
  table_.replace(std::make_shared<const TableSnapshot>(version, std::move(rows)));
}

void Node::refreshMachines() {
  const Result<std::vector<Machine>> machines = platform_->machines();
  if (!isOk(machines)) {
    return;
  }
  std::vector<EngineAddress> addresses;
  for (const Machine& machine : valueOf(machines)) {
    if (machine.kind == MachineKind::kEngine) {
      addresses.push_back(engineAddressOf(machine));
    }
  }
  engines_.setAddresses(addresses, clock_.now());
  monitor_.follow(engines_.all(clock_.now()));
}

}  // namespace fernmoor
