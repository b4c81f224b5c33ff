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

/// One wait for a version's acceptance. Two waits for one version are two polls, so that the end of
/// one can't make the other look done.
using AcceptancePollId = NumberId<struct AcceptancePollIdTag>;

/// Bookkeeping of direct questions to nodes; only answers to questions asked after the poll began
/// count. Not thread-safe.
class AcceptancePolls {
 public:
  explicit AcceptancePolls(const Knobs& knobs) : knobs_(knobs) {}

  /// Begins a poll, of no nodes yet.
  /// @return kOverloaded where too many polls run.
  Result<AcceptancePollId> start(TableVersion version, Time now);
  /// Adds nodes to ask.
  void addNodes(AcceptancePollId poll, const std::vector<NodeId>& nodes);
  /// Ends a poll.
  void stop(AcceptancePollId poll) { polls_.erase(poll); }
  /// Takes a node's answer.
  /// @param query the number of the question that it answers.
  void onReply(NodeId node, uint64_t query, TableVersion inForce);
  /// @return nodes of the poll that have not reported the version, in order.
  std::vector<NodeId> lacking(AcceptancePollId poll) const;
  /// @return the nodes to be asked now, each once; they won't be named again for an interval.
  std::vector<NodeId> takeDue(Time now);
  /// @return a new number for the questions that are sent now.
  uint64_t nextQuery() { return ++lastQuery_; }

 private:
  struct Poll {
    TableVersion version;
    std::set<NodeId> lacking;
    uint64_t lastQueryBefore = 0;
    Time nextQuestion;
  };

  Knobs knobs_;
  std::map<AcceptancePollId, Poll> polls_;
  uint64_t lastPoll_ = 0;
  uint64_t lastQuery_ = 0;
};

}  // namespace fernmoor
