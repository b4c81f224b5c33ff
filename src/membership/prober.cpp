#include "membership/prober.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// Bounds what other nodes can make this one remember and send.
constexpr size_t kMaximumRelays = 256;
constexpr size_t kMaximumWanted = 1024;
constexpr size_t kWantedPerTick = 4;
constexpr size_t kMaximumProbes = 512;
/// Other members of a zone probed after one of them did not answer.
constexpr size_t kNeighbours = 6;

}  // namespace

Prober::Prober(const MemberTable& table, Messenger& messenger, Random& random, const Knobs& knobs)
    : table_(table), messenger_(messenger), random_(random), knobs_(knobs) {}

std::vector<ProbeFailure> Prober::onTick(Time now) {
  startDueProbe(now);
  startWanted(now);
  std::vector<ProbeFailure> failures;
  for (auto probe = probes_.begin(); probe != probes_.end();) {
    if (now >= probe->askRelaysAt && !probe->relaysAsked) {
      askRelays(*probe);
    }
    if (now >= probe->failsAt) {
      failures.push_back(ProbeFailure{probe->target, probe->purpose, probe->teller});
      probe = probes_.erase(probe);
    } else {
      ++probe;
    }
  }
  relays_.erase(std::remove_if(relays_.begin(), relays_.end(),
                               [now](const Relay& relay) { return now >= relay.expiresAt; }),
                relays_.end());
  return failures;
}

void Prober::onAck(NodeId from, uint32_t nonce) {
  probes_.erase(std::remove_if(probes_.begin(), probes_.end(),
                               [nonce](const Probe& probe) { return probe.nonce == nonce; }),
                probes_.end());
  for (auto relay = relays_.begin(); relay != relays_.end(); ++relay) {
    if (relay->nonce == nonce && relay->target == from) {
      messenger_.ackFor(relay->asker, relay->askerNonce, relay->target);
      relays_.erase(relay);
      return;
    }
  }
}

void Prober::onIndirectPing(NodeId from, const proto::MembershipIndirectPing& request, Time now) {
  const NodeId target(request.target_node_id());
  if (target == table_.selfId()) {
    messenger_.ack(from, request.nonce());
    return;
  }
  if (table_.find(target) == nullptr || relays_.size() >= kMaximumRelays) {
    return;
  }
  relays_.push_back(Relay{from, request.nonce(), target, nextNonce_++, now + giveUpAfter()});
  messenger_.ping(target, relays_.back().nonce);
}

void Prober::askSoon(NodeId target, ProbePurpose purpose, NodeId teller) {
  const bool known =
      std::any_of(wanted_.begin(), wanted_.end(),
                  [target](const WantedProbe& probe) { return probe.target == target; }) ||
      std::any_of(probes_.begin(), probes_.end(),
                  [target](const Probe& probe) { return probe.target.node == target; });
  if (!known && wanted_.size() < kMaximumWanted) {
    wanted_.push_back(WantedProbe{target, purpose, teller});
  }
}

void Prober::askNeighbours(NodeId target) {
  const ZoneId& zone = table_.find(target)->identity.zone;
  if (zone == table_.self().identity.zone) {
    return;
  }
  size_t asked = 0;
  for (const NodeId peer : table_.shuffledAlivePeers(random_)) {
    if (asked < kNeighbours && table_.find(peer)->identity.zone == zone) {
      askSoon(peer, ProbePurpose::kNeighbour);
      ++asked;
    }
  }
}

void Prober::noteNewMember(NodeId node) {
  if (std::find(round_.begin(), round_.end(), node) != round_.end()) {
    return;
  }
  const uint64_t place = random_.below(round_.size() + 1);
  round_.insert(round_.begin() + static_cast<ptrdiff_t>(place), node);
}

void Prober::abandon(Time now) {
  probes_.clear();
  relays_.clear();
  nextProbeAt_ = now;
}

void Prober::startDueProbe(Time now) {
  if (!nextProbeAt_) {
    nextProbeAt_ = now + random_.between(Duration::zero(), knobs_.membershipProbePeriod);
  }
  if (now < *nextProbeAt_) {
    return;
  }
  nextProbeAt_ = std::max(*nextProbeAt_ + knobs_.membershipProbePeriod, now);
  const std::optional<NodeId> target = nextInRound();
  if (target) {
    startProbe(WantedProbe{*target, ProbePurpose::kPeriodic, NodeId()}, now);
  }
}

void Prober::startWanted(Time now) {
  size_t started = 0;
  while (!wanted_.empty() && started < kWantedPerTick) {
    const WantedProbe next = wanted_.back();
    wanted_.pop_back();
    if (!isWanted(next)) {
      continue;
    }
    startProbe(next, now);
    ++started;
  }
}

bool Prober::isWanted(const WantedProbe& probe) const {
  const MemberEntry* const entry = table_.find(probe.target);
  if (entry == nullptr) {
    return false;
  }
  const bool alive = entry->status.health == MemberHealth::kAlive;
  return probe.purpose == ProbePurpose::kNeighbour ? alive : !alive;
}

void Prober::startProbe(const WantedProbe& wanted, Time now) {
  if (probes_.size() >= kMaximumProbes) {
    return;
  }
  Probe probe;
  probe.target = table_.find(wanted.target)->status.life;
  probe.purpose = wanted.purpose;
  probe.teller = wanted.teller;
  probe.nonce = nextNonce_++;
  probe.askRelaysAt = now + knobs_.membershipProbeTimeout;
  probe.failsAt = now + giveUpAfter();
  probes_.push_back(probe);
  messenger_.ping(wanted.target, probe.nonce);
}

void Prober::askRelays(Probe& probe) {
  probe.relaysAsked = true;
  messenger_.ping(probe.target.node, probe.nonce);  // The first one may merely have been lost.
  const bool accuses =
      probe.purpose == ProbePurpose::kPeriodic || probe.purpose == ProbePurpose::kNeighbour;
  if (!accuses) {
    return;
  }
  for (const NodeId relay : chooseRelays(probe.target.node)) {
    messenger_.indirectPing(relay, probe.target.node, probe.nonce);
  }
}

std::optional<NodeId> Prober::nextInRound() {
  const auto isAlivePeer = [this](NodeId node) {
    const MemberEntry* const entry = table_.find(node);
    return entry != nullptr && entry->status.health == MemberHealth::kAlive;
  };
  while (!round_.empty()) {
    const NodeId node = round_.back();
    round_.pop_back();
    if (isAlivePeer(node)) {
      return node;
    }
  }
  round_ = table_.shuffledAlivePeers(random_);
  if (round_.empty()) {
    return std::nullopt;
  }
  const NodeId node = round_.back();
  round_.pop_back();
  return node;
}

std::vector<NodeId> Prober::chooseRelays(NodeId target) {
  // Relays in zones of their own come first: a cut between two zones, also a one-way cut, is then
  // gone round by a third one.
  constexpr size_t kCandidatesPerRelay = 4;
  const auto wanted = static_cast<size_t>(knobs_.membershipIndirectProbes);
  std::vector<NodeId> candidates =
      table_.randomAlivePeers(wanted * kCandidatesPerRelay + 1, random_);
  candidates.erase(std::remove(candidates.begin(), candidates.end(), target), candidates.end());
  std::vector<NodeId> chosen;
  std::vector<ZoneId> usedZones = {table_.self().identity.zone, table_.find(target)->identity.zone};
  std::vector<NodeId> others;
  for (const NodeId candidate : candidates) {
    const ZoneId& zone = table_.find(candidate)->identity.zone;
    const bool used = std::find(usedZones.begin(), usedZones.end(), zone) != usedZones.end();
    if (used || chosen.size() >= wanted) {
      others.push_back(candidate);
      continue;
    }
    chosen.push_back(candidate);
    usedZones.push_back(zone);
  }
  for (size_t index = 0; index < others.size() && chosen.size() < wanted; ++index) {
    chosen.push_back(others[index]);
  }
  return chosen;
}

Duration Prober::giveUpAfter() const {
  constexpr int kTimeouts = 3;  // One for the direct try, two for the way through a relay.
  return knobs_.membershipProbeTimeout * kTimeouts;
}

}  // namespace fernmoor
