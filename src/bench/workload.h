/// @file
/// Seeded generator of the requests that a workload file describes. Pure: the same file, seed and
/// load factor give the same requests on every machine.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/workload_file.h"
#include "common/time.h"

namespace fernmoor::bench {

/// One request of a workload; its prompt is made by PromptWriter when it is needed.
struct WorkloadRequest {
  uint64_t number = 0;   ///< Position in the order of arrival, from 0.
  Duration arrival{0};   ///< Since the start of the run.
  Duration deadline{0};  ///< Since the start of the run; the last byte is due.
  size_t classIndex = 0;
  size_t tenantIndex = 0;
  int64_t service = 0;
  int64_t leaf = 0;
  int64_t ownTokens = 0;
  int64_t outputTokens = 0;
  int64_t zone = 0;  ///< Zone that the caller reaches.
};

/// How the generator is turned.
struct WorkloadOptions {
  uint64_t seed = 1;
  Duration length{60000000};
  double loadFactor = 1;  ///< Multiplies every class's rate.
};

/// @return the requests, ordered by arrival.
std::vector<WorkloadRequest> generateWorkload(const WorkloadSpec& spec,
                                              const WorkloadOptions& options);

/// @return the row that governs the requests of a class for a tenant's service.
Row workloadRow(const WorkloadSpec& spec, size_t classIndex, size_t tenantIndex, int64_t service);

/// Writes prompts: rules, then the service's layer, then the leaf's, then the request's own words.
/// Keeps the layers that are shared. Not thread-safe.
class PromptWriter {
 public:
  explicit PromptWriter(const WorkloadSpec& spec) : spec_(spec) {}
  std::string write(const WorkloadRequest& request);

 private:
  const std::string& layer(const std::string& name, int64_t tokens);

  const WorkloadSpec& spec_;
  std::unordered_map<std::string, std::string> layers_;
};

}  // namespace fernmoor::bench
