/// @file
/// Queue of the requests that wait for a free slot in one pool of engines. Interactive requests go
/// before deferred ones, lower priority numbers before higher ones, and tenants of equal priority
/// share by weight. To prevent starvation, every overdueGrantInterval-th grant goes to a lower band
/// that has an overdue request, that is, one that has waited for half of its allowed time; such
/// bands are served round-robin.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "admission/admission_request.h"
#include "admission/fair_band.h"
#include "common/knobs.h"

namespace fernmoor {

/// A waiting request.
struct QueuedRequest {
  TicketId ticket;
  AdmissionRequest request;
  Time enqueuedAt;
  Time latestStart;  ///< A later start would exceed maxWait or miss the deadline.
};

/// @return the latest start that respects both the request's maxWait and its deadline.
Time latestStartOf(const AdmissionRequest& request, Time now);

/// Not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const Knobs& knobs);

  /// Adds a request. If the queue is full, evicts the newest request of the lowest band below it.
  /// @return the request to reject: the evicted one, `queued` itself if none could be evicted, or
  /// none.
  std::optional<QueuedRequest> push(const QueuedRequest& queued);
  /// Removes and returns the next request to start, if any. Call takeExpired() first.
  std::optional<QueuedRequest> pop(Time now);
  /// Removes and returns the requests whose latest start has passed.
  std::vector<QueuedRequest> takeExpired(Time now);
  /// Removes the request of a caller that disconnected.
  std::optional<QueuedRequest> remove(TicketId ticket);

  /// @return an estimate of how many queued requests would start before this one if added now.
  double requestsAhead(const AdmissionRequest& request) const;
  size_t size() const { return waiting_.size(); }

 private:
  static constexpr size_t kPriorities = 10;
  static constexpr size_t kBands = 2 * kPriorities;

  struct TimedTicket {
    Time at;
    TicketId ticket;
    friend bool operator<(const TimedTicket& a, const TimedTicket& b) {
      return a.at != b.at ? a.at < b.at : a.ticket < b.ticket;
    }
  };

  static size_t bandOf(const AdmissionRequest& request);
  static Time overdueAt(const QueuedRequest& queued);
  std::optional<size_t> firstBand() const;
  std::optional<size_t> nextBand(Time now);
  std::optional<size_t> nextOverdueBand(size_t first, Time now);
  std::optional<TicketId> newestBelow(size_t band) const;
  QueuedRequest take(TicketId ticket, bool served);

  size_t limit_;
  uint64_t overdueInterval_;
  uint64_t grants_ = 0;
  std::array<FairBand, kBands> bands_;
  std::array<std::set<TicketId>, kBands> bandTickets_;  ///< Oldest first.
  std::unordered_map<TicketId, QueuedRequest> waiting_;
  std::set<TimedTicket> byLatestStart_;
  std::array<std::set<TimedTicket>, kBands> byOverdue_;
  size_t lastOverdueBand_ = 0;  ///< The round-robin search starts at the band after this one.
};

}  // namespace fernmoor
