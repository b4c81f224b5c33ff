/// @file
/// Amounts of the three resources of an engine.
#pragma once

namespace fernmoor::gateway {

struct RoomAmounts {
  double places = 0;  ///< Requests in its batch.
  double memoryTokens = 0;
  double readingTokens = 0;  ///< Prompt tokens that are still to be read.
};

}  // namespace fernmoor::gateway
