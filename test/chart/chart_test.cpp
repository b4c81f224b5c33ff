/// @file
/// Tests of src/chart/chart.h and src/chart/typed_chart.h.
#include "chart/chart.h"

#include <doctest/doctest.h>

#include "chart/typed_chart.h"

namespace fernmoor {

namespace {

const std::vector<std::string> kStates = {"idle", "busy", "done"};
const std::vector<std::string> kEvents = {"start", "finish"};
const char* const kBody = R"(
  <state id="idle"><transition event="start" target="busy"/></state>
  <state id="busy"><transition event="finish" target="done"/></state>
  <final id="done"/>)";

Result<Chart> parseBody(const std::string& body, const std::string& initial = "idle") {
  const std::string text = R"(<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0")"
                           R"( name="job" initial=")" +
                           initial + "\">" + body + "</scxml>";
  return Chart::parse("job", text, kStates, kEvents);
}

void checkFault(const std::string& body, const std::string& fault) {
  const Result<Chart> chart = parseBody(body);
  REQUIRE_FALSE(isOk(chart));
  CAPTURE(errorOf(chart).message);
  CHECK(errorOf(chart).message.find(fault) != std::string::npos);
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

enum class NodeState { kStarting, kServing, kDraining, kStopped };
enum class NodeEvent { kReady, kStop, kIdle };

}  // namespace

TEST_CASE("a chart moves by its transitions and refuses other events by name") {
  const Result<Chart> chart = parseBody(kBody);
  REQUIRE(isOk(chart));
  ChartInstance instance(valueOf(chart));
  const auto refused = instance.fire(EventIndex(1));
  REQUIRE_FALSE(isOk(refused));
  CHECK((errorOf(refused).kind == ErrorKind::kInternal));
  CHECK(errorOf(refused).message.find(
            "chart job has no transition for event finish in state idle") != std::string::npos);
  CHECK(instance.state() == StateIndex(0));
  REQUIRE(isOk(instance.fire(EventIndex(0))));
  REQUIRE(isOk(instance.fire(EventIndex(1))));
  CHECK(instance.isFinished());
}

TEST_CASE("a faulty chart is refused") {
  const std::string body = kBody;
  checkFault(replaced(body, "target=\"busy\"", "target=\"nowhere\""), "target \"nowhere\"");
  checkFault(replaced(body, "event=\"start\"", "event=\"begin\""), "event \"begin\"");
  checkFault(body + "<state id=\"lost\"/>", "state \"lost\" is unknown");
  checkFault(replaced(body, "<final id=\"done\"/>", ""), "is no state of the chart");
  checkFault(replaced(body, "target=\"done\"", "target=\"busy\""), "state done cannot be reached");
  checkFault(replaced(body, "target=\"done\"", "target=\"busy\""),
             "no final state can be reached from state busy");
  checkFault(replaced(body, "<final id=\"done\"/>", "<final id=\"done\"/><final id=\"done\"/>"),
             "state done is there twice");
  checkFault(replaced(body, "target=\"busy\"/>",
                      "target=\"busy\"/>"
                      "<transition event=\"start\" target=\"done\"/>"),
             "two transitions for event start");
  checkFault(replaced(body, "target=\"busy\"", "target=\"busy\" cond=\"x\""), "attribute cond");
  checkFault(replaced(body, "<transition event=\"start\"", "<onentry/><transition event=\"start\""),
             "<onentry>");
  checkFault(replaced(body, "event=\"finish\"", "event=\"start\""),
             "event finish of the code is not in the chart");
  checkFault("<state", "no well-formed XML");
  CHECK_FALSE(isOk(parseBody(kBody, "nowhere")));
}

TEST_CASE("a chart is drawn with its first and final states") {
  CHECK(valueOf(parseBody(kBody)).drawMermaid() ==
        "stateDiagram-v2\n  [*] --> idle\n  idle --> busy : start\n  busy --> done : finish\n"
        "  done --> [*]\n");
}

TEST_CASE("the embedded node chart runs over enumerations") {
  const auto chart = TypedChart<NodeState, NodeEvent>::fromEmbedded(
      "node", {"starting", "serving", "draining", "stopped"}, {"ready", "stop", "idle"});
  TypedChartInstance<NodeState, NodeEvent> life(chart);
  CHECK_FALSE(life.accepts(NodeEvent::kIdle));
  REQUIRE(isOk(life.fire(NodeEvent::kReady)));
  CHECK(life.state() == NodeState::kServing);
  CHECK_FALSE(isOk(life.fire(NodeEvent::kIdle)));
  REQUIRE(isOk(life.fire(NodeEvent::kStop)));
  REQUIRE(isOk(life.fire(NodeEvent::kIdle)));
  CHECK(life.isFinished());
}

}  // namespace fernmoor
