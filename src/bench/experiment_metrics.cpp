#include "bench/experiment_metrics.h"

namespace fernmoor::bench {

namespace {

constexpr int kCurveSteps = 100;

double ratio(int64_t part, int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

TimeQuantiles quantilesOf(const Samples& samples) {
  return TimeQuantiles{samples.quantile(0.5), samples.quantile(0.95), samples.quantile(0.99),
                       samples.quantile(0.999)};
}

}  // namespace

void GroupMetrics::countRefusal(ErrorKind kind) {
  for (RefusalCount& refusal : refusals) {
    if (refusal.kind == kind) {
      ++refusal.count;
      return;
    }
  }
  refusals.push_back(RefusalCount{kind, 1});
}

GroupReport summarize(const GroupMetrics& metrics) {
  GroupReport report;
  report.name = metrics.name;
  report.offered = metrics.offered;
  report.completed = metrics.completed;
  report.inTime = metrics.inTime;
  report.retries = metrics.retries;
  report.promptTokens = metrics.promptTokens;
  report.recomputedTokens = metrics.promptTokens - metrics.cachedTokens;
  report.recomputedHeldTokens = metrics.recomputedHeldTokens;
  report.blockHitRate = ratio(metrics.cachedBlocks, metrics.promptBlocks);
  report.tokenHitRate = ratio(metrics.cachedTokens, metrics.promptTokens);
  report.oracleHitRate = ratio(metrics.oracleTokens, metrics.promptTokens);
  report.firstToken = quantilesOf(metrics.firstTokenMilliseconds);
  report.betweenTokens = quantilesOf(metrics.betweenTokensMilliseconds);
  report.queue = quantilesOf(metrics.queueMilliseconds);
  report.refusals = metrics.refusals;
  if (metrics.firstTokenMilliseconds.count() > 0) {
    for (int step = 0; step <= kCurveSteps; ++step) {
      report.firstTokenCurve.push_back(
          metrics.firstTokenMilliseconds.quantile(static_cast<double>(step) / kCurveSteps));
    }
  }
  return report;
}

MetricsBook::MetricsBook(const WorkloadSpec& spec) {
  total_.name = "all";
  for (const ClassSpec& one : spec.classes) {
    classes_.emplace_back().name = one.name;
  }
  for (const TenantSpec& tenant : spec.tenants) {
    tenants_.emplace_back().name = tenant.id.value();
  }
}

void MetricsBook::fill(ExperimentReport& report) const {
  report.total = summarize(total_);
  for (const GroupMetrics& one : classes_) {
    report.classes.push_back(summarize(one));
  }
  std::vector<double> shares;
  for (const GroupMetrics& tenant : tenants_) {
    report.tenants.push_back(summarize(tenant));
    if (tenant.offered > 0) {
      shares.push_back(ratio(tenant.inTime, tenant.offered));
    }
  }
  report.tenantFairness = jainIndex(shares);
}

}  // namespace fernmoor::bench
