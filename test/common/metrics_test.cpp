/// @file
/// Tests of src/common/metrics.h and src/common/class_rates.h.
#include "common/metrics.h"

#include <doctest/doctest.h>

#include "common/class_rates.h"

namespace fernmoor {

namespace {

bool hasLine(const Metrics& metrics, const std::string& line) {
  return ("\n" + metrics.serialize()).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

TEST_CASE("measures appear under their names and labels") {
  Metrics metrics;
  ClassMetrics& alerts = metrics.of(ServiceId("alerts"), TenantId("ward"));
  alerts.countRefusal(ErrorKind::kRateLimited);
  alerts.countPrefixBlocks(3, 4);
  alerts.observeFirstToken(Duration(30000));
  alerts.countLateAnswer(LateCause::kPause);
  metrics.setTableVersion(TableVersion(7));
  metrics.setMembers({3, 1, 0, 0});
  metrics.countControlSent(120);
  CHECK(hasLine(metrics,
                "fernmoor_refusals_total{kind=\"rate_limited\",service=\"alerts\",tenant=\"ward\"}"
                " 1"));
  CHECK(hasLine(metrics, "fernmoor_prefix_blocks_hit_total{service=\"alerts\",tenant=\"ward\"} 3"));
  CHECK(
      hasLine(metrics,
              "fernmoor_late_answers_total{cause=\"pause\",service=\"alerts\",tenant=\"ward\"} 1"));
  CHECK(hasLine(metrics,
                "fernmoor_late_answers_total{cause=\"first_event\",service=\"alerts\","
                "tenant=\"ward\"} 0"));
  CHECK(hasLine(metrics, "fernmoor_table_version 7"));
  CHECK(hasLine(metrics, "fernmoor_members{state=\"suspect\"} 1"));
  CHECK(hasLine(metrics, "fernmoor_control_bytes_total{direction=\"sent\"} 120"));
}

TEST_CASE("classes beyond the bound are counted together") {
  Metrics metrics;
  for (int i = 0; i < 600; ++i) {
    metrics.of(ServiceId("s" + std::to_string(i)), TenantId("t")).countRequest();
  }
  CHECK(metrics.classTotals().size() == 129);
  CHECK(hasLine(metrics, "fernmoor_requests_total{service=\"other\",tenant=\"other\"} 472"));
  CHECK(&metrics.of(ServiceId("s1"), TenantId("t")) == &metrics.of(ServiceId("s1"), TenantId("t")));
}

TEST_CASE("rates cover only the interval between two readings") {
  Metrics metrics;
  ClassMetrics& audit = metrics.of(ServiceId("audit"), TenantId("agency"));
  audit.countRequest();
  audit.observeFirstToken(Duration(20000000));
  const auto before = metrics.classTotals();
  for (int i = 0; i < 20; ++i) {
    audit.countRequest();
    audit.countPrefixBlocks(3, 4);
    audit.observeFirstToken(Duration(i < 18 ? 40000 : 120000));
  }
  audit.countRefusal(ErrorKind::kOverloaded);
  audit.countRecomputedTokens(50);
  const auto rates = ratesBetween(before, metrics.classTotals(), Duration(10000000));
  REQUIRE(rates.size() == 1);
  CHECK(rates[0].requestsPerSecond == doctest::Approx(2));
  CHECK(rates[0].refusedPerSecond == doctest::Approx(0.1));
  CHECK(rates[0].hitRate == doctest::Approx(0.75));
  CHECK(rates[0].recomputedTokensPerSecond == doctest::Approx(5));
  CHECK(rates[0].firstTokenMedianMilliseconds == doctest::Approx(43.33).epsilon(0.01));
  CHECK(rates[0].firstToken95Milliseconds == doctest::Approx(125).epsilon(0.01));
}

}  // namespace fernmoor
