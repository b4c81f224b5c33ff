#include "admission/admission_queue.h"

#include <algorithm>

namespace fernmoor {

Time latestStartOf(const AdmissionRequest& request, Time now) {
  return std::min(now + request.maxWait, request.deadline - request.expectedService);
}

AdmissionQueue::AdmissionQueue(const Knobs& knobs)
    : limit_(static_cast<size_t>(knobs.admissionQueueLimit)),
      overdueInterval_(static_cast<uint64_t>(knobs.overdueGrantInterval)) {}

size_t AdmissionQueue::bandOf(const AdmissionRequest& request) {
  const auto priority = static_cast<size_t>(
      std::clamp<int64_t>(request.priority, 0, static_cast<int64_t>(kPriorities) - 1));
  return request.deadlineClass == DeadlineClass::kInteractive ? priority : kPriorities + priority;
}

Time AdmissionQueue::overdueAt(const QueuedRequest& queued) {
  return queued.enqueuedAt + (queued.latestStart - queued.enqueuedAt) / 2;
}

std::optional<QueuedRequest> AdmissionQueue::push(const QueuedRequest& queued) {
  const size_t band = bandOf(queued.request);
  std::optional<QueuedRequest> refused;
  if (waiting_.size() >= limit_) {
    const auto victim = newestBelow(band);
    if (!victim) {
      return queued;
    }
    refused = take(*victim, false);
  }
  const AdmissionRequest& request = queued.request;
  bands_[band].push(request.limits.row.tenant, request.weight, request.cost, queued.ticket);
  bandTickets_[band].insert(queued.ticket);
  byLatestStart_.insert(TimedTicket{queued.latestStart, queued.ticket});
  byOverdue_[band].insert(TimedTicket{overdueAt(queued), queued.ticket});
  waiting_.emplace(queued.ticket, queued);
  return refused;
}

std::optional<TicketId> AdmissionQueue::newestBelow(size_t band) const {
  for (size_t lower = kBands - 1; lower > band; --lower) {
    if (!bandTickets_[lower].empty()) {
      return *bandTickets_[lower].rbegin();
    }
  }
  return std::nullopt;
}

std::optional<QueuedRequest> AdmissionQueue::pop(Time now) {
  const auto band = nextBand(now);
  if (!band) {
    return std::nullopt;
  }
  ++grants_;
  return take(bands_[*band].front(), true);
}

std::optional<size_t> AdmissionQueue::firstBand() const {
  const auto band = std::find_if(bands_.begin(), bands_.end(),
                                 [](const FairBand& each) { return !each.empty(); });
  if (band == bands_.end()) {
    return std::nullopt;
  }
  return static_cast<size_t>(band - bands_.begin());
}

std::optional<size_t> AdmissionQueue::nextBand(Time now) {
  const auto first = firstBand();
  const bool isOverdueGrant = (grants_ + 1) % overdueInterval_ == 0;
  if (first && isOverdueGrant) {
    return nextOverdueBand(*first, now).value_or(*first);
  }
  return first;
}

std::optional<size_t> AdmissionQueue::nextOverdueBand(size_t first, Time now) {
  for (size_t step = 1; step <= kBands; ++step) {
    const size_t band = (lastOverdueBand_ + step) % kBands;
    const std::set<TimedTicket>& overdue = byOverdue_[band];
    if (band != first && !overdue.empty() && overdue.begin()->at <= now) {
      lastOverdueBand_ = band;
      return band;
    }
  }
  return std::nullopt;
}

std::vector<QueuedRequest> AdmissionQueue::takeExpired(Time now) {
  std::vector<QueuedRequest> expired;
  while (!byLatestStart_.empty() && byLatestStart_.begin()->at < now) {
    expired.push_back(take(byLatestStart_.begin()->ticket, false));
  }
  return expired;
}

std::optional<QueuedRequest> AdmissionQueue::remove(TicketId ticket) {
  if (waiting_.count(ticket) == 0) {
    return std::nullopt;
  }
  return take(ticket, false);
}

QueuedRequest AdmissionQueue::take(TicketId ticket, bool served) {
  const auto found = waiting_.find(ticket);
  QueuedRequest queued = std::move(found->second);
  waiting_.erase(found);
  const size_t band = bandOf(queued.request);
  bands_[band].remove(queued.request.limits.row.tenant, ticket, served);
  bandTickets_[band].erase(ticket);
  byLatestStart_.erase(TimedTicket{queued.latestStart, ticket});
  byOverdue_[band].erase(TimedTicket{overdueAt(queued), ticket});
  return queued;
}

double AdmissionQueue::requestsAhead(const AdmissionRequest& request) const {
  const size_t own = bandOf(request);
  double ahead = bands_[own].ticketsAhead(request.limits.row.tenant, request.weight);
  for (size_t band = 0; band < own; ++band) {
    ahead += static_cast<double>(bands_[band].size());
  }
  return ahead;
}

}  // namespace fernmoor
