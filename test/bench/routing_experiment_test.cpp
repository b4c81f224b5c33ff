/// @file
/// Tests of src/bench/routing_experiment.h.
#include "bench/routing_experiment.h"

#include <doctest/doctest.h>

#include "bench/comparison.h"
#include "bench/policy_table.h"

namespace fernmoor::bench {

namespace {

const char* const kWorkload = R"(
name = "small"
[fleet]
model = "m"
zones = 2
engines = 4
cache_blocks = 512
[[tenant]]
name = "a"
[[tenant]]
name = "b"
[[class]]
name = "alert"
requests_per_second = 20
deadline_ms = 5000
service_tokens = 1024
services = 6
own_tokens = 32
output_tokens = 8
[[class]]
name = "receipt"
back_end = "application"
repeatable = false
requests_per_second = 10
)";

WorkloadSpec smallWorkload() {
  Result<WorkloadSpec> spec = parseWorkload(kWorkload, "small.toml");
  REQUIRE(isOk(spec));
  return valueOf(spec);
}

ExperimentOptions optionsFor(const std::string& policy) {
  ExperimentOptions options;
  options.policy = policy;
  options.length = fromSeconds(12);
  options.warmUp = fromSeconds(2);
  return options;
}

ExperimentReport run(const ExperimentOptions& options) {
  Result<ExperimentReport> report = runRoutingExperiment(smallWorkload(), options);
  REQUIRE(isOk(report));
  return valueOf(report);
}

int64_t refusalsOf(const GroupReport& group) {
  int64_t refusals = 0;
  for (const RefusalCount& refusal : group.refusals) {
    refusals += refusal.count;
  }
  return refusals;
}

}  // namespace

TEST_CASE("every request of an experiment has exactly one outcome") {
  ExperimentOptions options = optionsFor("least_expected_time");
  SUBCASE("in calm") {}
  SUBCASE("with engine crashes") {
    options.crashEvery = fromSeconds(1);
  }
  SUBCASE("at thirty times the load") {
    options.loadFactor = 30;
  }
  SUBCASE("without admission") {
    options.admission = false;
  }
  const ExperimentReport report = run(options);
  CHECK(report.total.offered > 0);
  CHECK(report.total.completed + refusalsOf(report.total) == report.total.offered);
  CHECK(report.classes[0].offered + report.classes[1].offered == report.total.offered);
  CHECK(report.tenants[0].offered + report.tenants[1].offered == report.total.offered);
  CHECK(report.total.tokenHitRate <= report.total.oracleHitRate);
}

TEST_CASE("an experiment is a function of its seed") {
  ExperimentOptions options = optionsFor("power_of_two_choices");
  options.crashEvery = fromSeconds(2);
  ExperimentReport first = run(options);
  ExperimentReport second = run(options);
  first.decisionMicroseconds = 0;  // Measured time is not.
  second.decisionMicroseconds = 0;
  CHECK(toJson(first) == toJson(second));
  options.seed = 2;
  CHECK(run(options).total.firstToken.p99 != first.total.firstToken.p99);
}

TEST_CASE("homes by prefix find more in the caches than taking turns, and less than an oracle") {
  const ExperimentReport turns = run(optionsFor("round_robin"));
  const ExperimentReport homes = run(optionsFor("prefix_rendezvous"));
  CHECK(homes.total.tokenHitRate > turns.total.tokenHitRate);
  CHECK(homes.total.recomputedHeldTokens < turns.total.recomputedHeldTokens);
  CHECK(homes.total.tokenHitRate <= homes.total.oracleHitRate);
}

TEST_CASE("an unknown policy is refused") {
  CHECK_FALSE(isOk(runRoutingExperiment(smallWorkload(), optionsFor("no such policy"))));
}

TEST_CASE("a report survives JSON, and other text is refused") {
  const ExperimentReport report = run(optionsFor("round_robin"));
  const Result<ExperimentReport> read = parseReport(toJson(report), "a.json");
  REQUIRE(isOk(read));
  CHECK(toJson(valueOf(read)) == toJson(report));
  CHECK(toText(report).find("alert") != std::string::npos);
  const Result<ExperimentReport> bad = parseReport("{}", "b.json");
  REQUIRE_FALSE(isOk(bad));
  CHECK(errorOf(bad).message.find("b.json") != std::string::npos);
}

TEST_CASE("runs are compared as a page, plots and a table") {
  ExperimentReport first = run(optionsFor("round_robin"));
  ExperimentReport second = first;
  second.policy = "<other>";
  const std::vector<OutputFile> files = compareReports({first, second});
  REQUIRE(files.size() == 4);
  CHECK(files[0].text.find("&lt;other&gt;") != std::string::npos);
  CHECK(files[0].text.find("<other>") == std::string::npos);
  CHECK(files[1].text.find("first_token.png") != std::string::npos);
  const std::string table = policyTable({first, second});
  CHECK(table.find("| round_robin |") != std::string::npos);
  CHECK(table.find("receipt") == std::string::npos);  // Application classes have no prompts.
}

}  // namespace fernmoor::bench
