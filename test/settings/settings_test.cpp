/// @file
/// Tests of src/settings/settings.h.
#include "settings/settings.h"

#include <Poco/TemporaryFile.h>
#include <doctest/doctest.h>

#include <fstream>

namespace fernmoor {

namespace {

const char* const kValid = R"(node_id = 3
zone = "hall-a"
region = "city"
peer_address = "127.0.0.3:7100"
http_address = "127.0.0.3:8100"
cluster_key = "hex:00112233445566778899aabbccddeeff"
seeds = ["4@127.0.0.4:7100"]
platform_url = "http://127.0.0.1:9000"
operator_keys = ["operator-key"]
tenant_keys = [{key = "ward-key-1", tenant = "ward"}]
log_format = "json"
[knobs]
maxDatagramBytes = 1400
)";

SettingsCheck checkText(const std::string& text, const SettingsOverrides& overrides = {}) {
  const Poco::TemporaryFile file;
  std::ofstream(file.path()) << text;
  return checkSettings(file.path(), overrides);
}

std::string problemsOf(const std::string& text, const SettingsOverrides& overrides = {}) {
  std::string all;
  for (const SettingsProblem& problem : checkText(text, overrides).problems) {
    all += toString(problem) + "\n";
  }
  return all;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("a whole settings file is read into typed values") {
  const SettingsCheck check = checkText(kValid);
  REQUIRE(check.problems.empty());
  CHECK(check.settings.nodeId == NodeId(3));
  CHECK(check.settings.clusterKey.size() == 16);
  CHECK(check.settings.seeds.at(0).node == NodeId(4));
  CHECK(check.settings.seeds.at(0).peerAddress == SocketAddress{"127.0.0.4", 7100});
  CHECK(check.settings.tenantKeys.at(0).tenant == TenantId("ward"));
  CHECK(check.settings.log.format == LogFormat::kJson);
  CHECK(check.settings.knobs.maxDatagramBytes == 1400);
}

TEST_CASE("flags win over the file and are named when they are wrong") {
  SettingsOverrides overrides;
  overrides.nodeId = 9;
  overrides.knobs = {{"maxDatagramBytes", 1300}};
  const SettingsCheck check = checkText(kValid, overrides);
  CHECK(check.settings.nodeId == NodeId(9));
  CHECK(check.settings.knobs.maxDatagramBytes == 1300);
  overrides.httpAddress = "localhost:80";
  const std::string problems = problemsOf(kValid, overrides);
  CHECK(problems.find("flag --http_address: http_address found") != std::string::npos);
}

TEST_CASE("all problems are reported together with line, key, finding and remedy") {
  std::string text = replaced(kValid, "\"127.0.0.3:8100\"", "\"example.org:8100\"");
  text = replaced(text, "zone = \"hall-a\"", "zone = 7");
  text = replaced(text, "log_format", "log_fromat");
  text = replaced(text, "maxDatagramBytes = 1400", "maxDatagramBytes = 1");
  text = replaced(text, "node_id = 3", "");
  const std::string problems = problemsOf(text);
  CHECK(problems.find(":2: zone found 7; give a name") != std::string::npos);
  CHECK(problems.find(":5: http_address found") != std::string::npos);
  CHECK(problems.find("example.org:8100") != std::string::npos);
  CHECK(problems.find(":11: log_fromat is unknown; did you mean log_format?") != std::string::npos);
  CHECK(problems.find(":13: knobs.maxDatagramBytes found 1; ") != std::string::npos);
  const std::string typing = problemsOf(replaced(kValid, "maxDatagramBytes", "maxDatagramByte"));
  CHECK(typing.find("knobs.maxDatagramByte is unknown; did you mean maxDatagramBytes?") !=
        std::string::npos);
  CHECK(problems.find("node_id is missing; give a whole number") != std::string::npos);
}

TEST_CASE("keys are checked and never shown") {
  std::string text = replaced(kValid, "\"operator-key\"", "\"ward-key-1\"");
  text = replaced(text, "hex:00112233445566778899aabbccddeeff", "tooshort");
  const std::string problems = problemsOf(text);
  CHECK(problems.find("tenant_keys[0].key is given more than once") != std::string::npos);
  CHECK(problems.find("cluster_key has only 8 bytes") != std::string::npos);
  CHECK(problems.find("ward-key-1") == std::string::npos);
  CHECK(problems.find("tooshort") == std::string::npos);
}

TEST_CASE("a broken or missing file is one problem with its line") {
  CHECK(problemsOf("node_id = 1\nzone = = 2\n").find(":2: ") != std::string::npos);
  const auto missing = loadSettings("no/such/file.toml", {});
  REQUIRE_FALSE(isOk(missing));
  CHECK(errorOf(missing).message.find("give the path") != std::string::npos);
}

}  // namespace fernmoor
