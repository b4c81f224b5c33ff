/// @file
/// Tests of src/bench/workload_file.h and workload.h.
#include "bench/workload.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "prefix/block_chain.h"

namespace fernmoor::bench {

namespace {

const char* const kSmallWorkload = R"(
name = "small"
[fleet]
model = "m"
zones = 2
[[tenant]]
name = "a"
share = 3
[[tenant]]
name = "b"
share = 1
[[rule_book]]
name = "rules"
tokens = 64
[[class]]
name = "alert"
requests_per_second = 100
rule_book = "rules"
service_tokens = 32
leaves = 1000
leaf_tokens = 32
own_tokens = 8
hot_leaves = 1
hot_share = 0.5
hot_shift_ms = 5000
[class.burst]
every_ms = 10000
length_ms = 2000
factor = 5
[[class]]
name = "audit"
requests_per_second = 20
finish_every_ms = 4000
)";

WorkloadSpec smallWorkload() {
  Result<WorkloadSpec> spec = parseWorkload(kSmallWorkload, "small.toml");
  REQUIRE(isOk(spec));
  return valueOf(spec);
}

std::string messageFor(const std::string& text) {
  const Result<WorkloadSpec> spec = parseWorkload(text, "w.toml");
  REQUIRE_FALSE(isOk(spec));
  return errorOf(spec).message;
}

}  // namespace

TEST_CASE("a workload is the same for the same seed and another for another") {
  const WorkloadSpec spec = smallWorkload();
  WorkloadOptions options;
  options.length = fromSeconds(10);
  const auto first = generateWorkload(spec, options);
  const auto second = generateWorkload(spec, options);
  options.seed = 2;
  const auto other = generateWorkload(spec, options);
  REQUIRE(first.size() == second.size());
  CHECK(first.size() != other.size());
  PromptWriter writer(spec);
  for (size_t index = 0; index < first.size(); ++index) {
    REQUIRE(first[index].arrival == second[index].arrival);
    REQUIRE(writer.write(first[index]) == writer.write(second[index]));
  }
}

TEST_CASE("rates follow the file, the load factor, bursts and the finishing period") {
  const WorkloadSpec spec = smallWorkload();
  WorkloadOptions options;
  options.length = fromSeconds(100);
  options.loadFactor = 2;
  int alerts = 0;
  int inBurst = 0;
  for (const WorkloadRequest& request : generateWorkload(spec, options)) {
    if (request.classIndex == 0) {
      ++alerts;
      inBurst += request.arrival % fromSeconds(10) < fromSeconds(2) ? 1 : 0;
      continue;
    }
    CHECK(request.arrival % fromSeconds(4) < fromSeconds(3));
    CHECK(request.deadline % fromSeconds(4) == Duration(0));
  }
  // Outside bursts 200 a second for 80 s; inside, the mean factor of a triangle up to 5 is 3.
  CHECK(alerts - inBurst == doctest::Approx(16000).epsilon(0.05));
  CHECK(inBurst == doctest::Approx(12000).epsilon(0.05));
}

TEST_CASE("a hot leaf takes its share and moves") {
  const WorkloadSpec spec = smallWorkload();
  WorkloadOptions options;
  options.length = fromSeconds(10);
  std::map<int64_t, std::map<int64_t, int>> leavesByShift;
  for (const WorkloadRequest& request : generateWorkload(spec, options)) {
    if (request.classIndex == 0) {
      ++leavesByShift[request.arrival / fromSeconds(5)][request.leaf];
    }
  }
  std::set<int64_t> hot;
  for (const auto& [shift, leaves] : leavesByShift) {
    for (const auto& [leaf, count] : leaves) {
      if (count > 100) {
        hot.insert(leaf);
      }
    }
  }
  CHECK(hot.size() == 2);
}

TEST_CASE("prompts of one service share their first layers and no more") {
  const WorkloadSpec spec = smallWorkload();
  PromptWriter writer(spec);
  WorkloadRequest request;
  request.ownTokens = 8;
  const std::string first = writer.write(request);
  request.number = 1;
  request.leaf = 1;
  const std::string second = writer.write(request);
  CHECK(countTokens(first) == 64 + 32 + 32 + 8);
  const size_t shared = static_cast<size_t>((64 + 32) * kBytesPerToken);
  CHECK(first.substr(0, shared) == second.substr(0, shared));
  CHECK(first.substr(shared) != second.substr(shared));
}

TEST_CASE("a faulty workload file is refused by place and key") {
  CHECK(messageFor("name = 3").find("name") != std::string::npos);
  CHECK(messageFor("name = ").find("line 1") != std::string::npos);
  std::string text = kSmallWorkload;
  CHECK(messageFor(text + "speed = 3\n").find("speed is unknown") != std::string::npos);
  CHECK(messageFor(text + "leaves = 0\n").find("leaves must be at least 1") != std::string::npos);
  CHECK(messageFor(text + "rule_book = \"x\"\n").find("[[rule_book]]") != std::string::npos);
}

TEST_CASE("the example workloads are whole") {
  for (const char* name : {"neerkaval", "agency"}) {
    CAPTURE(name);
    const auto spec = loadWorkload(std::string("examples/workloads/") + name + ".toml");
    REQUIRE(isOk(spec));
    CHECK(valueOf(spec).tenants.size() == 8);
  }
}

}  // namespace fernmoor::bench
