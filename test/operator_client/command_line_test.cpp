/// @file
/// Tests of src/operator_client/command_line.h against a fake node.
#include "operator_client/command_line.h"

#include <Poco/TemporaryFile.h>
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "fake_node.h"
#include "http/json_text.h"

namespace fernmoor {

namespace {

const char* const kTable =
    R"({"version":12,"rows":[{"service":"alerts","tenant":"ward","priority":1,"weight":2.0,)"
    R"("enabled":true,"row_version":9}]})";

/// One run of the program.
struct Run {
  ExitCode code;
  std::string out;
  std::string err;
};

struct Bench {
  FakeNode node;
  ClientOptions options;

  Bench() {
    options.node = node.address();
    options.operatorKey = "operator-key";
  }
  Run run(const CommandWords& words) const {
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = runCommand(options, words, out, err);
    return {code, out.str(), err.str()};
  }
};

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("table get shows rows, asks for one row, and sends the operator key") {
  Bench bench;
  bench.node.answer("GET /operator/table", 200, kTable);
  bench.node.answer("GET /operator/table?service=alerts&tenant=ward", 200, kTable);
  const Run all = bench.run({"table", "get"});
  CHECK((all.code == ExitCode::kOk));
  CHECK(contains(all.out, "table version 12\nSERVICE  TENANT"));
  CHECK(contains(bench.run({"table", "get", "alerts", "ward"}).out, "priority     1"));
  CHECK(bench.node.seen().at(0).authorization == "Bearer operator-key");
}

TEST_CASE("table set sends typed cells and the version that it was based on") {
  Bench bench;
  bench.node.answer("GET /operator/table?service=alerts&tenant=ward", 200, kTable);
  bench.node.answer("POST /operator/table", 200,
                    R"({"status":"accepted","version":13,"missing_nodes":[]})");
  const Run run = bench.run({"table", "set", "alerts", "ward", "priority=0", "enabled=false",
                             "model=m-1", "adapter=\"7\"", "weight=0.5"});
  CHECK((run.code == ExitCode::kOk));
  CHECK(contains(run.out, "accepted: version 13"));
  const auto request = valueOf(parseJsonObject(bench.node.seen().at(1).body));
  CHECK(integerMember(*request, "base_version") == 12);
  CHECK(stringMember(*request, "change_id").size() == 36);
  const auto change = request->getArray("changes")->getObject(0);
  CHECK(toText(*change->getObject("columns")) ==
        R"({"adapter":"7","enabled":false,"model":"m-1","priority":0,"weight":0.5})");
}

TEST_CASE("a change that is only stored names the nodes that lack it and exits 1") {
  Bench bench;
  bench.options.baseVersion = TableVersion(12);
  bench.node.answer("POST /operator/table", 200,
                    R"({"status":"stored","version":13,"missing_nodes":[2,3]})");
  const Run run = bench.run({"table", "delete", "alerts", "ward"});
  CHECK((run.code == ExitCode::kRefused));
  CHECK(contains(run.out, "nodes that lack it: 2, 3"));
  CHECK(contains(bench.node.seen().at(0).body, R"("columns":null)"));
}

TEST_CASE("a conflict shows both sides and exits 4") {
  Bench bench;
  bench.options.baseVersion = TableVersion(8);
  bench.node.answer("POST /operator/table", 409,
                    R"({"kind":"conflict","message":"the row was changed.","base":{"priority":5,)"
                    R"("weight":1},"theirs":{"priority":1,"weight":1},"mine":{"priority":0}})");
  const Run run = bench.run({"table", "set", "alerts", "ward", "priority=0"});
  CHECK((run.code == ExitCode::kConflict));
  CHECK(contains(run.err, "priority  5     1       0"));
  CHECK_FALSE(contains(run.err, "weight"));
  bench.node.answer(
      "POST /operator/table", 409,
      R"({"kind":"conflict","message":"one row was removed.","conflicts":[{"service":)"
      R"("alerts","tenant":"ward","base":{"priority":5},"theirs":null,"mine":)"
      R"({"priority":0}}]})");
  const std::string removed = bench.run({"table", "set", "alerts", "ward", "priority=0"}).err;
  CHECK(contains(removed, "alerts of ward:"));
  CHECK(contains(removed, "priority  5     -       0"));
}

TEST_CASE("wrong cells are listed with their remedy") {
  Bench bench;
  bench.options.baseVersion = TableVersion(8);
  bench.options.output = OutputFormat::kJson;
  bench.node.answer("POST /operator/table", 400,
                    R"({"kind":"invalid_request","message":"1 cell.","problems":[{"row":"alerts:)"
                    R"(ward","column":"priority","found":"12","remedy":"give 0 to 9"}]})");
  const Run run = bench.run({"table", "set", "alerts", "ward", "priority=12"});
  CHECK((run.code == ExitCode::kRefused));
  CHECK(contains(run.err, "give 0 to 9"));
  CHECK(isOk(parseJsonObject(run.out)));
}

TEST_CASE("table diff and apply change only the columns that differ") {
  Bench bench;
  bench.node.answer("GET /operator/table", 200, kTable);
  bench.node.answer("POST /operator/table", 200,
                    R"({"status":"accepted","version":13,"missing_nodes":[]})");
  const Poco::TemporaryFile base;
  const std::string path = base.path() + ".toml";
  std::ofstream(path) << "version = 11\n[[rows]]\nservice = \"alerts\"\ntenant = \"ward\"\n"
                         "priority = 0\nweight = 2\n[[rows]]\nservice = \"audit\"\n"
                         "tenant = \"agency\"\nmodel = \"m\"\n";
  const Run diff = bench.run({"table", "diff", path});
  CHECK((diff.code == ExitCode::kRefused));
  CHECK(contains(diff.out, "alerts   ward    priority   1         0"));
  CHECK(contains(diff.out, "audit    agency  (new row)"));
  CHECK((bench.run({"table", "apply", path}).code == ExitCode::kOk));
  const std::string body = bench.node.seen().back().body;
  CHECK(contains(body, R"("base_version":11)"));
  CHECK(contains(body, R"({"columns":{"priority":0},"service":"alerts","tenant":"ward"})"));
  std::remove(path.c_str());
}

TEST_CASE("applying the table's own JSON changes nothing, nor does a bare list of its rows") {
  Bench bench;
  bench.node.answer("GET /operator/table", 200, kTable);
  const Poco::TemporaryFile list;
  std::ofstream(list.path()) << R"([{"service":"alerts","tenant":"ward","priority":1}])";
  CHECK(bench.run({"table", "diff", list.path()}).out == "no differences\n");
  const Poco::TemporaryFile file;
  std::ofstream(file.path()) << kTable;
  const Run run = bench.run({"table", "apply", file.path()});
  CHECK((run.code == ExitCode::kOk));
  CHECK(run.out == "no differences\n");
}

TEST_CASE("explain and engines speak the node's endpoints") {
  Bench bench;
  bench.node.answer("GET /operator/explain/r%2F1", 200,
                    R"({"request":"r/1","tenant":"ward","service":"alerts","outcome":"answered",)"
                    R"("run":"ran","queue_ms":3,"attempts":[{"attempt":"r/1-1","engine":"e2",)"
                    R"("reason":"least expected time","expected_ms":41,"result":"ended",)"
                    R"("considered":[{"engine":"e1","matched_blocks":4,"expected_ms":90}]}]})");
  bench.node.answer("GET /operator/engines", 200, R"({"engines":[{"id":"e\u001b[2J1"}]})");
  CHECK(contains(bench.run({"explain", "r/1"}).out, "on engine e2: least expected time"));
  CHECK(contains(bench.run({"engines"}).out, "e?[2J1"));
}

TEST_CASE("drain tells the node itself, and every live node of an engine") {
  Bench bench;
  FakeNode other;
  const std::string own = formatSocketAddress(bench.node.address());
  const std::string others = formatSocketAddress(other.address());
  bench.node.answer("GET /operator/nodes", 200,
                    R"({"nodes":[{"node_id":2,"state":"alive","http":")" + own +
                        R"("},{"node_id":3,"state":"alive","http":")" + others +
                        R"("},{"node_id":4,"state":"dead","http":"127.0.0.1:1"}]})");
  bench.node.answer("POST /operator/drain", 200, "{}");
  other.answer("POST /operator/drain", 200, "{}");
  CHECK((bench.run({"drain", "3"}).code == ExitCode::kOk));
  REQUIRE(other.seen().size() == 1);
  CHECK(other.seen().back().body == R"({"id":"3","kind":"node"})");
  CHECK((bench.run({"drain", "engine-3"}).code == ExitCode::kOk));
  CHECK(bench.node.seen().back().body == R"({"id":"engine-3","kind":"engine"})");
  CHECK(other.seen().size() == 2);
  CHECK((bench.run({"drain", "4"}).code == ExitCode::kRefused));
}

TEST_CASE("a conflict without a base shows where the sides differ") {
  Bench bench;
  bench.options.baseVersion = TableVersion(8);
  bench.node.answer("POST /operator/table", 409,
                    R"({"kind":"conflict","message":"x.","conflicts":[{"service":"a","tenant":"b",)"
                    R"("theirs":{"priority":1,"weight":1},"mine":{"priority":0,"weight":1}}]})");
  const std::string shown = bench.run({"table", "set", "a", "b", "priority=0"}).err;
  CHECK(contains(shown, "priority  -     1       0"));
  CHECK_FALSE(contains(shown, "weight"));
}

TEST_CASE("help shows the commands and every knob") {
  const Bench bench;
  CHECK(contains(bench.run({"help"}).out, "Exit codes:"));
  CHECK(contains(bench.run({"help", "knobs"}).out, "maxDatagramBytes"));
}

TEST_CASE("wrong usage, a refused key and an absent node have their own exit codes") {
  Bench bench;
  for (const CommandWords& words :
       std::vector<CommandWords>{{},
                                 {"tabel"},
                                 {"table"},
                                 {"table", "set", "a", "b"},
                                 {"table", "set", "a", "b", "x"},
                                 {"drain"},
                                 {"table", "apply", "no-such-file.json"}}) {
    CHECK((bench.run(words).code == ExitCode::kUsage));
  }
  CHECK(bench.node.seen().empty());
  bench.node.answer("GET /operator/nodes", 401,
                    R"({"error":{"kind":"unauthorized","message":"unknown key; check --key."}})");
  const Run refused = bench.run({"nodes"});
  CHECK((refused.code == ExitCode::kRefused));
  CHECK(refused.err == "unauthorized: unknown key; check --key.\n");
  bench.options.node = SocketAddress{"127.0.0.1", 1};
  CHECK((bench.run({"nodes"}).code == ExitCode::kUnreachable));
}

TEST_CASE("a change whose answer is lost can be asked for by its id") {
  Bench bench;
  bench.options.baseVersion = TableVersion(8);
  bench.options.node = SocketAddress{"127.0.0.1", 1};
  const Run run = bench.run({"table", "set", "a", "b", "priority=1"});
  CHECK((run.code == ExitCode::kUnreachable));
  CHECK(contains(run.err, "--change_id="));
  CHECK(contains(run.err, "--base_version=8"));
}

}  // namespace fernmoor
