/// @file
/// Tests that the files of examples/ are fit for use. Run from the project's root folder.
#include <doctest/doctest.h>

#include <algorithm>

#include "http/json_text.h"
#include "operator_client/rows_file.h"
#include "settings/settings.h"
#include "table/row_codec.h"

namespace fernmoor {

namespace {

const std::string kDeployments[] = {"examples/neerkaval/", "examples/agency/"};
constexpr size_t kMaximumRows = 1000;

Row toRow(const NamedRow& named) {
  Poco::JSON::Object cells(*named.columns);
  cells.set("service", named.service.value());
  cells.set("tenant", named.tenant.value());
  const Result<Row> row = rowFromJson(cells);
  CAPTURE(toText(cells));
  REQUIRE(isOk(row));
  return valueOf(row);
}

}  // namespace

TEST_CASE("the example settings have no problem") {
  for (const std::string& folder : kDeployments) {
    const Result<Settings> settings = loadSettings(folder + "node.toml", {});
    CAPTURE(folder);
    REQUIRE(isOk(settings));
    CHECK(valueOf(settings).tenantKeys.size() == 8);
  }
}

TEST_CASE("the example tables hold valid rows of the tenants in the settings") {
  for (const std::string& folder : kDeployments) {
    CAPTURE(folder);
    const Result<RowsFile> file = readRowsFile(folder + "table.toml");
    REQUIRE(isOk(file));
    std::vector<Row> rows;
    for (const NamedRow& named : valueOf(file).rows) {
      rows.push_back(toRow(named));
    }
    CHECK(rows.size() >= 32);
    CHECK(isOk(checkTable(rows, kMaximumRows)));
    const Result<Settings> settings = loadSettings(folder + "node.toml", {});
    for (const Row& row : rows) {
      const auto& keys = valueOf(settings).tenantKeys;
      const bool known = std::any_of(keys.begin(), keys.end(), [&](const TenantKey& key) {
        return key.tenant == row.key.tenant;
      });
      CHECK(known);
    }
  }
}

}  // namespace fernmoor
