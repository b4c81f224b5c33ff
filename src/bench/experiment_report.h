/// @file
/// What an experiment found, as plain values: written as text and JSON, read back for comparisons.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"

namespace fernmoor::bench {

struct RefusalCount {
  ErrorKind kind = ErrorKind::kInternal;
  int64_t count = 0;
};

/// Quantiles of a time, in milliseconds.
struct TimeQuantiles {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double p999 = 0;
};

/// One group's figures.
struct GroupReport {
  std::string name;
  int64_t offered = 0;
  int64_t completed = 0;
  int64_t inTime = 0;
  int64_t retries = 0;
  int64_t promptTokens = 0;
  int64_t recomputedTokens = 0;
  int64_t recomputedHeldTokens = 0;
  double blockHitRate = 0;   ///< Blocks found cached, of all whole blocks.
  double tokenHitRate = 0;   ///< Tokens found cached, of all prompt tokens.
  double oracleHitRate = 0;  ///< Tokens that some engine held, of all prompt tokens.
  TimeQuantiles firstToken;
  TimeQuantiles betweenTokens;
  TimeQuantiles queue;
  /// Time to first token at 0, 1, ... 100 in 100, for plots; empty without samples.
  std::vector<double> firstTokenCurve;
  std::vector<RefusalCount> refusals;
};

/// One run.
struct ExperimentReport {
  std::string workload;
  std::string policy;
  uint64_t seed = 0;
  double loadFactor = 1;
  double stalenessMilliseconds = 0;
  double seconds = 0;               ///< Virtual time measured, without the warm-up.
  double decisionMicroseconds = 0;  ///< Processor time of one choice of an engine, mean.
  double tenantFairness = 1;        ///< Jain's index of the tenants' shares served in time.
  double engineFairness = 1;        ///< Jain's index of the engines' recomputed tokens.
  GroupReport total;
  std::vector<GroupReport> classes;
  std::vector<GroupReport> tenants;
};

/// @return a table for people.
std::string toText(const ExperimentReport& report);
/// @return one JSON object.
std::string toJson(const ExperimentReport& report);
/// Reads what toJson wrote.
/// @param source name of the text in messages.
Result<ExperimentReport> parseReport(const std::string& json, const std::string& source);

}  // namespace fernmoor::bench
