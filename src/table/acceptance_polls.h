/// @file
/// Which nodes still lack a version whose acceptance somebody waits for.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/knobs.h"
#include "common/time.h"

namespace fernmoor {

/// Bookkeeping of direct questions to nodes; only answers to questions asked after the poll began
/// count. Not thread-safe.
class AcceptancePolls {
 public:
  explicit AcceptancePolls(const Knobs& knobs) : knobs_(knobs) {}

  /// Begins to ask the nodes; one poll for each version.
  /// @return kOverloaded where too many polls run.
  Result<Done> start(TableVersion version, const std::vector<NodeId>& nodes, Time now);
  /// Ends a poll.
  void stop(TableVersion version) { polls_.erase(version); }
  /// Takes a node's answer.
  /// @param query the number of the question that it answers.
  void onReply(NodeId node, uint64_t query, TableVersion inForce);
  /// @return nodes of the poll that have not reported the version, in order.
  std::vector<NodeId> lacking(TableVersion version) const;
  /// @return the nodes to be asked now, each once; they won't be named again for an interval.
  std::vector<NodeId> takeDue(Time now);
  /// @return a new number for the questions that are sent now.
  uint64_t nextQuery() { return ++lastQuery_; }

 private:
  struct Poll {
    std::set<NodeId> lacking;
    uint64_t lastQueryBefore = 0;
    Time nextQuestion;
  };

  Knobs knobs_;
  std::map<TableVersion, Poll> polls_;
  uint64_t lastQuery_ = 0;
};

}  // namespace fernmoor
