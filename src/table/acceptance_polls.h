/// @file
/// Which nodes still lack a version whose acceptance somebody waits for. Nodes are asked in two
/// rounds: without the second one, a node that reported the version might restart and take an older
/// table from a peer that has not got the version yet, before the last node reports it.
/// The rules are those of spec/table.pml, which names what goes wrong without each.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/knobs.h"
#include "common/role.h"
#include "common/time.h"

namespace fernmoor {

/// One wait for a version's acceptance. Two waits for one version are two polls, so that the end of
/// one can't make the other look done.
using AcceptancePollId = NumberId<struct AcceptancePollIdTag>;

/// Bookkeeping of direct questions to nodes; only answers to questions asked after the poll, and
/// for the second round after that round, began count. Not thread-safe.
class AcceptancePolls {
 public:
  explicit AcceptancePolls(const Knobs& knobs) : knobs_(knobs) {}

  /// Begins a poll, of no nodes yet.
  /// @return kOverloaded where too many polls run.
  Result<AcceptancePollId> start(TableVersion version, Time now);
  /// Sets the nodes to ask. Reports of those that stay are kept; a new node's report begins the
  /// second round anew; a node that is asked no more holds nothing up.
  void setNodes(AcceptancePollId poll, const std::vector<NodeId>& nodes);
  /// Ends a poll.
  void stop(AcceptancePollId poll) { polls_.erase(poll); }
  /// Takes a node's answer.
  /// @param node the node in the life in which it answered.
  /// @param query the number of the question that it answers.
  void onReply(NodeLife node, uint64_t query, TableVersion inForce);
  /// @return nodes of the poll that have not reported the version in the present round, in order;
  ///     none once each reported it in both rounds, in one life.
  std::vector<NodeId> lacking(AcceptancePollId poll) const;
  /// @return the nodes to be asked now, each once; they won't be named again for an interval.
  std::vector<NodeId> takeDue(Time now);
  /// @return a new number for the questions that are sent now.
  uint64_t nextQuery() { return ++lastQuery_; }

 private:
  struct Poll {
    TableVersion version;
    std::set<NodeId> nodes;
    std::map<NodeId, Incarnation> first;  ///< Life in which each reported in the first round.
    std::set<NodeId> second;              ///< Nodes that reported again in that life.
    uint64_t lastQueryBefore = 0;         ///< Before the present round.
    Time nextQuestion;

    bool firstRoundDone() const { return first.size() == nodes.size(); }
    std::vector<NodeId> lacking() const;
  };
  void takeFirstReport(Poll& poll, NodeLife node) const;
  void beginSecondRound(Poll& poll) const;

  Knobs knobs_;
  std::map<AcceptancePollId, Poll> polls_;
  uint64_t lastPoll_ = 0;
  uint64_t lastQuery_ = 0;
};

}  // namespace fernmoor
