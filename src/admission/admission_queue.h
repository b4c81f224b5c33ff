/// @file
/// Requests that wait for a place at one pool of engines. Interactive work goes before deferred
/// work, lower priority numbers before higher ones, and tenants of one priority share by weight.
/// So that neither deferred work nor low priorities starve, every few grants one goes in turn to a
/// band behind the first in which a request has waited for half of its allowed time.
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
  Time latestStart;  ///< Starting later, it would miss its deadline or its longest wait.
};

/// @return the latest start that still meets the request's longest wait and deadline.
Time latestStartOf(const AdmissionRequest& request, Time now);

/// Not thread-safe.
class AdmissionQueue {
 public:
  explicit AdmissionQueue(const Knobs& knobs);

  /// Adds a request. Where the queue is full, the newest request of a lower band makes place.
  /// @return the request that has to be refused: another one, this one, or none.
  std::optional<QueuedRequest> push(const QueuedRequest& queued);
  /// Takes out the request that is next, or none. Call takeExpired() first.
  std::optional<QueuedRequest> pop(Time now);
  /// Takes out the requests whose latest start has passed.
  std::vector<QueuedRequest> takeExpired(Time now);
  /// Takes out one request, for a caller that went away.
  std::optional<QueuedRequest> remove(TicketId ticket);

  /// @return requests that would go before this one, were it added now.
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
  size_t lastOverdueBand_ = 0;  ///< Bands take turns, going up from here.
};

}  // namespace fernmoor
