#include "gateway/return_reservations.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Returning callers get at most this share of what the engine frees; the rest is for first
/// attempts, which would starve while many callers return.
constexpr double kReturnRateShare = 0.5;
/// A caller that bounds its wait by its own clock may arrive this much before the time it was told
/// (10 ms). The further questions for a first attempt come earlier, within 20 ms of the refusal.
constexpr Duration kMaxEarlyReturn{10000};
/// Shortest time until a return (50 ms).
constexpr Duration kMinReturnTime{50000};

double secondsToFree(double need, double perSecond) {
  return perSecond > 0 ? need / (perSecond * kReturnRateShare) : 0;
}

/// @return how long the engine takes to free that much for returning callers.
Duration refillTime(const RoomAmounts& need, const RoomAmounts& perSecond) {
  return fromSeconds(std::max({secondsToFree(need.places, perSecond.places),
                               secondsToFree(need.memoryTokens, perSecond.memoryTokens),
                               secondsToFree(need.readingTokens, perSecond.readingTokens)}));
}

void add(RoomAmounts& sum, const RoomAmounts& amounts) {
  sum.places += amounts.places;
  sum.memoryTokens += amounts.memoryTokens;
  sum.readingTokens += amounts.readingTokens;
}

bool isWithinShare(double reserved, double whole) {
  return whole <= 0 || reserved <= whole / kReservedDivisor;
}

bool isWithinShare(const RoomAmounts& reserved, const RoomAmounts& whole) {
  return isWithinShare(reserved.places, whole.places) &&
         isWithinShare(reserved.memoryTokens, whole.memoryTokens) &&
         isWithinShare(reserved.readingTokens, whole.readingTokens);
}

}  // namespace

void ReturnReservations::expire(Time now) {
  const auto isOver = [&](const Entry& entry) {
    return now >= (entry.isClaimed ? entry.refilledAt : entry.expiresAt());
  };
  for (const Entry& entry : entries_) {
    counts_.expired += isOver(entry) && !entry.isClaimed ? 1 : 0;
  }
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(), isOver), entries_.end());
}

ReturnReservations::Entry* ReturnReservations::findUnclaimed(uint64_t requestKey) {
  const auto found = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.requestKey == requestKey && !entry.isClaimed;
  });
  return found == entries_.end() ? nullptr : &*found;
}

Time ReturnReservations::firstGap(Duration refill, Time from) const {
  Time start = from;
  for (const Entry& entry : entries_) {
    if (start + refill <= entry.from) {
      break;
    }
    start = std::max(start, entry.refilledAt);
  }
  return start;
}

std::optional<Time> ReturnReservations::blockedUntil(const RoomAmounts& need,
                                                     const RoomAmounts& whole, Time from) const {
  RoomAmounts reserved = need;
  std::optional<Time> firstEnd;
  for (const Entry& entry : entries_) {
    const bool overlaps = entry.from < from + kReservationTime && from < entry.expiresAt();
    if (overlaps && !entry.isClaimed) {
      add(reserved, entry.need);
      firstEnd = firstEnd ? firstEnd : entry.expiresAt();
    }
  }
  return isWithinShare(reserved, whole) ? std::nullopt : firstEnd;
}

std::optional<Time> ReturnReservations::reserve(uint64_t requestKey, const RoomAmounts& need,
                                                const ReservableRoom& engine,
                                                const ReturnWindow& window, Time now) {
  if (requestKey == 0) {
    return std::nullopt;
  }
  expire(now);
  if (const Entry* const known = findUnclaimed(requestKey)) {
    return known->from;
  }
  const Duration refill = refillTime(need, engine.freedPerSecond);
  Time from = firstGap(refill, std::max(window.from, now + kMinReturnTime));
  bool hasRoom = entries_.size() < kMaxReservations && isWithinShare(need, engine.whole);
  while (hasRoom && from <= window.latest) {
    const std::optional<Time> blocked = blockedUntil(need, engine.whole, from);
    if (!blocked) {
      break;
    }
    from = firstGap(refill, *blocked);
  }
  hasRoom = hasRoom && from <= window.latest;
  if (!hasRoom) {
    ++counts_.refused;
    return std::nullopt;
  }
  const auto next = std::find_if(entries_.begin(), entries_.end(),
                                 [&](const Entry& entry) { return entry.from > from; });
  entries_.insert(next, Entry{requestKey, need, from, from + refill, false});
  return from;
}

bool ReturnReservations::isDue(uint64_t requestKey, Time now) {
  expire(now);
  const Entry* const found = requestKey == 0 ? nullptr : findUnclaimed(requestKey);
  return found != nullptr && now + kMaxEarlyReturn >= found->from;
}

bool ReturnReservations::claim(uint64_t requestKey, Time now) {
  if (!isDue(requestKey, now)) {
    return false;
  }
  findUnclaimed(requestKey)->isClaimed = true;
  ++counts_.served;
  return true;
}

void ReturnReservations::cancel(uint64_t requestKey) {
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                [&](const Entry& entry) {
                                  return entry.requestKey == requestKey && !entry.isClaimed;
                                }),
                 entries_.end());
}

RoomAmounts ReturnReservations::held(Time now, uint64_t requestKey) {
  expire(now);
  RoomAmounts sum;
  for (const Entry& entry : entries_) {
    const bool isOwn = requestKey != 0 && entry.requestKey == requestKey;
    if (!entry.isClaimed && !isOwn && entry.from <= now) {
      add(sum, entry.need);
    }
  }
  return sum;
}

size_t ReturnReservations::size(Time now) {
  expire(now);
  return static_cast<size_t>(std::count_if(entries_.begin(), entries_.end(),
                                           [](const Entry& entry) { return !entry.isClaimed; }));
}

}  // namespace fernmoor::gateway
