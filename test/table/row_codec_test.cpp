/// @file
/// Tests of src/table/row_codec.h.
#include "table/row_codec.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {

Row exampleRow() {
  Row row;
  row.key = RowKey{ServiceId("alerts"), TenantId("river-north")};
  row.model = ModelId("small/1");
  row.adapter = AdapterId("gauge");
  row.deadlineClass = DeadlineClass::kDeferred;
  row.priority = 0;
  row.weight = 2.5;
  row.ratePerSecond = 40;
  row.burst = 8;
  row.concurrency = 16;
  row.deadline = std::chrono::seconds(5);
  row.maxWait = std::chrono::seconds(1);
  row.repeatable = false;
  row.recomputationWeight = 0.25;
  row.enabled = false;
  return row;
}

std::string problemOf(const std::string& text) {
  const Result<Row> row = rowFromJsonText(text);
  REQUIRE_FALSE(isOk(row));
  CHECK((errorOf(row).kind == ErrorKind::kInvalidRequest));
  return errorOf(row).message;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a row survives JSON and protobuf unchanged") {
  Row row = exampleRow();
  const std::string text = rowToJsonText(row);
  const Result<Row> fromJson = rowFromJsonText(text);
  REQUIRE(isOk(fromJson));
  CHECK(rowToJsonText(valueOf(fromJson)) == text);
  row.rowVersion = 17;
  const Result<Row> fromProto = rowFromProto(rowToProto(row));
  REQUIRE(isOk(fromProto));
  CHECK(rowToJsonText(valueOf(fromProto)) == text);
  CHECK(valueOf(fromProto).rowVersion == 17);
}

TEST_CASE("a column left out takes its default") {
  const auto row = rowFromJsonText(R"({"service":"a","tenant":"t","model":"m","deadline_ms":500})");
  REQUIRE(isOk(row));
  CHECK(valueOf(row).priority == 5);
  CHECK(valueOf(row).repeatable);
  CHECK(valueOf(row).maxWait == std::chrono::milliseconds(500));
}

TEST_CASE("a wrong cell is told with row, column, what was found and the remedy") {
  const std::string range =
      problemOf(R"({"service":"a","tenant":"t","model":"m","priority":12,"weight":"big"})");
  CHECK(contains(range, "service a of tenant t"));
  CHECK(contains(range, "column priority: found 12, give a whole number from 0 to 9"));
  CHECK(contains(range, "column weight: found \"big\", give a number from 0.01 to 1000"));
  CHECK(contains(problemOf(R"({"service":"a","tenant":"t","model":"m","colour":1})"),
                 "column colour: found an unknown column"));
  CHECK(contains(problemOf(R"({"service":"a","tenant":"t","model":"m","repeatable":1})"),
                 "column repeatable: found 1, give true or false"));
  CHECK(contains(problemOf(R"({"service":"a","tenant":"t","model":"m","priority":true})"),
                 "column priority"));
  CHECK(contains(problemOf(R"({"service":"a","tenant":"t","model":"m","burst":1e300})"), "burst"));
  CHECK(contains(problemOf(R"({"service":"a:b","tenant":"t","model":"m"})"), "column service"));
  CHECK(contains(problemOf(R"({"service":"a","tenant":"t"})"), "column model: found nothing"));
  CHECK(contains(problemOf(R"({"service":"a","tenant":"t","back_end":"application"})"),
                 "column operation: found nothing"));
  CHECK(contains(problemOf(R"({"service":"a","tenant":"t","model":"m","deadline_ms":10,
                               "max_wait_ms":20})"),
                 "column max_wait_ms: found 20, give at most deadline_ms"));
  CHECK(contains(problemOf("[]"), "must be a JSON object"));
  CHECK(contains(problemOf("{\"service\":"), "no valid JSON"));
  CHECK_FALSE(isOk(rowFromJsonText(R"({"service":"a","tenant":"t","model":"m","burst":1e999})")));
  CHECK_FALSE(isOk(rowFromJsonText(std::string(100000, '['))));
}

TEST_CASE("a row from another node is checked like one from an operator") {
  proto::TableRow message = rowToProto(exampleRow());
  message.set_weight(-1);
  CHECK_FALSE(isOk(rowFromProto(message)));
}

TEST_CASE("editing cells keeps the others and refuses another key") {
  Poco::JSON::Object cells;
  cells.set("priority", 3);
  const auto edited = editRow(exampleRow(), cells);
  REQUIRE(isOk(edited));
  CHECK(valueOf(edited).priority == 3);
  CHECK(valueOf(edited).concurrency == 16);
  cells.set("tenant", "other");
  CHECK_FALSE(isOk(editRow(exampleRow(), cells)));
}

TEST_CASE("the table refuses doubled keys, mixed back ends of a service and too many rows") {
  Row other = exampleRow();
  other.key.tenant = TenantId("river-south");
  CHECK(isOk(checkTable({exampleRow(), other}, 2)));
  CHECK_FALSE(isOk(checkTable({exampleRow(), exampleRow()}, 2)));
  CHECK_FALSE(isOk(checkTable({exampleRow(), other}, 1)));
  other.backEnd = BackEndKind::kApplication;
  CHECK_FALSE(isOk(checkTable({exampleRow(), other}, 2)));
}

TEST_CASE("a row's object name leads back to its key") {
  const RowKey key{ServiceId("alerts"), TenantId("river-north")};
  const auto read = rowKeyFromObjectName(rowObjectName(key));
  REQUIRE(isOk(read));
  CHECK(valueOf(read) == key);
  CHECK_FALSE(isOk(rowKeyFromObjectName("alerts")));
  CHECK_FALSE(isOk(rowKeyFromObjectName(":t")));
}

}  // namespace fernmoor
