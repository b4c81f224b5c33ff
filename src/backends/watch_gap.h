/// @file
/// Since when a watch that ended may have missed changes.
#pragma once

#include <algorithm>

#include "common/time.h"

namespace fernmoor {

/// One watch that ended without an answer.
struct EndedWatch {
  Time askedAt;
  Time endedAt;
  Duration wait;  ///< How long its store was asked to hold it.
};

/// A store that drops its history is silent for a moment before it cuts its watches; this is
/// longer.
inline constexpr Duration kSilenceBeforeCut{1300000};

/// @return the last instant at which everything is known to have been heard of. A watch that was
/// cut
///         had been listening until shortly before; one that ran out of time may have heard
///         nothing.
inline Time lastHeardOf(const EndedWatch& watch) {
  const bool ranOut = watch.endedAt - watch.askedAt >= watch.wait;
  return ranOut ? watch.askedAt : std::max(watch.askedAt, watch.endedAt - kSilenceBeforeCut);
}

}  // namespace fernmoor
