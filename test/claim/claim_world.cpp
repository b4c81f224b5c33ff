#include "claim_world.h"

#include <algorithm>

namespace fernmoor {

namespace {

constexpr size_t kNodes = 4;
constexpr size_t kMembers = 3;
constexpr Duration kTickInterval{20000};
constexpr Duration kFaultyTime{1500000};
constexpr Duration kSettleTime{6000000};
constexpr Duration kWait{3000000};
constexpr int64_t kWallAtZero = 1700000000000000;
constexpr uint64_t kDigest = 7;

}  // namespace

struct ClaimWorld::Node {
  NodeLife life;
  int64_t wallAtZero = kWallAtZero;
  std::unique_ptr<ClaimReplica> replica;
  std::unique_ptr<ClaimCoordinator> coordinator;
  std::map<ClaimTicket, Send> sends;
};

class ClaimWorld::Sender : public MessageSender {
 public:
  Sender(ClaimWorld& world, NodeLife from) : world_(world), from_(from) {}
  void send(NodeId to, const proto::Envelope& envelope) override {
    world_.transmit(from_, to, envelope);
  }

 private:
  ClaimWorld& world_;
  NodeLife from_;
};

ClaimWorld::ClaimWorld(uint64_t seed, const ClaimWorldOptions& options, ClaimRules rules)
    : options_(options), rules_(rules), random_(seed) {
  knobs_.claimClockSkew = Duration(20000);
  knobs_.claimTimeout = Duration(400000);
  knobs_.claimRecoveryTimeout = Duration(1000000);
  knobs_.claimTransferInterval = Duration(50000);
  for (size_t index = 0; index < kNodes; ++index) {
    nodes_.push_back(std::make_unique<Node>());
    Node& node = *nodes_.back();
    node.life.node = NodeId(static_cast<uint32_t>(index + 1));
    node.wallAtZero += static_cast<int64_t>(random_.below(10000));
  }
  newest_ = makeConfiguration(1, 0);
  for (size_t index = 0; index < kNodes; ++index) {
    newest_.members[index % kMembers].joinedAt = Incarnation(1);
  }
  for (size_t index = 0; index < kNodes; ++index) {
    restart(index);
  }
}

ClaimWorld::~ClaimWorld() = default;

void ClaimWorld::at(Time time, std::function<void()> action) {
  events_.emplace(std::make_pair(time, ++sequence_), std::move(action));
}

void ClaimWorld::runUntil(Time end) {
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key().first;
    event.mapped()();
  }
  now_ = end;
}

Duration ClaimWorld::latency() {
  if (faulty_ && random_.chance(options_.lateProbability)) {
    return random_.between(Duration(1000), Duration(500000));
  }
  return random_.between(Duration(200), Duration(15000));
}

void ClaimWorld::transmit(NodeLife from, NodeId to, const proto::Envelope& envelope) {
  if (from.node == to) {
    at(now_, [this, from, to, envelope] { deliver(from, to, envelope); });
    return;
  }
  if (faulty_ && random_.chance(options_.lossProbability)) {
    return;
  }
  const int copies = faulty_ && random_.chance(options_.duplicateProbability) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    at(now_ + latency(), [this, from, to, envelope] { deliver(from, to, envelope); });
  }
}

void ClaimWorld::deliver(NodeLife from, NodeId to, const proto::Envelope& envelope) {
  const size_t index = to.value() - 1;
  Node& node = *nodes_[index];
  Sender sender(*this, node.life);
  node.replica->onMessage(from, envelope, now_, sender);
  node.coordinator->onMessage(from, envelope, now_, sender);
  collect(index);
}

void ClaimWorld::tick(size_t index) {
  Node& node = *nodes_[index];
  Sender sender(*this, node.life);
  node.replica->onTick(now_, sender);
  node.coordinator->onTick(now_, sender);
  collect(index);
  at(now_ + kTickInterval, [this, index] { tick(index); });
}

void ClaimWorld::restart(size_t index) {
  Node& node = *nodes_[index];
  const bool isFirst = node.life.incarnation == Incarnation{};
  openSends_ -= static_cast<int>(node.sends.size());
  node.sends.clear();
  node.life.incarnation = Incarnation(node.life.incarnation.value() + 1);
  node.replica = std::make_unique<ClaimReplica>(node.life, node.wallAtZero, knobs_, rules_);
  node.coordinator = std::make_unique<ClaimCoordinator>(node.life, node.wallAtZero, knobs_,
                                                        random_.next(), rules_);
  configure(index, newest_);
  if (isFirst) {
    at(now_ + random_.between(Duration(0), kTickInterval), [this, index] { tick(index); });
  }
}

void ClaimWorld::configure(size_t index, const GroupConfiguration& configuration) {
  Node& node = *nodes_[index];
  Sender sender(*this, node.life);
  node.replica->setGroupConfiguration(configuration, now_);
  node.coordinator->setGroupConfiguration(configuration, now_, sender);
}

GroupConfiguration ClaimWorld::makeConfiguration(uint64_t epoch, size_t first) const {
  GroupConfiguration configuration;
  configuration.epoch = epoch;
  for (size_t offset = 0; offset < kMembers; ++offset) {
    const Node& node = *nodes_[(first + offset) % kNodes];
    configuration.members.push_back(GroupMember{node.life.node, node.life.incarnation,
                                                ZoneId("zone" + std::to_string(offset))});
  }
  return configuration;
}

void ClaimWorld::scheduleFaults() {
  for (int crash = 0; crash < options_.crashes; ++crash) {
    const size_t index = random_.below(kNodes);
    at(now_ + random_.between(Duration(0), kFaultyTime), [this, index] { restart(index); });
  }
  if (options_.restartsAllNodes) {
    at(now_ + random_.between(Duration(0), kFaultyTime), [this] {
      for (size_t index = 0; index < kNodes; ++index) {
        restart(index);
      }
    });
  }
  if (options_.changesGroup) {
    at(now_ + random_.between(Duration(50000), kFaultyTime / 2), [this] {
      GroupConfiguration next = makeConfiguration(2, 1 + random_.below(kNodes - 1));
      next.previousEpoch = newest_.epoch;
      next.previousMembers = newest_.members;
      newest_ = next;
      for (size_t index = 0; index < kNodes; ++index) {
        at(now_ + random_.between(Duration(0), Duration(600000)),
           [this, index, next] { configure(index, next); });
      }
    });
  }
}

ClaimKey ClaimWorld::newKey() {
  const int64_t wall = kWallAtZero + now_.time_since_epoch().count();
  return valueOf(parseClaimKey(TenantId("tenant"), ServiceId("receipts"),
                               mintClaimKeyText(wall, ++sequence_)));
}

void ClaimWorld::scheduleSends() {
  for (int number = 0; number < options_.keys; ++number) {
    const Time birth = now_ + random_.between(Duration(0), kFaultyTime * 3 / 4);
    at(birth, [this] {
      const ClaimKey key = newKey();
      runs_[key] = 0;
      for (int copy = 0; copy < options_.sendsPerKey; ++copy) {
        // Most copies overlap, so that dispatchers compete; some arrive later.
        const Duration delay =
            random_.between(Duration(0), random_.chance(0.6) ? Duration(20000) : Duration(700000));
        const size_t index = random_.below(kNodes);
        at(now_ + delay, [this, index, key] { send(index, key, false); });
      }
    });
  }
}

void ClaimWorld::send(size_t index, const ClaimKey& key, bool isFinal) {
  Node& node = *nodes_[index];
  Sender sender(*this, node.life);
  ++openSends_;
  const ClaimTicket ticket = node.coordinator->begin(key, kDigest, now_, sender);
  node.sends[ticket] = Send{key, isFinal};
  collect(index);
}

void ClaimWorld::collect(size_t index) {
  Node& node = *nodes_[index];
  for (const ClaimResolution& resolution : node.coordinator->takeResolutions()) {
    const auto found = node.sends.find(resolution.ticket);
    if (found == node.sends.end()) {
      continue;
    }
    const Send send = found->second;
    node.sends.erase(found);
    --openSends_;
    onOutcome(index, resolution.ticket, send, resolution.outcome);
  }
  node.coordinator->takeCompletions();
}

void ClaimWorld::onOutcome(size_t index, ClaimTicket ticket, const Send& send,
                           const ClaimOutcome& outcome) {
  if (const auto* recorded = std::get_if<ClaimRecorded>(&outcome)) {
    ++report_.recorded;
    report_.wrongAnswers += recorded->answer.body == send.key.text ? 0 : 1;
    finalGrants_[send.key] += send.isFinal ? 1 : 0;
    return;
  }
  if (const auto* error = std::get_if<Error>(&outcome)) {
    const bool saysNotRun = error->runState == RunState::kNotRun;
    report_.falseNotRun += saysNotRun && runs_[send.key] > 0 ? 1 : 0;
    return;
  }
  if (std::holds_alternative<ClaimBusy>(outcome)) {
    return;
  }
  finalGrants_[send.key] += send.isFinal ? 1 : 0;
  Node& node = *nodes_[index];
  const bool releasesClaim = !send.isFinal && random_.chance(0.25);
  if (releasesClaim) {
    report_.falseNotRun += runs_[send.key] > 0 ? 1 : 0;
    Sender sender(*this, node.life);
    node.coordinator->release(ticket, now_, sender);
    return;
  }
  dispatch(index, ticket, send);
}

void ClaimWorld::dispatch(size_t index, ClaimTicket ticket, const Send& send) {
  const NodeLife life = nodes_[index]->life;
  const Duration wait = random_.between(Duration(0), Duration(100000));
  at(now_ + wait, [this, index, ticket, send, life] {
    if (nodes_[index]->life != life) {
      return;  // The node restarted before it dispatched.
    }
    ++report_.runs;
    report_.doubleRuns += ++runs_[send.key] > 1 ? 1 : 0;
    at(now_ + random_.between(Duration(1000), Duration(50000)), [this, index, ticket, send, life] {
      if (nodes_[index]->life != life) {
        return;
      }
      Sender sender(*this, life);
      ClaimAnswer answer;
      answer.body = send.key.text;
      nodes_[index]->coordinator->complete(ticket, answer, now_, sender);
    });
  });
}

ClaimWorldReport ClaimWorld::run() {
  scheduleFaults();
  scheduleSends();
  runUntil(now_ + kFaultyTime);
  faulty_ = false;
  runUntil(now_ + kSettleTime);
  std::vector<ClaimKey> keys;
  for (const auto& [key, runs] : runs_) {
    keys.push_back(key);
  }
  const std::vector<ClaimKey> fresh = {newKey(), newKey()};
  keys.insert(keys.end(), fresh.begin(), fresh.end());
  for (const ClaimKey& key : keys) {
    send(random_.below(kNodes), key, true);
  }
  runUntil(now_ + kWait);
  report_.unresolved = openSends_;
  for (const ClaimKey& key : keys) {
    const bool isFresh = std::find(fresh.begin(), fresh.end(), key) != fresh.end();
    const bool ended = finalGrants_[key] > 0;
    report_.freshKeysRejected += isFresh && !ended ? 1 : 0;
    report_.stuckKeys += !isFresh && !ended && runs_[key] <= 1 ? 1 : 0;
  }
  return report_;
}

}  // namespace fernmoor
