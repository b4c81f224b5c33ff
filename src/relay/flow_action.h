/// @file
/// Actions that a RequestFlow asks its driver to execute, in order. The daemon executes them over
/// HTTP, the simulator on its virtual network.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "engine/engine_state.h"

namespace fernmoor {

/// Choose an engine and report it with RequestFlow::onPlaced(), or the failure to find one with
/// onPlacementRefused().
struct Place {
  /// Engines that already failed this request; choose one of them only if there is no other.
  std::vector<EngineId> excluded;
};

/// Send the request to an engine as a new attempt.
struct Dispatch {
  AttemptId attempt;
  Placement placement;
  int64_t firstPosition = 0;  ///< Number of tokens already delivered to the caller.
  std::string deliveredText;  ///< Text of these tokens; the engine appends it to the prompt.
};

/// Ask the engine to resend the attempt's output from a position. Starts no new computation.
struct Resume {
  AttemptId attempt;
  Placement placement;
  int64_t position = 0;
};

/// Tell the engine to stop the attempt, and close its connection.
struct CancelAttempt {
  AttemptId attempt;
  Placement placement;
};

/// Send text to the caller. Consecutive deliveries join without gap or overlap.
struct DeliverText {
  int64_t position = 0;  ///< Of the first token.
  int64_t tokens = 0;
  std::string text;
};

/// Tell the caller that the answer is complete. The last action of a flow.
struct Finish {
  int64_t totalTokens = 0;
};

/// Answer the caller with an error. The last action of a flow.
struct Refuse {
  Error error;
};

using FlowAction =
    std::variant<Place, Dispatch, Resume, CancelAttempt, DeliverText, Finish, Refuse>;
using FlowActions = std::vector<FlowAction>;

}  // namespace fernmoor
