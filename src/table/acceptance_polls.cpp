#include "table/acceptance_polls.h"

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

void AcceptancePolls::addNodes(AcceptancePollId poll, const std::vector<NodeId>& nodes) {
  const auto found = polls_.find(poll);
  if (found != polls_.end()) {
    found->second.lacking.insert(nodes.begin(), nodes.end());
  }
}

void AcceptancePolls::onReply(NodeId node, uint64_t query, TableVersion inForce) {
  for (auto& entry : polls_) {
    Poll& poll = entry.second;
    if (inForce >= poll.version && query > poll.lastQueryBefore) {
      poll.lacking.erase(node);
    }
  }
}

std::vector<NodeId> AcceptancePolls::lacking(AcceptancePollId poll) const {
  const auto found = polls_.find(poll);
  if (found == polls_.end()) {
    return {};
  }
  return {found->second.lacking.begin(), found->second.lacking.end()};
}

std::vector<NodeId> AcceptancePolls::takeDue(Time now) {
  std::set<NodeId> due;
  for (auto& entry : polls_) {
    Poll& poll = entry.second;
    if (poll.nextQuestion <= now) {
      poll.nextQuestion = now + knobs_.tableAcceptanceInterval;
      due.insert(poll.lacking.begin(), poll.lacking.end());
    }
  }
  return {due.begin(), due.end()};
}

}  // namespace fernmoor
