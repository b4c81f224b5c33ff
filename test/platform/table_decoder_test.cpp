/// @file
/// Tests of platform/table_decoder.h.
#include "platform/table_decoder.h"

#include <doctest/doctest.h>

#include "http/json_text.h"
#include "platform/table_entries.h"
#include "platform/table_parts.h"

namespace fernmoor::platform {

namespace {

const std::string kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","host":"Jepu9.example","path-prefix":"/a/","type":"stream","timeout-ms":6000,
   "target-ms":800,"priority":1,"backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "attempts":2,"public":false,"sticky":true,"resumable":true,"gap-target-ms":500,"new-field":1},
  {"name":"r2","host":"h.example","path-prefix":"/b/","type":"safe","service":"s2","attempts":2,
   "public":true},
  {"name":"r3","host":"h.example","path-prefix":"/c/","type":"unsafe","service":"s2"}],
 "services":[{"name":"s1","max-conns":360,"engine":{"kv-token-bytes":163840}},{"name":"s2"},
  {"name":"s3","kv-store-addr":"172.20.0.2:8781","zone":"z","kv-capacity":7}],
 "limits":{"max-header-bytes":1000,"idle-timeout-ms":15000},
 "tenants":[{"name":"sese","api-keys":["k1","k2"],"priority":1,"isolated":true}]})";

Result<gateway::TrafficTablePtr> decode(const std::string& text) {
  const auto json = parseJsonObject(text);
  REQUIRE(isOk(json));
  TableParts parts;
  parts.take(tableEntries(*valueOf(json), 1), true);
  return parts.build();
}

}  // namespace

TEST_CASE("the operators' configuration is decoded into rows, pools, tenants and limits") {
  const auto result = decode(kConfiguration);
  REQUIRE(isOk(result));
  const gateway::TrafficTable& table = *valueOf(result);
  CHECK(table.version == 7);
  const gateway::Row* row = table.findRow("jepu9.example", "/a/x");
  REQUIRE(row != nullptr);
  CHECK(row->isStream);
  CHECK(row->isResumable);
  CHECK(row->repetition == gateway::Repetition::kOnce);
  CHECK(row->usesPrefixes);
  CHECK(row->pools.size() == 2);
  CHECK(row->timeout == std::chrono::seconds(6));
  CHECK(table.findRow("h.example", "/b/")->repetition == gateway::Repetition::kRepeatable);
  CHECK(table.findRow("h.example", "/b/")->isPublic);
  CHECK(table.findRow("h.example", "/c/")->repetition == gateway::Repetition::kOnce);
  CHECK(table.findTenant("k2")->isIsolated);
  CHECK(table.hasTenants);
  CHECK(table.findPool("s1")->servesModels);
  REQUIRE(table.cacheStores.size() == 1);
  CHECK(table.cacheStores[0].address.port == 8781);
  CHECK(table.limits.maxHeaderBytes == 1000);
}

TEST_CASE("no request needs a key if there is no list of tenants") {
  const auto result = decode(R"({"version":1,"routes":[],"services":[]})");
  REQUIRE(isOk(result));
  CHECK_FALSE(valueOf(result)->hasTenants);
}

TEST_CASE("an invalid configuration is rejected as a whole") {
  CHECK_FALSE(isOk(decode(R"({"version":1,"routes":[{"name":"r"}]})")));
  CHECK_FALSE(isOk(decode(R"({"version":1,"tenants":[{"name":"t","api-keys":[{"x":1}]}]})")));
}

TEST_CASE("a tenant's limit is read with its unit") {
  const auto result = decode(
      R"({"version":3,"tenants":[{"name":"t","api-keys":["k"],"unit":"tokens","plain-tokens":200,)"
      R"("rate-per-s":604589,"burst":5},{"name":"u","api-keys":["l"],"rate-per-s":10},)"
      R"({"name":"v","api-keys":["m"]}]})");
  REQUIRE(isOk(result));
  const gateway::Tenant& tenant = *valueOf(result)->findTenant("k");
  CHECK((tenant.limits.unit == LimitUnit::kTokens));
  CHECK(tenant.limits.ratePerSecond == 604589);
  CHECK(tenant.limits.burst == 5);
  CHECK(tenant.limits.rowVersion == 3);
  CHECK(tenant.limits.row.tenant == TenantId("t"));
  CHECK(tenant.costWithoutTokens == 200);
  CHECK((valueOf(result)->findTenant("l")->limits.unit == LimitUnit::kRequests));
  CHECK(valueOf(result)->findTenant("m")->limits.ratePerSecond == 0);
}

TEST_CASE("the error for an invalid limit names the field and the valid values") {
  const auto faultOf = [](const std::string& limit) {
    const auto result =
        decode(R"({"version":3,"tenants":[{"name":"t","api-keys":["k"],)" + limit + "}]}");
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).message;
  };
  CHECK(faultOf(R"("rate-per-s":-1)").find("tenant t: rate-per-s must be a number of at least 0") !=
        std::string::npos);
  CHECK(faultOf(R"("rate-per-s":"many")").find("rate-per-s") != std::string::npos);
  CHECK(faultOf(R"("burst":[1])").find("burst") != std::string::npos);
  CHECK(faultOf(R"("plain-tokens":-5)").find("plain-tokens") != std::string::npos);
  CHECK(faultOf(R"("unit":"bytes")").find(R"("requests" or "tokens")") != std::string::npos);
}

TEST_CASE("entries of back ends are decoded, those without an address are skipped") {
  const auto json = parseJsonObject(
      R"({"service":"s1","addr":"10.1.1.1:80","zone":"z","slots":64,"state":"draining",)"
      R"("version":"v2",)"
      R"("models":[{"name":"m","version":3,"adapters":[]}],"seq":4})");
  const auto listing = decodeBackend("i-1", *valueOf(json));
  REQUIRE(listing.has_value());
  CHECK(listing->id == "i-1");
  CHECK(listing->isDraining);
  CHECK(listing->weights[0].version == 3);
  CHECK(listing->software == "v2");
  CHECK_FALSE(decodeBackend("i-2", *valueOf(parseJsonObject("{}"))).has_value());
}

TEST_CASE("the ages of moves survive encoding and decoding of the ledger") {
  const Time written(std::chrono::seconds(100));
  weights::Ledger ledger;
  ledger.holder = "n1";
  ledger.moves.push_back(
      weights::LedgerMove{"e", "m", 4, "n0", written - std::chrono::milliseconds(1500)});
  const auto spec = encodeLedger(ledger, 6, written);
  const Time read(std::chrono::seconds(7));
  const weights::Ledger back = decodeLedger(55, *valueOf(parseJsonObject(toText(*spec))), read);
  CHECK(back.revision == 55);
  CHECK(back.holder == "n1");
  CHECK(back.writtenIn == 6);
  REQUIRE(back.moves.size() == 1);
  CHECK(back.moves[0].holder == "n0");
  CHECK(back.moves[0].version == 4);
  CHECK(back.moves[0].at == read - std::chrono::milliseconds(1500));
}

}  // namespace fernmoor::platform
