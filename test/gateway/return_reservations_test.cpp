/// @file
/// Tests of src/gateway/return_reservations.h: callers meet a simulated engine in virtual time.
#include "gateway/return_reservations.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace fernmoor::gateway {

namespace {

constexpr Time kStart{std::chrono::seconds(100)};
constexpr Duration kStep{1000};
/// 32 places, each used for 3.2 s, so that ten become free in a second.
constexpr int kSlots = 32;
constexpr Duration kResidence{3200000};
const ReservableRoom kRoom{{kSlots, 96000, 40000}, {10, 0, 0}};
const RoomAmounts kNeed{1, 1000, 800};

Duration milliseconds(int64_t count) {
  return std::chrono::milliseconds(count);
}

ReturnWindow windowFrom(Time from) {
  return ReturnWindow{from, from + std::chrono::seconds(10)};
}

struct Outcome {
  int firstAttempts = 0;  ///< Served at their first attempt.
  int withReservation = 0;
  int others = 0;           ///< Served when they returned without a reservation.
  int lost = 0;             ///< Refused twice.
  Duration longestWait{0};  ///< Of a caller who returned to its reservation.
  std::map<uint64_t, int> served;
};

/// A hundred callers with 15 s each arrive within 5 s, twice as many as the full engine can take
/// meanwhile.
Outcome playRush(bool reserves) {
  ReturnReservations reservations;
  std::multimap<Time, std::pair<uint64_t, bool>> arrivals;
  for (uint64_t caller = 1; caller <= 100; ++caller) {
    arrivals.emplace(kStart + milliseconds(50 * static_cast<int64_t>(caller)),
                     std::make_pair(caller, false));
  }
  std::multiset<Time> ends;
  for (int slot = 1; slot <= kSlots; ++slot) {
    ends.insert(kStart + kResidence / kSlots * slot);
  }
  std::deque<std::pair<uint64_t, Time>> returned;  // With a reservation, and waiting for a slot.
  Outcome outcome;
  for (Time now = kStart; now < kStart + std::chrono::seconds(15); now += kStep) {
    ends.erase(ends.begin(), ends.upper_bound(now));
    const auto serve = [&](uint64_t caller) {
      ends.insert(now + kResidence);
      ++outcome.served[caller];
    };
    for (; !arrivals.empty() && arrivals.begin()->first <= now; arrivals.erase(arrivals.begin())) {
      const auto [caller, isRetry] = arrivals.begin()->second;
      const double free = kSlots - static_cast<double>(ends.size() + returned.size());
      if (isRetry && reservations.claim(caller, now)) {
        returned.emplace_back(caller, now);
      } else if (free - reservations.held(now).places >= 1) {
        serve(caller);
        ++(isRetry ? outcome.others : outcome.firstAttempts);
      } else if (isRetry) {
        ++outcome.lost;
      } else {
        const Time expected = now + milliseconds(250);
        const Time latest = now + std::chrono::seconds(5);
        const auto from = reserves ? reservations.reserve(caller, kNeed, kRoom,
                                                          ReturnWindow{expected, latest}, now)
                                   : std::optional<Time>(expected);
        arrivals.emplace(from.value_or(latest), std::make_pair(caller, true));
      }
    }
    for (; !returned.empty() && ends.size() < kSlots; returned.pop_front()) {
      serve(returned.front().first);
      ++outcome.withReservation;
      outcome.longestWait = std::max(outcome.longestWait, now - returned.front().second);
    }
  }
  CHECK(static_cast<int>(reservations.counts().served) == outcome.withReservation);
  CHECK(reservations.counts().expired == 0);
  return outcome;
}

}  // namespace

// Guards against callers who return to the same queue and are refused again, and against returning
// callers who take all that the engine frees.
TEST_CASE("callers of a full engine are served when they return, and first attempts too") {
  const Outcome with = playRush(true);
  const Outcome without = playRush(false);
  CHECK(with.withReservation >= 40);
  CHECK((with.longestWait <= milliseconds(200)));
  CHECK(with.firstAttempts >= 20);
  CHECK(with.lost * 3 <= without.lost);
  CHECK(std::all_of(with.served.begin(), with.served.end(),
                    [](const auto& each) { return each.second == 1; }));
  CHECK(with.firstAttempts + with.withReservation + with.others + with.lost == 100);
}

// Guards against capacity that stays idle for callers who have left.
TEST_CASE("a caller that never returns costs its capacity for 500 ms") {
  ReturnReservations reservations;
  const Time from = kStart + milliseconds(300);
  REQUIRE((reservations.reserve(7, kNeed, kRoom, windowFrom(from), kStart) == from));
  CHECK(reservations.held(from - kStep).places == 0);
  CHECK(reservations.held(from).places == 1);
  CHECK(reservations.held(from + milliseconds(499)).memoryTokens == 1000);
  CHECK(reservations.held(from + milliseconds(500)).places == 0);
  CHECK_FALSE(reservations.claim(7, from + milliseconds(500)));
  CHECK(reservations.counts().expired == 1);
  CHECK(reservations.size(from + milliseconds(500)) == 0);
}

// Guards against a reservation that serves two requests, or the first attempt's further questions.
TEST_CASE("a reservation is claimed once, by a request that comes at its time") {
  ReturnReservations reservations;
  const Time from = kStart + milliseconds(300);
  reservations.reserve(7, kNeed, kRoom, windowFrom(from), kStart);
  CHECK((reservations.reserve(7, kNeed, kRoom, windowFrom(from), kStart + kStep) == from));
  CHECK_FALSE(reservations.claim(7, kStart + milliseconds(5)));
  CHECK_FALSE(reservations.claim(8, from));
  CHECK(reservations.claim(7, from));
  CHECK_FALSE(reservations.claim(7, from));
  CHECK(reservations.held(from).places == 0);
  SUBCASE("a first attempt that is served after all needs none") {
    reservations.reserve(9, kNeed, kRoom, windowFrom(from), kStart);
    reservations.cancel(9);
    CHECK_FALSE(reservations.claim(9, from));
  }
  SUBCASE("a request without a key neither reserves nor claims") {
    CHECK_FALSE(reservations.reserve(0, kNeed, kRoom, windowFrom(from), kStart).has_value());
    CHECK_FALSE(reservations.claim(0, from));
    CHECK(reservations.counts().refused == 0);
  }
}

// Guards against returning callers who collide, and reservations that shut out first attempts.
TEST_CASE("reservations are spread, and bounded in number and in each amount") {
  const auto mostHeld = [](const RoomAmounts& need, const ReservableRoom& room) {
    ReturnReservations reservations;
    std::set<Time> times;
    for (uint64_t key = 1; key <= 200; ++key) {
      const ReturnWindow window{kStart, kStart + std::chrono::minutes(1)};
      if (const auto from = reservations.reserve(key, need, room, window, kStart)) {
        times.insert(*from);
      }
    }
    CHECK(reservations.size(kStart) == kMaxReservations);
    CHECK(reservations.counts().refused == 200 - kMaxReservations);
    RoomAmounts most;
    for (Time now = kStart; now < kStart + std::chrono::minutes(1); now += milliseconds(10)) {
      const RoomAmounts held = reservations.held(now);
      most = RoomAmounts{std::max(most.places, held.places),
                         std::max(most.memoryTokens, held.memoryTokens),
                         std::max(most.readingTokens, held.readingTokens)};
    }
    return std::make_pair(most, times.size());
  };
  const auto spread = mostHeld(kNeed, kRoom);
  CHECK(spread.second == kMaxReservations);  // One at a time, as the engine frees places.
  CHECK(spread.first.places <= 3);
  const RoomAmounts fast{1000, 0, 0};
  CHECK(mostHeld(kNeed, ReservableRoom{{kSlots, 0, 0}, fast}).first.places == 8);
  CHECK(mostHeld(kNeed, ReservableRoom{{0, 20000, 0}, fast}).first.memoryTokens == 5000);
  CHECK(mostHeld(kNeed, ReservableRoom{{0, 0, 12000}, fast}).first.readingTokens == 2400);
  SUBCASE("none for a request above the share, or whose caller returns before its time") {
    ReturnReservations reservations;
    CHECK_FALSE(
        reservations.reserve(1, {1, 24001, 0}, kRoom, windowFrom(kStart), kStart).has_value());
    CHECK_FALSE(
        reservations
            .reserve(2, kNeed, kRoom, ReturnWindow{kStart + milliseconds(900), kStart}, kStart)
            .has_value());
    CHECK(reservations.counts().refused == 2);
  }
}

}  // namespace fernmoor::gateway
