/// @file
/// State of one request while an experiment runs.
#pragma once

#include <optional>
#include <string>

#include "common/time.h"
#include "engine/engine_state.h"
#include "prefix/block_chain.h"
#include "table/row.h"

namespace fernmoor::bench {

/// One request on its way.
struct Flight {
  std::string prompt;
  BlockChain chain;
  Row row;
  size_t router = 0;
  size_t engine = 0;
  Placement placement;
  int64_t attempt = 0;
  bool running = false;  ///< An attempt is at an engine.
  bool finished = false;
  Time arrivedAt;
  std::optional<Time> lastFrameAt;
  int64_t delivered = 0;
  int64_t oracleBlocks = 0;
};

}  // namespace fernmoor::bench
