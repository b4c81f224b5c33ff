/// @file
/// Summary of a finished request for `fernmoorctl explain` and for the metrics. Contains no prompt
/// or answer text.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "table/row.h"

namespace fernmoor {

/// One engine that was considered for an attempt.
struct ConsideredEngine {
  EngineId engine;
  int64_t matchedBlocks = 0;
  double expectedSeconds = 0;
};

struct AttemptRecord {
  AttemptId attempt;
  EngineId engine;
  std::string reason;  ///< One line that explains the choice of the engine.
  double expectedSeconds = 0;
  std::vector<ConsideredEngine> considered;
  std::string result;  ///< "ended", "given up" or the kind of the error.
};

struct RequestRecord {
  RequestId request;
  RowKey row;
  Duration queued{0};
  std::vector<AttemptRecord> attempts;
  std::optional<Error> refusal;
  RunState runState = RunState::kNotRun;
  int64_t promptTokens = 0;
  int64_t cachedTokens = 0;
  int64_t deliveredTokens = 0;
  std::optional<Duration> timeToFirstToken;
  Duration total{0};
};

}  // namespace fernmoor
