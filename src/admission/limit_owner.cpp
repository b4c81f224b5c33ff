#include "admission/limit_owner.h"

#include <algorithm>
#include <cmath>

#include "admission/fair_shares.h"

namespace fernmoor {

namespace {

/// Report intervals for which a new owner only collects what the nodes hold and confirms no places.
constexpr int64_t kLearningReportIntervals = 2;
/// Seconds for which a node may accumulate unused tokens of its fair share of a scarce row.
constexpr double kFairShareBurstSeconds = 0.5;
/// A node that uses a row reports about once a second. One that is silent for longer than this
/// (2.5 s) may be partitioned from the owner, and then continues at its last granted rate.
constexpr Duration kSilentAfter{2500000};
/// Fraction of the burst below which a row counts as scarce; nodes' reserves are then no longer
/// filled.
constexpr double kScarceBurstFraction = 0.5;

}  // namespace

LimitOwner::LimitOwner(const Knobs& knobs) : knobs_(knobs) {}

LimitGrant LimitOwner::onDemand(NodeLife from, const LimitDemand& demand,
                                const OwnerContext& context, Time now) {
  RowUse& row = rowOf(demand, context.startedRecently, now);
  NodeUse& node = row.nodes[from.node];
  if (node.life == from && node.lastGrant.sequence == demand.sequence) {
    return node.lastGrant;
  }
  if (node.life != from) {
    node = NodeUse{};
    node.life = from;
  }
  node.demandPerSecond = demand.demandPerSecond;
  node.inFlight = demand.inFlight;
  node.reportedPlaces = demand.heldPlaces;
  node.wantedPlaces = demand.wantedPlaces;
  node.reportedAt = now;
  const double limit = row.limits.ratePerSecond;
  const double rate = std::max(
      0.0, std::min(limit * context.reachableShare, limit - rateOfSilentNodes(row, node, now)));
  row.bucket.configure(rate, row.limits.burst, now);
  LimitGrant grant;
  grant.row = demand.limits.row;
  grant.sequence = demand.sequence;
  if (row.limits.ratePerSecond > 0) {
    grant.ratePerSecond = fairRate(row, node, rate);
    grantTokens(row, node, demand, now, grant);
  }
  if (row.limits.concurrency > 0) {
    const auto places = static_cast<int64_t>(
        std::ceil(static_cast<double>(row.limits.concurrency) * context.reachableShare));
    grantPlaces(row, node, places, now, grant);
  }
  node.lastGrant = grant;
  return grant;
}

LimitOwner::RowUse& LimitOwner::rowOf(const LimitDemand& demand, bool startedRecently, Time now) {
  const RowLimits& limits = demand.limits;
  const auto added = rows_.try_emplace(
      limits.row, RowUse{limits, TokenBucket(limits.ratePerSecond, limits.burst, now), now, {}});
  RowUse& row = added.first->second;
  if (added.second && (demand.hadGrants || startedRecently)) {
    // Another owner may have granted the burst already, so it is not granted a second time.
    row.bucket = TokenBucket(limits.ratePerSecond, 0, now);
  }
  if (limits.rowVersion >= row.limits.rowVersion) {
    row.limits = limits;
  }
  return row;
}

double LimitOwner::rateOfSilentNodes(const RowUse& row, const NodeUse& asking, Time now) {
  double sum = 0;
  for (const auto& entry : row.nodes) {
    const NodeUse& node = entry.second;
    const bool isSilent = &node != &asking && now - node.reportedAt > kSilentAfter;
    sum += isSilent ? node.lastGrant.ratePerSecond : 0.0;
  }
  return sum;
}

double LimitOwner::fairRate(const RowUse& row, const NodeUse& node, double capacity) {
  std::vector<double> demands;
  size_t own = 0;
  double sum = 0;
  for (const auto& entry : row.nodes) {
    if (&entry.second == &node) {
      own = demands.size();
    }
    demands.push_back(entry.second.demandPerSecond);
    sum += entry.second.demandPerSecond;
  }
  // Unrequested capacity is distributed in proportion to demand, as headroom for nodes that become
  // partitioned from the owner.
  return sum > 0 && sum < capacity ? demands[own] * capacity / sum
                                   : maxMinShares(demands, capacity)[own];
}

void LimitOwner::grantTokens(RowUse& row, NodeUse& node, const LimitDemand& demand, Time now,
                             LimitGrant& grant) {
  const double tokensLeft = row.bucket.tokens(now);
  const bool isScarce = tokensLeft < row.limits.burst * kScarceBurstFraction;
  if (demand.neededTokens > 0 && tokensLeft > 0) {
    // All or nothing, and the bucket may go into debt; otherwise small requests would starve large
    // ones.
    const double stock = isScarce ? 0.0 : std::min(demand.wantedTokens, tokensLeft);
    grant.tokens = std::max(demand.neededTokens, stock);
    row.bucket.charge(grant.tokens, now);
    return;
  }
  double allowed = std::max(0.0, demand.wantedTokens);
  if (!isScarce) {
    grant.tokens = row.bucket.takeUpTo(allowed, now);
    return;
  }
  const bool isShort = grant.ratePerSecond < node.demandPerSecond;
  if (!isShort) {
    node.fairShare.reset();
  } else {
    const double burstLimit = 1.0 + grant.ratePerSecond * kFairShareBurstSeconds;
    if (!node.fairShare) {
      node.fairShare.emplace(grant.ratePerSecond, burstLimit, now);
    }
    node.fairShare->configure(grant.ratePerSecond, burstLimit, now);
    allowed = std::min(allowed, node.fairShare->tokens(now));
  }
  grant.tokens = row.bucket.takeUpTo(allowed, now);
  if (node.fairShare) {
    node.fairShare->takeUpTo(grant.tokens, now);
  }
}

int64_t LimitOwner::fairPlaces(const RowUse& row, const NodeUse& node, int64_t limit) {
  std::vector<int64_t> demands;
  size_t own = 0;
  for (const auto& entry : row.nodes) {
    if (&entry.second == &node) {
      own = demands.size();
    }
    demands.push_back(std::max(entry.second.inFlight, entry.second.wantedPlaces));
  }
  return placeShares(demands, limit)[own];
}

void LimitOwner::grantPlaces(RowUse& row, NodeUse& node, int64_t limit, Time now,
                             LimitGrant& grant) {
  if (now - row.ownedSince < knobs_.limitReportInterval * kLearningReportIntervals) {
    return;
  }
  int64_t others = 0;
  for (const auto& entry : row.nodes) {
    if (&entry.second != &node) {
      others += entry.second.outstandingPlaces();
    }
  }
  const int64_t free = std::max<int64_t>(0, limit - others);
  node.grantedPlaces = std::max(node.inFlight, std::min(fairPlaces(row, node, limit), free));
  grant.places = node.grantedPlaces;
  grant.placesConfirmed = true;
}

void LimitOwner::expire(Time now) {
  for (auto row = rows_.begin(); row != rows_.end();) {
    std::map<NodeId, NodeUse>& nodes = row->second.nodes;
    for (auto node = nodes.begin(); node != nodes.end();) {
      // Longer than the lease, so that the node has dropped its places before they are granted
      // again.
      const bool silent = now - node->second.reportedAt > knobs_.limitLeaseTime * 2;
      node = silent ? nodes.erase(node) : std::next(node);
    }
    row = nodes.empty() ? rows_.erase(row) : std::next(row);
  }
}

}  // namespace fernmoor
