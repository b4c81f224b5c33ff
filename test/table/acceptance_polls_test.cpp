/// @file
/// Tests of src/table/acceptance_polls.h.
#include "table/acceptance_polls.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

AcceptancePollId startPoll(AcceptancePolls& polls, uint64_t version,
                           const std::vector<NodeId>& nodes) {
  const auto poll = polls.start(TableVersion(version), Time());
  REQUIRE(isOk(poll));
  polls.addNodes(valueOf(poll), nodes);
  return valueOf(poll);
}

}  // namespace

TEST_CASE("only answers to questions asked after a poll began count for it") {
  AcceptancePolls polls{Knobs()};
  const uint64_t early = polls.nextQuery();
  const AcceptancePollId poll = startPoll(polls, 4, {NodeId(1), NodeId(2)});
  CHECK(polls.takeDue(Time()).size() == 2);
  CHECK(polls.takeDue(Time(Duration(1))).empty());
  const uint64_t query = polls.nextQuery();
  polls.onReply(NodeId(1), early, TableVersion(4));
  polls.onReply(NodeId(2), query, TableVersion(3));
  CHECK(polls.lacking(poll).size() == 2);
  polls.onReply(NodeId(1), query, TableVersion(5));
  CHECK(polls.lacking(poll) == std::vector<NodeId>{NodeId(2)});
}

TEST_CASE("the end of one poll doesn't make another one of the same version look done") {
  AcceptancePolls polls{Knobs()};
  const AcceptancePollId first = startPoll(polls, 4, {NodeId(1)});
  const AcceptancePollId second = startPoll(polls, 4, {NodeId(1)});
  polls.stop(first);
  CHECK(polls.lacking(second) == std::vector<NodeId>{NodeId(1)});
}

TEST_CASE("polls are bounded") {
  Knobs knobs;
  knobs.tableAcceptancesKept = 1;
  AcceptancePolls polls(knobs);
  const AcceptancePollId poll = startPoll(polls, 1, {NodeId(1)});
  const auto refused = polls.start(TableVersion(2), Time());
  REQUIRE_FALSE(isOk(refused));
  CHECK((errorOf(refused).kind == ErrorKind::kOverloaded));
  polls.stop(poll);
  CHECK(isOk(polls.start(TableVersion(2), Time())));
}

}  // namespace fernmoor
