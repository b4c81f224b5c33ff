/// @file
/// Tests of platform/table_entries.h and platform/table_parts.h: splitting a table into entries and
/// building it from them.
#include "platform/table_parts.h"

#include <doctest/doctest.h>

#include "http/json_text.h"
#include "platform/table_entries.h"

namespace fernmoor::platform {

namespace {

using peers::MirrorEntry;

std::string row(const std::string& name, const std::string& prefix, const std::string& service) {
  return R"({"name":")" + name + R"(","host":"h.example","path-prefix":")" + prefix +
         R"(","service":")" + service + R"("})";
}

std::string table(int version, const std::string& rows) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + rows +
         R"(],"services":[{"name":"s"}],"tenants":[{"name":"t","api-keys":["k"]}]})";
}

std::vector<MirrorEntry> entriesOf(const std::string& text, uint64_t revision = 1) {
  const auto json = parseJsonObject(text);
  REQUIRE(isOk(json));
  return tableEntries(*valueOf(json), revision);
}

gateway::TrafficTablePtr built(const TableParts& parts) {
  const Result<gateway::TrafficTablePtr> made = parts.build();
  REQUIRE(isOk(made));
  return valueOf(made);
}

}  // namespace

TEST_CASE("a table has one entry for each row and tenant, and one for the rest") {
  const std::string rows = row("r1", "/a/", "s") + "," + row("r2", "/b/", "s");
  const std::vector<MirrorEntry> entries = entriesOf(table(1, rows));
  REQUIRE(entries.size() == 4);
  CHECK(entries[0].name == kTableHead);

  SUBCASE("a new version differs only in the head and in the changed entries") {
    const std::vector<MirrorEntry> next =
        entriesOf(table(2, row("r1", "/a/", "other") + "," + row("r2", "/b/", "s")));
    size_t differing = 0;
    for (size_t index = 0; index < entries.size(); ++index) {
      differing += entries[index].text == next[index].text ? 0 : 1;
    }
    CHECK(differing == 2);
  }
  SUBCASE("rows of one host and prefix share an entry, and the first of them applies") {
    TableParts parts;
    parts.take(entriesOf(table(1, row("r1", "/a/", "s") + "," + row("r2", "/a/", "s"))), true);
    CHECK(built(parts)->findRow("h.example", "/a/")->name == "r1");
  }
}

TEST_CASE("a new version shares unchanged parts with the previous one") {
  TableParts parts;
  parts.take(entriesOf(table(1, row("r1", "/a/", "s") + "," + row("r2", "/b/", "s"))), true);
  const gateway::TrafficTablePtr before = built(parts);
  const std::vector<MirrorEntry> next =
      entriesOf(table(2, row("r1", "/a/", "other") + "," + row("r2", "/b/", "s")));
  parts.take({next[0], next[1]}, false);
  const gateway::TrafficTablePtr after = built(parts);
  CHECK(after->version == 2);
  CHECK(after->findRow("h.example", "/a/")->pools[0].pool == "other");
  CHECK(before->findRow("h.example", "/a/")->pools[0].pool == "s");
  CHECK(after->findRow("h.example", "/b/") == before->findRow("h.example", "/b/"));
  CHECK(after->findTenant("k")->limits.rowVersion == 2);

  SUBCASE("removed entries are absent") {
    parts.take({MirrorEntry{next[1].name, 3, true, ""}}, false);
    CHECK(built(parts)->findRow("h.example", "/a/") == nullptr);
    CHECK(built(parts)->rowCount() == 1);
  }
}

TEST_CASE(
    "no table is built while a part is invalid, and it is built again once the part is valid") {
  TableParts parts;
  parts.take(entriesOf(table(1, row("r1", "/a/", "s"))), true);
  const std::vector<MirrorEntry> good = entriesOf(table(1, row("r1", "/a/", "s")));
  parts.take({MirrorEntry{good[1].name, 2, false, R"({"routes":[{"name":"r1"}]})"}}, false);
  CHECK_FALSE(isOk(parts.build()));
  parts.take({good[1]}, false);
  CHECK(isOk(parts.build()));
  parts.take({MirrorEntry{kTableHead, 3, true, ""}}, false);
  CHECK_FALSE(isOk(parts.build()));
}

}  // namespace fernmoor::platform
