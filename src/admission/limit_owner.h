/// @file
/// Owner side of the distributed limits. For each row it owns, a node keeps the only token bucket
/// and the only count of places (concurrency slots), and grants tokens and places to the nodes that
/// ask. docs/ADMISSION.md gives the error bounds.
#pragma once

#include <algorithm>
#include <map>
#include <optional>

#include "admission/admission_request.h"
#include "admission/token_bucket.h"
#include "common/knobs.h"
#include "common/role.h"

namespace fernmoor {

/// A node's report of demand and request for tokens and places of one row.
struct LimitDemand {
  RowLimits limits;
  uint32_t sequence = 0;
  double demandPerSecond = 0;  ///< Smoothed, in limit units.
  double wantedTokens = 0;
  double neededTokens = 0;  ///< Part of wantedTokens that a waiting request needs, all or nothing.
  int64_t inFlight = 0;
  int64_t heldPlaces = 0;
  int64_t wantedPlaces = 0;  ///< Places that it could use now, including those in use.
  bool hadGrants = false;    ///< It received tokens or places before, possibly from another owner.
};

/// The owner's answer.
struct LimitGrant {
  RowKey row;
  uint32_t sequence = 0;
  double tokens = 0;
  double ratePerSecond = 0;      ///< Share of the rate that the node may rely on.
  int64_t places = 0;            ///< Places held from now on; valid if placesConfirmed.
  bool placesConfirmed = false;  ///< False: the node keeps the places it has.
};

/// State of the owner and its view of the cluster that affect its grants.
struct OwnerContext {
  /// Fraction of the known nodes that are reachable; 1 if none is absent. The limit is scaled by it
  /// so that both sides of a network partition together stay within the limit.
  double reachableShare = 1.0;
  /// The node started recently, so a previous owner may already have granted the burst.
  bool startedRecently = false;
};

/// Not thread-safe.
class LimitOwner {
 public:
  explicit LimitOwner(const Knobs& knobs);

  /// Answers a question. A repeated question (same sequence) gets the same answer again.
  LimitGrant onDemand(NodeLife from, const LimitDemand& demand, const OwnerContext& context,
                      Time now);
  /// Removes nodes that have been silent for two lease times, and rows without nodes.
  void expire(Time now);
  size_t rowCount() const { return rows_.size(); }

 private:
  struct NodeUse {
    NodeLife life;
    LimitGrant lastGrant;
    double demandPerSecond = 0;
    int64_t inFlight = 0;
    int64_t grantedPlaces = 0;
    int64_t reportedPlaces = 0;  ///< May be in use until a smaller grant reaches the node.
    int64_t wantedPlaces = 0;
    Time reportedAt;

    /// @return upper bound of the places that the node may be using now.
    int64_t outstandingPlaces() const {
      return std::max({grantedPlaces, reportedPlaces, inFlight});
    }
    /// Present only if the node's demand exceeded its fair rate when the row was last scarce.
    std::optional<TokenBucket> fairShare;
  };
  struct RowUse {
    RowLimits limits;
    TokenBucket bucket;
    Time ownedSince;
    std::map<NodeId, NodeUse> nodes;
  };

  RowUse& rowOf(const LimitDemand& demand, bool startedRecently, Time now);
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
