#include "table/acceptance_polls.h"

namespace fernmoor {

Result<Done> AcceptancePolls::start(TableVersion version, const std::vector<NodeId>& nodes,
                                    Time now) {
  if (polls_.count(version) == 0 &&
      polls_.size() >= static_cast<size_t>(knobs_.tableAcceptancesKept)) {
    return Error{ErrorKind::kOverloaded,
                 "too many table changes wait for acceptance; wait for some of them to end.",
                 RunState::kNotRun, knobs_.tableAcceptanceWait};
  }
  Poll& poll = polls_[version];
  poll.lacking.insert(nodes.begin(), nodes.end());
  poll.lastQueryBefore = lastQuery_;
  poll.nextQuestion = now;
  return Done{};
}

void AcceptancePolls::onReply(NodeId node, uint64_t query, TableVersion inForce) {
  for (auto& [version, poll] : polls_) {
    if (inForce >= version && query > poll.lastQueryBefore) {
      poll.lacking.erase(node);
    }
  }
}

std::vector<NodeId> AcceptancePolls::lacking(TableVersion version) const {
  const auto poll = polls_.find(version);
  if (poll == polls_.end()) {
    return {};
  }
  return {poll->second.lacking.begin(), poll->second.lacking.end()};
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
