/// @file
/// Capacity of one engine that is reserved for callers who were refused and return once. Without it
/// a returning caller competes with first attempts and may be refused again, for the last time.
/// Return times are spread by the rate at which the engine frees capacity, so that returning
/// callers do not collide. No clock: the caller passes the time.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/time.h"
#include "gateway/room_amounts.h"

namespace fernmoor::gateway {

/// How long reserved capacity is kept from the time told to the caller.
inline constexpr Duration kReservationTime{500000};
/// At most the engine's capacity divided by this is reserved at one time.
inline constexpr int kReservedDivisor = 4;
inline constexpr size_t kMaxReservations = 64;

/// What reservations at an engine depend on. Zero in a field: unknown; it is then not limited.
struct ReservableRoom {
  RoomAmounts whole;           ///< Its capacity.
  RoomAmounts freedPerSecond;  ///< Recent rate at which it frees capacity.
};

struct ReturnCounts {
  uint64_t served = 0;   ///< Retries that claimed their reservation.
  uint64_t refused = 0;  ///< Refused requests for which nothing could be reserved.
  uint64_t expired = 0;  ///< Reservations that were not claimed in time.

  ReturnCounts& operator+=(const ReturnCounts& other) {
    served += other.served;
    refused += other.refused;
    expired += other.expired;
    return *this;
  }
};

/// A time in which a caller may be told to return.
struct ReturnWindow {
  Time from;    ///< Capacity for the request is expected by then.
  Time latest;  ///< Its caller returns by then, whatever it is told.
};

/// Not thread-safe; kept per engine by the node that counts for it.
class ReturnReservations {
 public:
  /// Reserves capacity for the retry of a request that is refused. A request that has a reservation
  /// keeps it.
  /// @param requestKey the same for the first attempt and the retry; 0 gets no reservation.
  /// @return when the caller is to return; std::nullopt if nothing is reserved.
  std::optional<Time> reserve(uint64_t requestKey, const RoomAmounts& need,
                              const ReservableRoom& engine, const ReturnWindow& window, Time now);
  /// A request that comes before its time is a further question for the first attempt.
  /// @return whether the request is a retry for which capacity is reserved now.
  bool isDue(uint64_t requestKey, Time now);
  /// Ends the reservation of a request that is due and is served.
  /// @return whether the reserved capacity now belongs to the request.
  bool claim(uint64_t requestKey, Time now);
  /// Removes the reservation of a first attempt that is served after all.
  void cancel(uint64_t requestKey);
  /// @param requestKey of a request whose own reservation is not counted; 0: all are.
  /// @return what other requests must leave free now.
  RoomAmounts held(Time now, uint64_t requestKey = 0);
  /// @return counts since the start.
  const ReturnCounts& counts() const { return counts_; }
  /// @return the number of reservations that are neither claimed nor expired.
  size_t size(Time now);

 private:
  struct Entry {
    uint64_t requestKey = 0;
    RoomAmounts need;
    Time from;
    Time refilledAt;  ///< The engine has freed as much capacity again; no other return before.
    bool isClaimed = false;

    Time expiresAt() const { return from + kReservationTime; }
  };

  void expire(Time now);
  Entry* findUnclaimed(uint64_t requestKey);
  /// @return the first time from `from` on at which the engine frees enough for one more return.
  Time firstGap(Duration refill, Time from) const;
  /// @return when some reservation ends that is in the way of one from `from` on; std::nullopt if
  ///         the reserved share has room for it.
  std::optional<Time> blockedUntil(const RoomAmounts& need, const RoomAmounts& whole,
                                   Time from) const;

  std::vector<Entry> entries_;  ///< By `from`.
  ReturnCounts counts_;
};

}  // namespace fernmoor::gateway
