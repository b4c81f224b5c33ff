/// @file
/// What is kept of a request after it ended, for `fernmoorctl explain` and for the measures. Holds
/// no prompt or answer text.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "table/row.h"

namespace fernmoor {

/// One engine that was weighed for an attempt.
struct ConsideredEngine {
  EngineId engine;
  int64_t matchedBlocks = 0;
  double expectedSeconds = 0;
};

struct AttemptRecord {
  AttemptId attempt;
  EngineId engine;
  std::string reason;  ///< Of the choice, in one line.
  double expectedSeconds = 0;
  std::vector<ConsideredEngine> considered;
  std::string result;  ///< "ended", "given up" or the error's kind.
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
