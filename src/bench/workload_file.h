/// @file
/// Workload files: what callers of one deployment send, and the engines that serve them. The same
/// files drive the experiments under virtual time and the load over HTTP.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/time.h"
#include "table/row.h"

namespace fernmoor::bench {

/// The back ends and routers of a deployment.
struct FleetSpec {
  int64_t zones = 3;
  int64_t routersPerZone = 1;
  int64_t engines = 12;
  int64_t applicationEngines = 3;
  ModelId model;
  double prefillTokensPerSecond = 20000;
  Duration tokenInterval{25000};
  int64_t batchSlots = 32;
  int64_t cacheBlocks = 8192;           ///< Of one engine.
  Duration sameZoneLatency{200};        ///< One way.
  Duration crossZoneLatency{1200};      ///< One way.
  Duration clientLatency{1000};         ///< One way, caller to router.
  Duration applicationTime{20000};      ///< Service time of an application engine.
  int64_t applicationConcurrency = 64;  ///< Requests at once on an application engine.
};

struct TenantSpec {
  TenantId id;
  double share = 1;  ///< Of the requests, relative to the other tenants.
};

/// A stretch of text that starts prompts of several services, e.g. the spending rules.
struct RuleBookSpec {
  std::string name;
  int64_t tokens = 0;
};

/// A surge of one class: its rate rises in a straight line to `factor` times over the first half
/// of `length`, and falls back over the second half.
struct BurstSpec {
  Duration every{0};  ///< 0: never.
  Duration length{0};
  double factor = 1;
};

/// One kind of request, served under one row of the table for each tenant and service.
struct ClassSpec {
  std::string name;
  BackEndKind backEnd = BackEndKind::kModel;
  DeadlineClass deadlineClass = DeadlineClass::kInteractive;
  int64_t priority = 5;
  bool repeatable = true;
  double requestsPerSecond = 1;  ///< At load factor 1, over all tenants, outside bursts.
  Duration deadline{30000000};
  Duration maxWait{10000000};
  Duration finishEvery{0};  ///< Work must finish by each multiple of this; 0: `deadline` holds.
  double recomputationWeight = 1;
  double rowRatePerSecond = 0;  ///< Rate limit of each row; 0: none.
  std::string ruleBook;         ///< Name of a rule book; empty: none.
  int64_t services = 1;         ///< Services of each tenant in this class.
  int64_t serviceTokens = 0;    ///< Length of a service's layer.
  int64_t leaves = 1;           ///< Wards or claims of each service.
  int64_t leafTokens = 0;       ///< Length of a ward's or claim's layer.
  int64_t ownTokens = 32;       ///< Mean length of what only this request has.
  int64_t outputTokens = 64;    ///< Mean length of the answer.
  int64_t hotLeaves = 0;        ///< Leaves of the whole class that are hot at one time.
  double hotShare = 0;          ///< Share of requests that go to them.
  Duration hotShift{30000000};  ///< How long one set of leaves stays hot.
  BurstSpec burst;
};

struct WorkloadSpec {
  std::string name;
  FleetSpec fleet;
  std::vector<TenantSpec> tenants;
  std::vector<RuleBookSpec> ruleBooks;
  std::vector<ClassSpec> classes;
};

/// Reads a workload from TOML text.
/// @param source name of the text in messages, e.g. the file's path.
/// @return an error of kind kInvalidRequest that names the key and what it should be.
Result<WorkloadSpec> parseWorkload(const std::string& text, const std::string& source);

/// Reads a workload file.
Result<WorkloadSpec> loadWorkload(const std::string& path);

}  // namespace fernmoor::bench
