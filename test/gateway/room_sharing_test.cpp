/// @file
/// Tests of src/gateway/room_sharing.h: loads are played against one engine in virtual time.
#include "gateway/room_sharing.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace fernmoor::gateway {

namespace {

constexpr Time kStart{std::chrono::seconds(100)};
constexpr Duration kStep{5000};
constexpr int kDrawsPerStep = 4;
constexpr Duration kRetryAfter{300000};
constexpr RoomAmounts kCapacity{32, 95466, 20000};
constexpr double kReadTokensPerStep = 204;  // 40.8 tokens/ms.

Time at(double seconds) {
  return kStart + fromSeconds(seconds);
}

RoomClaim longClaim(uint64_t tenant = 0, int urgency = 2) {
  return RoomClaim{urgency, tenant, {1, 9200, 2890}};
}
RoomClaim shortClaim(uint64_t tenant = 0, int urgency = 0) {
  return RoomClaim{urgency, tenant, {1, 1120, 628}};
}

struct Stream {
  RoomClaim claim;
  double perSecond;
  double answerSeconds;
  double from = 0;
  double until = 1e9;
  int asked = 0;
  int served = 0;

  double part() const { return asked == 0 ? 1 : static_cast<double>(served) / asked; }
};

/// An engine that reads prompts one after the other. A refused request is tried once more.
class Play {
 public:
  explicit Play(std::vector<Stream> load) : streams(std::move(load)) {}

  void run(double untilSecond) {
    for (; now < at(untilSecond); now += kStep) {
      advance();
      for (; !retries_.empty() && now >= retries_.front().first; retries_.pop_front()) {
        ask(streams[retries_.front().second], false);
      }
      for (Stream& stream : streams) {
        const bool isOn = now >= at(stream.from) && now < at(stream.until);
        for (int draw = 0; isOn && draw < kDrawsPerStep; ++draw) {
          if (static_cast<double>(random_()) <
              stream.perSecond * toSeconds(kStep) / kDrawsPerStep * 4294967296.0) {
            ++stream.asked;
            ask(stream, true);
          }
        }
      }
    }
  }
  /// @return the mean use of places by the claims with this urgency since the last call.
  double meanPlaces(int urgency) {
    const double mean = placeSteps_[urgency] / std::max(1.0, steps_);
    placeSteps_ = {};
    steps_ = 0;
    return mean;
  }

  std::vector<Stream> streams;
  RoomSharing sharing;
  Time now = kStart;
  bool isSharing = true;

 private:
  struct Running {
    RoomClaim claim;
    double answerSeconds;
    double unread;
    Time endsAt;
  };

  void ask(Stream& stream, bool isFirst) {
    const EngineState engine{kCapacity, used_};
    // Without sharing, a request is refused only by a full engine.
    const auto refusal = isSharing ? sharing.refusalOf(stream.claim, engine, now)
                                   : RoomSharing().refusalOf(stream.claim, engine, now);
    if (refusal) {
      sharing.noteRefusal(stream.claim, *refusal, now);
      if (isFirst) {
        retries_.emplace_back(now + kRetryAfter, &stream - streams.data());
      }
      return;
    }
    ++stream.served;
    sharing.noteStart(stream.claim, now);
    add(stream.claim.amounts, 1);
    running_.push_back(
        {stream.claim, stream.answerSeconds, stream.claim.amounts.readingTokens, {}});
  }
  void advance() {
    double left = kReadTokensPerStep;
    for (size_t index = 0; index < running_.size();) {
      Running& each = running_[index];
      placeSteps_[static_cast<size_t>(*each.claim.urgency)] += 1;
      const double read = std::min(left, each.unread);
      left -= read;
      if (each.unread > 0 && (each.unread -= read) <= 0) {
        used_.readingTokens -= each.claim.amounts.readingTokens;
        sharing.notePromptRead(each.claim, now);
        each.endsAt = now + fromSeconds(each.answerSeconds);
      }
      if (each.unread <= 0 && now >= each.endsAt) {
        sharing.noteEnd(each.claim, true, now);
        add({1, each.claim.amounts.memoryTokens, 0}, -1);
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
      } else {
        ++index;
      }
    }
    ++steps_;
  }
  void add(const RoomAmounts& amounts, double sign) {
    used_.places += sign * amounts.places;
    used_.memoryTokens += sign * amounts.memoryTokens;
    used_.readingTokens += sign * amounts.readingTokens;
  }

  std::mt19937 random_{7};
  RoomAmounts used_;
  std::vector<Running> running_;
  std::deque<std::pair<Time, size_t>> retries_;
  std::array<double, RoomSharing::kUrgencies> placeSteps_{};
  double steps_ = 0;
};

}  // namespace

// Guards against observation 1 of HARD-LOAD.md: long prompts of priority 2 filled the engines, and
// short ones of priority 0 were refused; also if the urgent ones begin at an engine that is full.
TEST_CASE("room_sharing: a burst of long prompts does not displace short urgent ones") {
  for (const double urgentFrom : {0, 8}) {
    const Stream urgent{shortClaim(), 8, 1.5, urgentFrom};
    Stream burst{longClaim(), 60, 2.0, 4};
    burst.claim.amounts.memoryTokens = 2890;  // The shared parts are present.
    Play without({urgent, burst});
    without.isSharing = false;
    without.run(40);
    REQUIRE(without.streams[0].part() < 0.9);  // The load does cause the failure.
    Play play({urgent, burst});
    play.run(40);
    CHECK(play.streams[0].part() >= 0.95);
    CHECK(play.streams[0].part() >= play.streams[1].part());
    CHECK(play.streams[1].served >= without.streams[1].served / 2);  // The rest is used.
  }
}

// Guards against capacity that stays idle for urgent requests that no longer come.
TEST_CASE("room_sharing: what urgent requests have not used for some seconds is free for all") {
  Play play({{shortClaim(), 12, 1.5, 0, 10}, {shortClaim(0, 2), 60, 1.5}});
  play.run(10);
  CHECK(play.meanPlaces(2) < 20);
  play.run(17);
  play.meanPlaces(2);
  play.run(27);
  CHECK(play.meanPlaces(2) >= 30.5);
}

// Guards against starvation of a less urgent kind by urgent overload, also where one of its claims
// exceeds an eighth of the capacity.
TEST_CASE("room_sharing: every urgency with demand keeps an eighth of the capacity") {
  Play small({{shortClaim(), 100, 1.5}, {shortClaim(0, 5), 10, 1.5}});
  small.run(10);
  small.meanPlaces(5);
  small.run(40);
  const double places = small.meanPlaces(5);
  CHECK(places >= 3.2);
  CHECK(places <= 4.5);
  Stream huge{longClaim(), 4, 0.5};
  huge.claim.amounts.memoryTokens = 40000;
  Play large({{shortClaim(), 200, 1.5}, huge});
  large.run(40);
  CHECK(large.streams[1].served >= 10);
}

// Guards against a large tenant that takes each place that becomes free, and against room that is
// kept for small ones without need.
TEST_CASE("room_sharing: a hungry tenant does not displace small ones, and gets what they leave") {
  std::vector<Stream> load{{shortClaim(1), 200, 1.0}};
  for (uint64_t tenant = 2; tenant < 8; ++tenant) {
    load.push_back({shortClaim(tenant), 1.5, 1.0});
  }
  const auto smallPart = [](const Play& each) {
    double sum = 0;
    for (size_t index = 1; index < each.streams.size(); ++index) {
      sum += each.streams[index].part() / 6;
    }
    return sum;
  };
  Play without(load);
  without.isSharing = false;
  without.run(40);
  REQUIRE(smallPart(without) < 0.5);
  Play play(load);
  play.run(40);
  CHECK(smallPart(play) >= 0.8);
  CHECK(play.meanPlaces(0) >= 30);
}

// Guards against a limit for a tenant (or an urgency) without competitors, and against a share that
// stays reserved for a tenant that has gone.
TEST_CASE("room_sharing: a sole tenant uses everything, and the share of an idle one at once") {
  Play play({{shortClaim(1), 100, 1.0}, {shortClaim(2), 100, 1.0, 5, 15}});
  play.run(2);
  play.meanPlaces(0);
  play.run(5);
  CHECK(play.meanPlaces(0) >= 31);
  play.run(6);
  play.streams[0].served = play.streams[1].served = 0;
  play.run(15);
  CHECK(play.streams[1].served >= play.streams[0].served * 0.8);
  CHECK(play.streams[1].served <= play.streams[0].served * 1.25);
  play.run(15.5);
  play.meanPlaces(0);
  play.run(18);
  CHECK(play.meanPlaces(0) >= 31);
}

// Guards against a division by the number of requests where memory is short and places are free.
TEST_CASE("room_sharing: shares apply to memory too") {
  Play play({{longClaim(1), 60, 1.0}, {longClaim(2), 6, 1.0}, {longClaim(3), 6, 1.0}});
  play.run(40);
  // Ten claims fit: about three at a time for each of the two with a demand of six.
  CHECK(play.streams[1].served >= 40 * 2.2);
  CHECK(play.streams[2].served >= 40 * 2.2);
}

// Guards against refusals in deployments and by nodes that do not state what a decision needs.
TEST_CASE("room_sharing: unknown urgency or capacity means no decision") {
  RoomSharing sharing;
  const EngineState full{kCapacity, kCapacity};
  for (const std::optional<int> urgency : {std::optional<int>(), std::optional<int>(10)}) {
    RoomClaim unknown = shortClaim(1);
    unknown.urgency = urgency;
    CHECK_FALSE(sharing.refusalOf(unknown, full, kStart));
    sharing.noteStart(unknown, kStart);
    sharing.noteRefusal(unknown, RoomRefusal::kPlaces, kStart);
    sharing.noteEnd(unknown, false, kStart);
  }
  CHECK(sharing.tenants() == 0);
  CHECK_FALSE(sharing.refusalOf(shortClaim(1), EngineState{{}, kCapacity}, kStart));
}

// Guards against a reason that names the wrong resource in metrics and log lines, and against long
// prompts that never find enough reading capacity.
TEST_CASE("room_sharing: the refusal names what is missing") {
  RoomSharing sharing;
  const auto reasonAt = [&](const RoomAmounts& used, const RoomClaim& claim) {
    const auto refusal = sharing.refusalOf(claim, EngineState{kCapacity, used}, at(1));
    return refusal ? nameOf(*refusal) : std::string_view("none");
  };
  CHECK(reasonAt({32, 0, 0}, shortClaim()) == "places");
  CHECK(reasonAt({31, 95000, 0}, shortClaim()) == "memory");
  CHECK(reasonAt({31, 0, 19500}, shortClaim()) == "reading");
  RoomClaim claim = shortClaim();
  claim.amounts.readingTokens = 0;
  CHECK(reasonAt({31, 0, 30000}, claim) == "none");
  claim.amounts.readingTokens = 30000;
  CHECK(reasonAt({31, 0, 0}, claim) == "none");
  CHECK(reasonAt({31, 0, 1}, claim) == "reading");
  for (int count = 0; count < 4; ++count) {
    sharing.noteStart(shortClaim(9, 3), kStart);
    sharing.noteRefusal(shortClaim(5), RoomRefusal::kPlaces, at(1));
  }
  CHECK(reasonAt({31, 0, 0}, shortClaim(9, 3)) == "urgency");
  CHECK(reasonAt({31, 0, 0}, shortClaim(9)) == "share");
  CHECK(reasonAt({31, 0, 0}, shortClaim(5)) == "none");
}

// Guards against urgent requests that are refused because less urgent ones of another tenant wait,
// although the less urgent kind has its part of the capacity.
TEST_CASE("room_sharing: less urgent demand of one tenant does not refuse urgent ones of another") {
  for (const int waitingUrgency : {0, 2}) {
    RoomSharing sharing;
    for (int count = 0; count < 4; ++count) {
      sharing.noteStart(shortClaim(9, 2), kStart);
      sharing.noteStart(shortClaim(9), kStart);
    }
    for (int count = 0; count < 30; ++count) {
      sharing.noteRefusal(shortClaim(6, waitingUrgency), RoomRefusal::kPlaces, at(1));
    }
    const EngineState almostFull{kCapacity, {31, 40000, 0}};
    const bool isRefused = sharing.refusalOf(shortClaim(9), almostFull, at(1)).has_value();
    CHECK(isRefused == (waitingUrgency == 0));
  }
}

// Guards against memory that grows with the number of tenants, and against the loss of the use of
// those whose requests run.
TEST_CASE("room_sharing: at most 256 tenants are tracked, those with requests last to go") {
  RoomSharing sharing;
  sharing.noteStart(shortClaim(1), kStart);
  for (uint64_t tenant = 2; tenant < 2000; ++tenant) {
    sharing.noteRefusal(shortClaim(tenant), RoomRefusal::kPlaces, at(0.5));
  }
  CHECK(sharing.tenants() == RoomSharing::kMaxTenants);
  const EngineState almostFull{kCapacity, {31, 1120, 0}};
  CHECK(sharing.refusalOf(shortClaim(1), almostFull, at(0.6)) == RoomRefusal::kShare);
}

}  // namespace fernmoor::gateway
