/// @file
/// Tests of src/table/table_messages.h, and of the table role against damaged messages.
#include "table/table_messages.h"

#include <doctest/doctest.h>
#include <google/protobuf/stubs/logging.h>

#include "objectstore/object_store_codec.h"
#include "sim/table_cluster.h"
#include "table/row_codec.h"

namespace fernmoor {

namespace {

TableChange exampleChange() {
  const Row row = sim::exampleTableRow(1);
  return TableChange{
      TableVersion(7), "c7", {RowChange{row.key, row}, RowChange{sim::exampleTableRow(2).key, {}}}};
}

/// Cuts every other text at random and changes a few of its bytes.
std::string damage(std::string text, Random& random) {
  if (random.chance(0.5)) {
    text.resize(random.below(text.size()) + 1);
  }
  for (uint64_t change = random.below(4); change > 0; --change) {
    text[random.below(text.size())] = static_cast<char>(random.below(256));
  }
  return text;
}

}  // namespace

TEST_CASE("a change survives its message, removals included") {
  const auto read = changeFromProto(changeToProto(exampleChange()));
  REQUIRE(isOk(read));
  CHECK(valueOf(read).version == TableVersion(7));
  REQUIRE(valueOf(read).rows.size() == 2);
  CHECK(valueOf(read).rows[0].row.has_value());
  CHECK_FALSE(valueOf(read).rows[1].row.has_value());
}

TEST_CASE(
    "damaged messages of peers neither crash a node nor bring an invalid row into its table") {
  sim::TableCluster cluster(sim::TableClusterSettings{});
  const NodeId node(1);
  const auto role = cluster.role(node);
  proto::Envelope changes;
  *changes.mutable_table()->mutable_changes()->add_changes() = changeToProto(exampleChange());
  proto::Envelope page;
  *page.mutable_table()->mutable_snapshot_page() = makeSnapshotPage(
      TableSnapshot(TableVersion(9), {sim::exampleTableRow(1)}), true, RowKey(), 1000);
  const uint64_t life = cluster.cluster().node(node).life().incarnation.value();
  Random random(1);
  const google::protobuf::LogSilencer quiet;
  for (int step = 0; step < 5000; ++step) {
    const std::string text = (step % 2 == 0 ? changes : page).SerializeAsString();
    proto::Envelope damaged;
    if (damaged.ParseFromString(damage(text, random)) && damaged.has_table()) {
      // Set after the damage: else most of these would be dropped unread.
      damaged.mutable_table()->set_asker_incarnation(life);
      role->onMessage(NodeLife{NodeId(2), Incarnation(1)}, damaged, cluster.cluster().now(),
                      cluster.cluster().node(node).sender());
    }
  }
  CHECK(role->counters().malformedMessages > 0);
  for (const Row& row : cluster.table(node)->current()->rows()) {
    CHECK(isOk(checkRow(row)));
  }
}

TEST_CASE("damaged answers of the platform are errors or valid, never a crash") {
  const std::string snapshot = R"({"revision":7,"objects":[{"name":"a:t","version":5,"value":
      {"service":"a","tenant":"t","model":"m"},"change_id":"c5"}]})";
  Random random(2);
  size_t refused = 0;
  for (int step = 0; step < 3000; ++step) {
    const std::string text = damage(snapshot, random);
    refused += isOk(platform_codec::readSnapshot(text)) ? 0 : 1;
    refused += isOk(platform_codec::readWatchBatch(text)) ? 0 : 1;
    refused += isOk(rowFromJsonText(text)) ? 0 : 1;
  }
  CHECK(refused > 0);
}

}  // namespace fernmoor
