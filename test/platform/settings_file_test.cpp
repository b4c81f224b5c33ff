/// @file
/// Tests of platform/settings_file.h.
#include "platform/settings_file.h"

#include <doctest/doctest.h>

namespace fernmoor::platform {

namespace {

const std::string kGood =
    "node-name=front-1\nzone=hall\nregion=south\nlisten.front=10.1.0.30:8782\n"
    "listen.readiness=10.1.0.30:8789\nport-range=7340,7355\n"
    "seeds=10.1.0.30:8783,10.2.0.22:8783\nlimits.max-fds=4100\nbounds.grace-s=8\n"
    "bounds.revoke-ms=5000\nbounds.budget-ratio=0.2\nplatform.addr=10.200.1.7:8784\n";

std::string without(const std::string& key) {
  const size_t start = kGood.find(key + "=");
  return kGood.substr(0, start) + kGood.substr(kGood.find('\n', start) + 1);
}

std::string faultOf(const std::string& text) {
  const Result<PlatformSettings> settings = parsePlatformSettings(text);
  return isOk(settings) ? "" : errorOf(settings).message;
}

}  // namespace

TEST_CASE("the platform's settings are read and unknown keys are ignored") {
  const auto result = parsePlatformSettings(kGood + "some.later.field=1\nodd line\n");
  REQUIRE(isOk(result));
  const PlatformSettings& settings = valueOf(result);
  CHECK(settings.nodeName == "front-1");
  CHECK(formatSocketAddress(settings.store) == "10.200.1.7:8784");
  CHECK(formatSocketAddress(settings.peers) == "10.1.0.30:7340");
  REQUIRE(settings.seeds.size() == 2);
  CHECK(formatSocketAddress(settings.seeds[1]) == "10.2.0.22:7340");
  CHECK(settings.stopGrace == std::chrono::seconds(8));
  CHECK(settings.keyRevocation == std::chrono::seconds(5));
  CHECK(settings.maxDescriptors == 4100);
}

TEST_CASE("an error names a missing required key") {
  for (const std::string key :
       {"node-name", "listen.front", "listen.readiness", "port-range", "platform.addr"}) {
    CAPTURE(key);
    CHECK(faultOf(without(key)).find(key) != std::string::npos);
  }
  CHECK(faultOf(without("seeds")).empty());
  CHECK(faultOf(without("bounds.grace-s")).empty());
}

TEST_CASE("an error names the key of an invalid number or address") {
  CHECK(faultOf(without("bounds.grace-s") + "bounds.grace-s=soon\n").find("bounds.grace-s") !=
        std::string::npos);
  CHECK(faultOf(without("limits.max-fds") + "limits.max-fds=-4\n").find("limits.max-fds") !=
        std::string::npos);
  CHECK(faultOf(without("platform.addr") + "platform.addr=store\n").find("platform.addr") !=
        std::string::npos);
}

}  // namespace fernmoor::platform
