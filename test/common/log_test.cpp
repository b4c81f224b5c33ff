/// @file
/// Tests of src/common/log.h.
#include "common/log.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>

namespace fernmoor {

namespace {

LogFields sampleFields() {
  LogFields fields;
  fields.request = RequestId("r1");
  fields.tenant = TenantId("ward\n2026 error forged");
  fields.attempt = AttemptId("r1/2");
  fields.error = ErrorKind::kTimeout;
  fields.elapsed = Duration(1500);
  fields.lateCause = "pause";
  return fields;
}

}  // namespace

TEST_CASE("a JSON payload makes one object with the fields that are set") {
  const std::string payload =
      formatLogPayload(LogFormat::kJson, NodeId(3), "attempt \"late\"", sampleFields());
  Poco::JSON::Parser parser;
  const auto object = parser.parse("{" + payload + "}").extract<Poco::JSON::Object::Ptr>();
  CHECK(object->getValue<std::string>("message") == "attempt \"late\"");
  CHECK(object->getValue<int>("node") == 3);
  CHECK(object->getValue<std::string>("error") == "timeout");
  CHECK(object->getValue<double>("elapsed_ms") == doctest::Approx(1.5));
  CHECK(object->getValue<std::string>("tenant") == sampleFields().tenant.value());
  CHECK(object->getValue<std::string>("late_cause") == "pause");
  CHECK_FALSE(object->has("engine"));
}

TEST_CASE("a text payload stays on one line whatever the names hold") {
  const std::string payload =
      formatLogPayload(LogFormat::kText, NodeId(3), "late\nattempt", sampleFields());
  CHECK(payload.find('\n') == std::string::npos);
  CHECK(payload.find("node=3 request=\"r1\" attempt=\"r1/2\"") != std::string::npos);
}

TEST_CASE("a long message is cut and nothing is written before the log is started") {
  const std::string payload =
      formatLogPayload(LogFormat::kText, NodeId(1), std::string(5000, 'x'), {});
  CHECK(payload.size() < 1100);
  CHECK_FALSE(logEnabled(LogLevel::kError));
  logError("dropped");
}

TEST_CASE("a long name from outside is cut, so that the lines that wait are bounded in bytes") {
  LogFields fields = sampleFields();
  fields.request = RequestId(std::string(16000, 'x') + "\n");
  fields.attempts = std::string(100000, '\n');
  for (const LogFormat format : {LogFormat::kText, LogFormat::kJson}) {
    CHECK(formatLogPayload(format, NodeId(1), "refused", fields).size() < 8000);
  }
}

}  // namespace fernmoor
