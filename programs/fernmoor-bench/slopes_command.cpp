/// @file
/// `fernmoor-bench slopes [PART...]`: costs by size, for docs/CAPACITY.md.
#include <algorithm>
#include <cstdio>

#include "bench/capacity.h"
#include "bench/slopes.h"
#include "commands.h"
#include "experiment_flags.h"
#include "flags.h"

namespace fernmoor::bench {

namespace {

struct Part {
  const char* name;
  std::vector<Slope> (*measure)();
};

constexpr Part kParts[] = {
    {"hashing", measurePromptHashing}, {"choice", measureRoutingDecision},
    {"owner", measureEngineOwner},     {"probes", measureProbes},
    {"membership", measureMembership}, {"table", measureTableMemory},
    {"spread", measureTableSpread},    {"admission", measureAdmission},
    {"claims", measureClaims},         {"wire", measureWire},
    {"gateway", measureGateway},       {"requests", measureRequestPath},
};

bool isWanted(const Part& part, const Arguments& names) {
  return names.empty() || std::find(names.begin(), names.end(), part.name) != names.end();
}

bool isKnown(const std::string& name) {
  return std::any_of(std::begin(kParts), std::end(kParts),
                     [&](const Part& part) { return name == part.name; });
}

}  // namespace

int runSlopesCommand(const Arguments& arguments) {
  for (const std::string& name : arguments) {
    if (!isKnown(name)) {
      std::fprintf(stderr, "fernmoor-bench: there is no part %s; choose from:", name.c_str());
      for (const Part& part : kParts) {
        std::fprintf(stderr, " %s", part.name);
      }
      std::fprintf(stderr, "\n");
      return kExitUsage;
    }
  }
  std::vector<Slope> slopes;
  for (const Part& part : kParts) {
    if (!isWanted(part, arguments)) {
      continue;
    }
    std::printf("Command: `fernmoor-bench slopes %s`\n\n", part.name);
    for (const Slope& slope : part.measure()) {
      std::printf("%s", toMarkdown(slope).c_str());
      std::fflush(stdout);
      slopes.push_back(slope);
    }
  }
  const std::vector<RoleCost> roles = computeCapacity(slopes);
  if (!roles.empty()) {
    std::printf("Capacity of one node at the target\n\n%s", capacityTable(roles).c_str());
  }
  if (FLAGS_json.empty()) {
    return kExitDone;
  }
  const Result<Done> written = writeFile(FLAGS_json, toJson(slopes));
  return isOk(written) ? kExitDone : printError(errorOf(written));
}

}  // namespace fernmoor::bench
