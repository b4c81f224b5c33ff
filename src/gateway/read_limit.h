/// @file
/// Limits what an overloaded node reads, by how long requests lately waited to be read.
///
/// Callers can turn to another node only while their request is unread. A node that reads more than
/// it has processor time for lets all of them wait until they give up. This follows CoDel
/// (controlled delay): a wait that all requests have for a whole interval is a standing queue,
/// which a burst that the node can serve in time does not leave behind.
#pragma once

#include <mutex>

#include "common/time.h"

namespace fernmoor::gateway {

struct ReadLimitBounds {
  /// The limit begins by requests that waited for so long: half of a usual target for the first
  /// event.
  Duration beginAfter{250000};
  /// Time over which requests must wait for so long before any is closed.
  Duration interval{1000000};
  /// Fewer requests in an interval show nothing.
  int minRequests = 10;
  /// Share of the requests of an interval that must have waited for so long.
  double beginShare = 0.9;
  /// While the limit acts, a request that waited for so long is closed: callers learn soon that
  /// they must turn to another node, and the queue stays short. A machine with a quota stands still
  /// for up to one period of 100 ms without being overloaded.
  Duration closeAfter{100000};
  /// The limit ends after so many intervals in a row with a smaller share of such requests.
  double endShare = 0.1;
  int calmIntervals = 3;
  /// With fewer requests in progress all are read: whatever else uses the processor, also on all
  /// nodes at once, the node goes on serving. With 4 instead of 1, requests in a herd waited for
  /// 0.37 s instead of 0.23 to 0.30 s in the median.
  int minInProgress = 1;
};

/// Thread-safe. Costs 64 bytes and no messages.
class ReadLimit {
 public:
  explicit ReadLimit(ReadLimitBounds bounds = {}) : bounds_(bounds) {}

  /// Records how long the first request of a connection waited until it was read or closed.
  /// @return whether the limit began or ended.
  bool note(Duration waited, Time now);
  /// @param inProgress requests that are read and not yet answered.
  /// @return whether a request that waited for so long must be closed unread.
  bool mustClose(Duration waited, int inProgress) const;
  bool isLimiting() const;

 private:
  void endIntervals(Time now);

  const ReadLimitBounds bounds_;
  mutable std::mutex mutex_;
  bool isLimiting_ = false;
  Time intervalStart_;
  int requests_ = 0;  ///< In the current interval.
  int slow_ = 0;      ///< Of them, those that waited for `beginAfter`.
  int overdue_ = 0;   ///< Of them, those that waited for `closeAfter`.
  int64_t calmIntervals_ = 0;
};

}  // namespace fernmoor::gateway
