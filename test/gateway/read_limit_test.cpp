/// @file
/// Tests of src/gateway/read_limit.h under a played load: requests that arrive at a node with so
/// much processor time, in the order of their arrival.
#include "gateway/read_limit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

namespace fernmoor::gateway {

namespace {

constexpr double kCapacity = 100;  ///< Requests a second.
constexpr Duration kServiceTime{10000};
constexpr Duration kCloseTime{1000};
constexpr Duration kQuotaPeriod{100000};
constexpr int kBusy = 20;  ///< Requests in progress, more than are always read.

/// A node that reads or closes its requests one after the other.
class PlayedNode {
 public:
  /// @param runningShare share of each quota period in which the node runs; it serves kCapacity on
  ///        the average nevertheless.
  explicit PlayedNode(double runningShare = 1.0) : runningShare_(runningShare) {}

  /// Lets requests arrive for some time.
  void play(Duration time, double rate) {
    const Time end = now_ + time;
    const Duration gap(static_cast<int64_t>(1e6 / rate));
    for (Time at = now_; at < end; at += gap) {
      workUntil(at);
      waiting_.push_back(at);
    }
    workUntil(end);
    now_ = end;
  }
  /// The process is suspended while requests arrive.
  void freeze(Duration time, double rate) {
    const Time end = now_ + time;
    for (Time at = now_; at < end; at += Duration(static_cast<int64_t>(1e6 / rate))) {
      waiting_.push_back(at);
    }
    now_ = end;
    freeAt_ = end;
  }
  void forget() { read_ = closed_ = 0, longestWait_ = Duration(0); }

  int read() const { return read_; }
  int closed() const { return closed_; }
  Duration longestWait() const { return longestWait_; }
  bool isLimiting() const { return limit_.isLimiting(); }
  void setInProgress(int count) { inProgress_ = count; }

 private:
  void workUntil(Time end) {
    while (!waiting_.empty()) {
      const Time start = whileRunning(std::max(freeAt_, waiting_.front()));
      if (start >= end) {
        return;
      }
      const Duration waited = start - waiting_.front();
      waiting_.pop_front();
      limit_.note(waited, start);
      if (limit_.mustClose(waited, inProgress_)) {
        ++closed_;
        freeAt_ = start + scaled(kCloseTime);
      } else {
        ++read_;
        longestWait_ = std::max(longestWait_, waited);
        freeAt_ = start + scaled(kServiceTime);
      }
    }
  }
  Duration scaled(Duration time) const {
    return Duration(static_cast<int64_t>(static_cast<double>(time.count()) * runningShare_));
  }
  /// @return the time itself, or the start of the next period if the node stands still then.
  Time whileRunning(Time time) const {
    const Duration intoPeriod = time.time_since_epoch() % kQuotaPeriod;
    return intoPeriod < scaled(kQuotaPeriod) ? time : time - intoPeriod + kQuotaPeriod;
  }

  const double runningShare_;
  ReadLimit limit_;
  std::deque<Time> waiting_;
  Time now_{std::chrono::hours(1)};
  Time freeAt_ = now_;
  int inProgress_ = kBusy;
  int read_ = 0;
  int closed_ = 0;
  Duration longestWait_{};
};

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("a node that serves its load in time closes nothing") {
  SUBCASE("with a core of its own") {
    PlayedNode node;
    node.play(seconds(30), 0.9 * kCapacity);
    CHECK(node.closed() == 0);
  }
  SUBCASE("with an eighth of a core, so that it stands still in most of each period") {
    PlayedNode node(0.125);
    node.play(seconds(30), 0.9 * kCapacity);
    CHECK(node.closed() == 0);
    CHECK(node.longestWait() > milliseconds(70));
  }
}

TEST_CASE("a burst that is served in time closes nothing") {
  PlayedNode node;
  for (int burst = 0; burst < 10; ++burst) {
    node.play(milliseconds(300), 2.5 * kCapacity);
    node.play(milliseconds(2000), 0.5 * kCapacity);
  }
  CHECK(node.longestWait() > milliseconds(300));
  CHECK(node.closed() == 0);
}

TEST_CASE("a node that was suspended serves what arrived meanwhile") {
  PlayedNode node;
  node.play(seconds(5), 0.2 * kCapacity);
  node.freeze(seconds(3), 0.2 * kCapacity);
  node.play(seconds(5), 0.2 * kCapacity);
  CHECK(node.longestWait() > milliseconds(2900));
  CHECK(node.closed() == 0);
}

TEST_CASE("in a herd a node reads what it can serve in time and closes the rest") {
  double runningShare = 1;
  SUBCASE("with a core of its own") {}
  SUBCASE("with an eighth of a core") {
    runningShare = 0.125;
  }
  PlayedNode node(runningShare);
  node.play(seconds(5), 0.3 * kCapacity);
  CHECK(node.closed() == 0);
  node.play(seconds(4), 3 * kCapacity);
  CHECK(node.isLimiting());
  node.forget();
  node.play(seconds(20), 3 * kCapacity);
  CHECK(node.isLimiting());
  CHECK(node.longestWait() < milliseconds(150));
  // 3 of 4 requests are closed, which takes a fifth of its time.
  CHECK(node.read() >= 20 * 0.7 * kCapacity);
  CHECK(node.read() + node.closed() >= 20 * 2.9 * kCapacity);
  // Reads all again soon after it.
  node.play(seconds(6), 0.3 * kCapacity);
  CHECK_FALSE(node.isLimiting());
  node.forget();
  node.play(seconds(5), 0.9 * kCapacity);
  CHECK(node.closed() == 0);
}

TEST_CASE("an overload that goes on is closed at the rate of what is too much") {
  PlayedNode node;
  node.play(seconds(5), 1.3 * kCapacity);
  node.forget();
  node.play(seconds(20), 1.3 * kCapacity);
  CHECK(node.closed() > 0);
  CHECK(node.read() >= 20 * 0.9 * kCapacity);
}

TEST_CASE("a node with no request in progress reads one, however long it waited") {
  PlayedNode node;
  node.setInProgress(0);
  node.play(seconds(10), 3 * kCapacity);
  CHECK(node.isLimiting());
  CHECK(node.closed() == 0);
}

TEST_CASE("a few overdue requests show no overload") {
  ReadLimit limit;
  Time now{std::chrono::hours(1)};
  for (int second = 0; second < 30; ++second) {
    for (int request = 0; request < 8; ++request) {
      CHECK_FALSE(limit.note(seconds(1), now));
      now += milliseconds(120);
    }
  }
  CHECK_FALSE(limit.isLimiting());
}

TEST_CASE("the begin and the end of the limit are reported once each") {
  ReadLimit limit;
  Time now{std::chrono::hours(1)};
  int changes = 0;
  for (int request = 0; request < 300; ++request, now += milliseconds(20)) {
    changes += limit.note(milliseconds(300), now) ? 1 : 0;
  }
  CHECK(changes == 1);
  CHECK(limit.isLimiting());
  for (int request = 0; request < 300; ++request, now += milliseconds(20)) {
    changes += limit.note(milliseconds(1), now) ? 1 : 0;
  }
  CHECK(changes == 2);
  CHECK_FALSE(limit.isLimiting());
}

TEST_CASE("the limit ends when no requests arrive for some seconds") {
  ReadLimit limit;
  Time now{std::chrono::hours(1)};
  for (int request = 0; request < 100; ++request, now += milliseconds(20)) {
    limit.note(milliseconds(300), now);
  }
  CHECK(limit.isLimiting());
  CHECK(limit.note(milliseconds(300), now + seconds(5)));
  CHECK_FALSE(limit.isLimiting());
}

}  // namespace fernmoor::gateway
