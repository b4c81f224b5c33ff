#include "table/acceptance_polls.h"

#include <utility>

namespace fernmoor {

Result<AcceptancePollId> AcceptancePolls::start(TableVersion version, Time now) {
  if (polls_.size() >= static_cast<size_t>(knobs_.tableAcceptancesKept)) {
    return Error{ErrorKind::kOverloaded,
                 "too many table changes wait for acceptance; wait for some of them to end.",
                 RunState::kNotRun, knobs_.tableAcceptanceWait};
  }
  const AcceptancePollId id(++lastPoll_);
  Poll& poll = polls_[id];
  poll.version = version;
  poll.lastQueryBefore = lastQuery_;
  poll.nextQuestion = now;
  return id;
}

void AcceptancePolls::setNodes(AcceptancePollId id, const std::vector<NodeId>& nodes) {
  const auto found = polls_.find(id);
  if (found == polls_.end()) {
    return;
  }
  Poll& poll = found->second;
  const bool wasDone = poll.firstRoundDone();
  std::map<NodeId, Incarnation> first;
  for (const NodeId node : nodes) {
    const auto report = poll.first.find(node);
    if (report != poll.first.end()) {
      first.insert(*report);
    }
  }
  poll.first = std::move(first);
  poll.nodes = std::set<NodeId>(nodes.begin(), nodes.end());
  if (!wasDone && poll.firstRoundDone()) {
    beginSecondRound(poll);  // The last one to wait for is asked no more.
  }
}

void AcceptancePolls::onReply(NodeLife node, uint64_t query, TableVersion inForce) {
  for (auto& entry : polls_) {
    Poll& poll = entry.second;
    const bool counts = inForce >= poll.version && query > poll.lastQueryBefore;
    if (!counts || poll.nodes.count(node.node) == 0) {
      continue;
    }
    const auto report = poll.first.find(node.node);
    if (report == poll.first.end()) {
      takeFirstReport(poll, node);
      continue;
    }
    if (!poll.firstRoundDone()) {
      continue;  // A repeated answer; the second round is asked after all have reported.
    }
    // Rule of the model: WITHOUT_SAME_LIFE. The node may have had an older table since it reported.
    if (report->second != node.incarnation) {
      takeFirstReport(poll, node);
      continue;
    }
    // Rule of the model: WITHOUT_SECOND_ROUND.
    poll.second.insert(node.node);
  }
}

void AcceptancePolls::takeFirstReport(Poll& poll, NodeLife node) const {
  poll.first[node.node] = node.incarnation;
  if (poll.firstRoundDone()) {
    beginSecondRound(poll);
  }
}

/// All nodes are asked again, at the next tick: by questions sent after the last report of the
/// first round, since only then all of them had the version at one instant.
void AcceptancePolls::beginSecondRound(Poll& poll) const {
  poll.second.clear();
  poll.lastQueryBefore = lastQuery_;
  poll.nextQuestion = Time();
}

std::vector<NodeId> AcceptancePolls::Poll::lacking() const {
  const bool isSecondRound = firstRoundDone();
  std::vector<NodeId> lacking;
  for (const NodeId node : nodes) {
    const bool reported = isSecondRound ? second.count(node) > 0 : first.count(node) > 0;
    if (!reported) {
      lacking.push_back(node);
    }
  }
  return lacking;
}

std::vector<NodeId> AcceptancePolls::lacking(AcceptancePollId poll) const {
  const auto found = polls_.find(poll);
  return found == polls_.end() ? std::vector<NodeId>() : found->second.lacking();
}

std::vector<NodeId> AcceptancePolls::takeDue(Time now) {
  std::set<NodeId> due;
  for (auto& entry : polls_) {
    Poll& poll = entry.second;
    if (poll.nextQuestion <= now) {
      poll.nextQuestion = now + knobs_.tableAcceptanceInterval;
      const std::vector<NodeId> lacking = poll.lacking();
      due.insert(lacking.begin(), lacking.end());
    }
  }
  return {due.begin(), due.end()};
}

}  // namespace fernmoor
