/// @file
/// What a request's flow asks its driver to do, in order. The daemon carries the actions out with
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

/// Choose an engine and report it by RequestFlow::onPlaced, or by onPlacementRefused.
struct Place {
  /// Engines that failed this request; to be taken only where there is no other.
  std::vector<EngineId> excluded;
};

/// Send the request to an engine as a new attempt.
struct Dispatch {
  AttemptId attempt;
  Placement placement;
  int64_t firstPosition = 0;  ///< Tokens that the caller has already.
  std::string deliveredText;  ///< Their text, which the engine takes as the prompt's continuation.
};

/// Ask the engine to repeat the attempt's output from a position. Starts no work there.
struct Resume {
  AttemptId attempt;
  Placement placement;
  int64_t position = 0;
};

/// Tell the engine to stop an attempt and drop the connection to it.
struct CancelAttempt {
  AttemptId attempt;
  Placement placement;
};

/// Send text to the caller. Consecutive ones join without gap or overlap.
struct DeliverText {
  int64_t position = 0;  ///< Of the first token.
  int64_t tokens = 0;
  std::string text;
};

/// Tell the caller that the answer is complete. The last action of a flow.
struct Finish {
  int64_t totalTokens = 0;
};

/// Give the caller its final answer: an error. The last action of a flow.
struct Refuse {
  Error error;
};

using FlowAction =
    std::variant<Place, Dispatch, Resume, CancelAttempt, DeliverText, Finish, Refuse>;
using FlowActions = std::vector<FlowAction>;

}  // namespace fernmoor
