/// @file
/// Tests of standin/machine_registration.h.
#include "standin/machine_registration.h"

#include <doctest/doctest.h>

#include "standin/platform_server.h"
#include "test/standin/http_test_client.h"

namespace fernmoor::standin {

TEST_CASE("a machine is registered over an outage of the platform, marked leaving and taken off") {
  PlatformServerOptions options;
  options.machineLag = Duration(0);
  PlatformServer platform(options);
  REQUIRE(isOk(platform.start()));
  const auto fault = [&](const std::string& body) {
    CHECK(ask(platform.port(), "POST", "/fault", body).status == 200);
  };
  const auto status = [&]() -> std::string {
    const auto machines = ask(platform.port(), "GET", "/machines").body->getArray("machines");
    return machines.isNull() || machines->size() == 0 ? ""
                                                      : textField(machines->getObject(0), "status");
  };
  Machine machine;
  machine.name = "e1";
  machine.kind = "engine";
  fault(R"({"kind":"down"})");
  {
    MachineRegistration registration(SocketAddress{"127.0.0.1", platform.port()}, machine);
    fault(R"({"kind":"none"})");
    CHECK(eventually([&] { return status() == "live"; }));
    registration.leave();
    CHECK(eventually([&] { return status() == "leaving"; }));
  }
  CHECK(status().empty());
}

}  // namespace fernmoor::standin
