/// @file
/// Tests of src/table/acceptance_polls.h.
#include "table/acceptance_polls.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace fernmoor {

namespace {

AcceptancePollId startPoll(AcceptancePolls& polls, uint64_t version,
                           const std::vector<NodeId>& asked) {
  const auto poll = polls.start(TableVersion(version), Time());
  REQUIRE(isOk(poll));
  polls.setNodes(valueOf(poll), asked);
  return valueOf(poll);
}

NodeLife lifeOf(uint32_t node, uint64_t incarnation = 1) {
  return NodeLife{NodeId(node), Incarnation(incarnation)};
}

std::vector<NodeId> nodes(std::initializer_list<uint32_t> numbers) {
  std::vector<NodeId> ids;
  for (const uint32_t number : numbers) {
    ids.emplace_back(number);
  }
  return ids;
}

/// A poll of version 4 at nodes 1 and 2, which both reported it once, in their first lives.
struct AfterFirstRound {
  AfterFirstRound() : poll(startPoll(polls, 4, nodes({1, 2}))) {
    polls.onReply(lifeOf(1), firstQuery, TableVersion(4));
    polls.onReply(lifeOf(2), firstQuery, TableVersion(4));
  }
  AcceptancePolls polls{Knobs()};
  AcceptancePollId poll;
  uint64_t firstQuery = polls.nextQuery();
};

}  // namespace

TEST_CASE("only answers to questions asked after a poll began count for it") {
  AcceptancePolls polls{Knobs()};
  const uint64_t early = polls.nextQuery();
  const AcceptancePollId poll = startPoll(polls, 4, nodes({1, 2}));
  CHECK(polls.takeDue(Time()).size() == 2);
  CHECK(polls.takeDue(Time(Duration(1))).empty());
  const uint64_t query = polls.nextQuery();
  polls.onReply(lifeOf(1), early, TableVersion(4));
  polls.onReply(lifeOf(2), query, TableVersion(3));
  CHECK(polls.lacking(poll).size() == 2);
  polls.onReply(lifeOf(1), query, TableVersion(5));
  CHECK(polls.lacking(poll) == nodes({2}));
}

TEST_CASE("a version is accepted after a second round, of questions asked after the first one") {
  AfterFirstRound round;
  CHECK(round.polls.lacking(round.poll) == nodes({1, 2}));
  CHECK(round.polls.takeDue(Time()) == nodes({1, 2}));
  round.polls.onReply(lifeOf(1), round.firstQuery, TableVersion(4));
  CHECK(round.polls.lacking(round.poll) == nodes({1, 2}));
  const uint64_t query = round.polls.nextQuery();
  round.polls.onReply(lifeOf(1), query, TableVersion(4));
  CHECK(round.polls.lacking(round.poll) == nodes({2}));
  round.polls.onReply(lifeOf(2), query, TableVersion(3));
  CHECK(round.polls.lacking(round.poll) == nodes({2}));
  round.polls.onReply(lifeOf(2), query, TableVersion(5));
  CHECK(round.polls.lacking(round.poll).empty());
}

TEST_CASE("a node that answers the second round in another life begins that round anew for all") {
  AfterFirstRound round;
  const uint64_t query = round.polls.nextQuery();
  round.polls.onReply(lifeOf(1), query, TableVersion(4));
  round.polls.onReply(lifeOf(2, 2), query, TableVersion(4));
  CHECK(round.polls.lacking(round.poll) == nodes({1, 2}));
  round.polls.onReply(lifeOf(2, 2), query, TableVersion(4));
  CHECK(round.polls.lacking(round.poll) == nodes({1, 2}));
  const uint64_t next = round.polls.nextQuery();
  round.polls.onReply(lifeOf(1), next, TableVersion(4));
  round.polls.onReply(lifeOf(2, 2), next, TableVersion(4));
  CHECK(round.polls.lacking(round.poll).empty());
}

TEST_CASE("a node that joins begins both rounds, one that is asked no more holds neither up") {
  AfterFirstRound round;
  const uint64_t query = round.polls.nextQuery();
  round.polls.onReply(lifeOf(1), query, TableVersion(4));
  round.polls.setNodes(round.poll, nodes({1, 2, 3}));
  CHECK(round.polls.lacking(round.poll) == nodes({3}));
  round.polls.onReply(lifeOf(2), query, TableVersion(4));
  round.polls.setNodes(round.poll, nodes({1, 2}));
  CHECK(round.polls.lacking(round.poll) == nodes({1, 2}));
  round.polls.setNodes(round.poll, nodes({1, 2, 3}));
  round.polls.onReply(lifeOf(3), round.polls.nextQuery(), TableVersion(4));
  CHECK(round.polls.lacking(round.poll) == nodes({1, 2, 3}));
}

TEST_CASE("the end of one poll doesn't make another one of the same version look done") {
  AcceptancePolls polls{Knobs()};
  const AcceptancePollId first = startPoll(polls, 4, nodes({1}));
  const AcceptancePollId second = startPoll(polls, 4, nodes({1}));
  polls.stop(first);
  CHECK(polls.lacking(second) == nodes({1}));
}

TEST_CASE("polls are bounded") {
  Knobs knobs;
  knobs.tableAcceptancesKept = 1;
  AcceptancePolls polls(knobs);
  const AcceptancePollId poll = startPoll(polls, 1, nodes({1}));
  const auto refused = polls.start(TableVersion(2), Time());
  REQUIRE_FALSE(isOk(refused));
  CHECK((errorOf(refused).kind == ErrorKind::kOverloaded));
  polls.stop(poll);
  CHECK(isOk(polls.start(TableVersion(2), Time())));
}

}  // namespace fernmoor
