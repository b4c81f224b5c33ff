/// @file
/// The owner's side of limits that hold over all nodes. For each row it owns a node keeps the one
/// token bucket of the rate and the one count of places, and hands tokens and places to the nodes
/// that ask. docs/ADMISSION.md states the error.
#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "admission/admission_request.h"
#include "admission/token_bucket.h"
#include "common/knobs.h"
#include "common/role.h"

namespace fernmoor {

/// A node's question about one row.
struct LimitDemand {
  RowLimits limits;
  uint32_t sequence = 0;
  double demandPerSecond = 0;
  double wantedTokens = 0;
  double neededTokens = 0;  ///< Of these, what a request waits for; less is of no use to it.
  int64_t inFlight = 0;
  int64_t heldPlaces = 0;
  int64_t wantedPlaces = 0;  ///< Places that it could use now, the used ones included.
  bool hadGrants = false;    ///< It was given tokens or places before, perhaps by another owner.
};

/// The owner's answer.
struct LimitGrant {
  RowKey row;
  uint32_t sequence = 0;
  double tokens = 0;
  double ratePerSecond = 0;      ///< That the node may count on.
  int64_t places = 0;            ///< That it holds from now on, where confirmed.
  bool placesConfirmed = false;  ///< False: it goes on with what it has.
};

/// What an owner knows of itself and of its surroundings.
struct OwnerSituation {
  /// Part of the nodes that it can hear of, so that the two sides of a cut together keep the limit;
  /// 1 where none is absent.
  double reachableShare = 1.0;
  /// It was started a moment ago, so another one may have given out the burst before it.
  bool isYoung = false;
};

/// Not thread-safe.
class LimitOwner {
 public:
  explicit LimitOwner(const Knobs& knobs);

  /// Answers a question. One that comes again gets the same answer.
  LimitGrant onDemand(NodeLife from, const LimitDemand& demand, const OwnerSituation& situation,
                      Time now);
  /// Forgets nodes that are silent for a lease time, and rows without nodes.
  void expire(Time now);
  size_t rowCount() const { return rows_.size(); }

 private:
  struct NodeUse {
    NodeLife life;
    LimitGrant lastGrant;
    double demandPerSecond = 0;
    int64_t inFlight = 0;
    int64_t grantedPlaces = 0;
    int64_t reportedPlaces = 0;  ///< It uses these until it has heard of a smaller grant.
    int64_t wantedPlaces = 0;
    Time reportedAt;

    /// @return places that it may be using now.
    int64_t outstandingPlaces() const {
      return std::max({grantedPlaces, reportedPlaces, inFlight});
    }
    std::optional<TokenBucket> fairShare;  ///< Only while the row is short.
  };
  struct RowUse {
    RowLimits limits;
    TokenBucket bucket;
    Time ownedSince;
    std::map<NodeId, NodeUse> nodes;
  };

  RowUse& rowOf(const LimitDemand& demand, bool isYoung, Time now);
  static double rateOfSilentNodes(const RowUse& row, const NodeUse& asking, Time now);
  void grantTokens(RowUse& row, NodeUse& node, const LimitDemand& demand, Time now,
                   LimitGrant& grant);
  void grantPlaces(RowUse& row, NodeUse& node, int64_t limit, Time now, LimitGrant& grant);
  static double fairRate(const RowUse& row, const NodeUse& node, double capacity);
  static int64_t fairPlaces(const RowUse& row, const NodeUse& node, int64_t limit);

  const Knobs knobs_;
  std::map<RowKey, RowUse> rows_;
};

}  // namespace fernmoor
