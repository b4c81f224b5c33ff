/// @file
/// Tests of src/gateway/kind_separation.h, and of src/gateway/kind_sides.h with the choice of an
/// engine in virtual time.
#include "gateway/kind_separation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "common/random.h"
#include "common/rendezvous.h"
#include "gateway/backend_choice.h"
#include "gateway/kind_sides.h"

namespace fernmoor::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct RowTraffic {
  std::string name;
  Duration longestPause;
  uint64_t tokens;
  double perSecond;  ///< Sent by one node.
  Duration firstEvent;
  Duration residence;
};

/// One node's requests of a pool with 60 engines: 7 short and 4.8 long ones a second and node.
const RowTraffic kShortRow{"short", milliseconds(300), 826,
                           7,       milliseconds(40),  milliseconds(1400)};
const RowTraffic kLongRow{"long", milliseconds(300), 9190,
                          4.8,    milliseconds(140), milliseconds(400)};
const PoolCapacity kCapacity{32, 60, 26};

/// Plays random arrivals, with one update a second.
struct Traffic {
  explicit Traffic(std::vector<RowTraffic> traffic) : rows(std::move(traffic)) {}

  void run(Duration time, const PoolCapacity& capacity) {
    constexpr Duration kStep = milliseconds(10);
    for (const Time end = now + time; now < end; now += kStep) {
      while (!ends.empty() && ends.begin()->first <= now) {
        rule.noteEnded(ends.begin()->second, now);
        ends.erase(ends.begin());
      }
      for (const RowTraffic& row : rows) {
        if (random.chance(row.perSecond * toSeconds(kStep))) {
          rule.noteSent(row.name, row.longestPause, SentPrompt{row.tokens, row.tokens}, now);
          rule.noteFirstEvent(row.name, row.tokens, row.firstEvent, now);
          ends.emplace(now + row.residence, row.name);
        }
      }
      if (now - updatedAt >= seconds(1)) {
        updatedAt = now;
        changes += rule.update(capacity, now) ? 1 : 0;
      }
    }
  }

  KindSeparation rule;
  std::vector<RowTraffic> rows;
  std::multimap<Time, std::string> ends;
  Random random{1};
  Time now{seconds(100)};
  Time updatedAt = now;
  int changes = 0;
};

RowTraffic withRate(RowTraffic row, double perSecond) {
  row.perSecond = perSecond;
  return row;
}

RowTraffic withPause(RowTraffic row, Duration longestPause) {
  row.longestPause = longestPause;
  return row;
}

std::optional<size_t> shortEnginesAfter(const std::vector<RowTraffic>& rows,
                                        const PoolCapacity& capacity) {
  Traffic traffic(rows);
  traffic.run(seconds(60), capacity);
  return traffic.rule.shortEngines();
}

}  // namespace

// Guards against a border that gives one kind engines that it does not need.
TEST_CASE("the engines for short rows follow the slots that their streams occupy") {
  Traffic traffic({kShortRow, kLongRow});
  traffic.run(seconds(60), kCapacity);
  CHECK(traffic.rule.isLong("long") == std::optional(true));
  CHECK(traffic.rule.isLong("short") == std::optional(false));
  // 26 nodes * 7 streams a second * 1.4 s = 255 slots, at 13 an engine: 20 engines, in steps
  // of 7.5.
  REQUIRE(traffic.rule.shortEngines());
  CHECK(*traffic.rule.shortEngines() >= 15);
  CHECK(*traffic.rule.shortEngines() <= 23);
  traffic.rows[0].perSecond = 2;
  traffic.run(seconds(60), kCapacity);
  CHECK(*traffic.rule.shortEngines() <= 8);
}

// Guards against a border that moves with the random variation of a node's few requests, as each
// move loses cached parts.
TEST_CASE("a node with few requests does not move the border all the time") {
  Traffic traffic({withRate(kShortRow, 3.2), withRate(kLongRow, 1.2)});
  const PoolCapacity capacity{32, 60, 73};
  traffic.run(seconds(30), capacity);
  traffic.changes = 0;
  traffic.run(seconds(600), capacity);
  CHECK(traffic.rule.shortEngines().has_value());
  MESSAGE("changes of the border in 10 minutes: " << traffic.changes);
  CHECK(traffic.changes <= 10);
}

// Guards against a separation that leaves one kind without capacity.
TEST_CASE("with too little capacity there is no separation") {
  CHECK(shortEnginesAfter({kShortRow, kLongRow}, kCapacity));
  SUBCASE("for the short streams") {
    CHECK_FALSE(shortEnginesAfter({withRate(kShortRow, 20), kLongRow}, kCapacity));
  }
  SUBCASE("for the long prompts") {
    CHECK_FALSE(shortEnginesAfter({kShortRow, withRate(kLongRow, 11)}, kCapacity));
  }
  SUBCASE("as the pool has too few engines") {
    CHECK_FALSE(shortEnginesAfter({withRate(kShortRow, 2), withRate(kLongRow, 1)}, {32, 7, 1}));
    CHECK(shortEnginesAfter({withRate(kShortRow, 2), withRate(kLongRow, 1)}, {32, 8, 1}));
  }
  SUBCASE("as engines failed after it began") {
    Traffic traffic({kShortRow, kLongRow});
    traffic.run(seconds(60), kCapacity);
    traffic.run(seconds(2), {32, 20, 26});
    CHECK_FALSE(traffic.rule.shortEngines());
  }
}

// Guards against pools that are divided although nobody asked for it or nothing is known of them.
TEST_CASE("rows are separated only where it is called for and enough is known") {
  SUBCASE("no row has a maximum gap") {
    CHECK_FALSE(shortEnginesAfter(
        {withPause(kShortRow, Duration(0)), withPause(kLongRow, Duration(0))}, kCapacity));
  }
  SUBCASE("one row has a maximum gap") {
    CHECK(shortEnginesAfter({kShortRow, withPause(kLongRow, Duration(0))}, kCapacity));
  }
  SUBCASE("no prompt is long for the maximum gap") {
    CHECK_FALSE(shortEnginesAfter(
        {withPause(kShortRow, seconds(2)), withPause(kLongRow, seconds(2))}, kCapacity));
  }
  SUBCASE("all prompts are long") {
    CHECK_FALSE(shortEnginesAfter({kLongRow}, kCapacity));
  }
  SUBCASE("the slots of the engines are not known") {
    CHECK_FALSE(shortEnginesAfter({kShortRow, kLongRow}, {0, 60, 26}));
  }
  SUBCASE("this node saw few requests") {
    CHECK_FALSE(shortEnginesAfter({withRate(kShortRow, 0.6), withRate(kLongRow, 0.4)}, kCapacity));
  }
  SUBCASE("the demand ended") {
    Traffic traffic({kShortRow, kLongRow});
    traffic.run(seconds(60), kCapacity);
    traffic.rows.clear();
    traffic.run(seconds(120), kCapacity);
    CHECK_FALSE(traffic.rule.shortEngines());
    CHECK_FALSE(traffic.rule.isLong("long"));
  }
}

// Guards against nodes that divide a pool differently, and against an approximate border: with
// eight engines it could leave one side empty.
TEST_CASE("the first engines of a pool's order are the same everywhere, and as many as wanted") {
  std::vector<uint64_t> engines;
  engines.reserve(60);
  for (int index = 0; index < 60; ++index) {
    engines.push_back(stableHash("e" + std::to_string(index)));
  }
  std::set<uint64_t> former;
  for (size_t count = 1; count <= engines.size(); ++count) {
    const uint64_t weight = leastWeightOfFirst(7, engines, count);
    std::reverse(engines.begin(), engines.end());
    CHECK(leastWeightOfFirst(7, engines, count) == weight);
    std::set<uint64_t> first;
    for (const uint64_t engine : engines) {
      if (EngineSide{7, weight, true}.contains(engine)) {
        first.insert(engine);
      }
      CHECK(EngineSide{7, weight, true}.contains(engine) !=
            EngineSide{7, weight, false}.contains(engine));
    }
    CHECK(first.size() == count);
    CHECK(std::includes(first.begin(), first.end(), former.begin(), former.end()));
    former = first;
  }
}

namespace {

constexpr size_t kPlayEngines = 16;
constexpr Duration kTick{1000};
constexpr Duration kMaxGap = milliseconds(300);

/// Engines that read one prompt after another; meanwhile their streams get no event.
class PlayedEngines : public EngineLoads {
 public:
  struct Stream {
    IncomingRequest request;
    Duration left{0};  ///< Of the time that its events take.
    Time lastEventAt;
    Duration longestGap{0};
  };
  struct Engine {
    Duration unread{0};
    std::vector<Stream> streams;
  };

  std::optional<LoadAnswer> reserve(uint64_t engine, const EngineDemand&, const EngineRoom&,
                                    uint64_t bound) override {
    LoadAnswer answer;
    answer.tokensPerSecond = 70000;
    answer.pendingTokens =
        static_cast<uint64_t>(toSeconds(engines[engine].unread) * answer.tokensPerSecond);
    answer.isGranted = answer.pendingTokens < bound;
    return answer;
  }
  void promptRead(const LoadTicket&) override {}
  void release(const LoadTicket&) override {}

  std::map<uint64_t, Engine> engines;
};

struct Play {
  explicit Play(bool separates) : isSeparated(separates) {
    for (size_t index = 0; index < kPlayEngines; ++index) {
      BackendListing listing;
      listing.id = "e" + std::to_string(index);
      members.emplace_back();
      members.back().incarnation = incarnationHash(listing);
      members.back().listing = std::make_shared<BackendListing>(listing);
    }
    for (Row* row : {&shortRow, &longRow}) {
      row->usesPrefixes = true;
      row->longestPause = kMaxGap;
    }
    shortRow.name = "short";
    longRow.name = "long";
  }

  void send(const Row& row, uint64_t sharedTokens, uint64_t ownTokens, Duration stepping) {
    IncomingRequest request;
    request.row = &row;
    request.pool = "pool";
    request.arrivedAt = now;
    request.deadline = now + seconds(5);
    request.promptTokens = sharedTokens + ownTokens;
    request.parts = {PromptPart{row.name + std::to_string(random.below(20)), sharedTokens},
                     PromptPart{"own", ownTokens}};
    const auto side = sides.sideOf(request, members, 32, 1, now);
    separated += side ? 1 : 0;
    const ChoiceContext context{"", {}, {}, now, isSeparated ? side : std::nullopt};
    const auto choice = chooseHome(request, members, context, loads);
    REQUIRE(choice);
    PlayedEngines::Engine& engine = loads.engines[choice->backend.incarnation];
    const double reading = static_cast<double>(request.promptTokens) / 70000;
    engine.unread += fromSeconds(reading);
    sides.noteSent(request, SentPrompt{request.promptTokens, request.promptTokens}, now);
    sides.noteFirstEvent(request, request.promptTokens, engine.unread, now);
    engine.streams.push_back({request, stepping, now + engine.unread, Duration(0)});
  }

  void advance(PlayedEngines::Engine& engine) {
    if (engine.unread > Duration(0)) {
      engine.unread = std::max(Duration(0), engine.unread - kTick);
      return;
    }
    constexpr Duration kEventInterval = milliseconds(30);
    for (auto each = engine.streams.begin(); each != engine.streams.end();) {
      each->left -= kTick;
      if (each->left.count() % kEventInterval.count() == 0) {
        each->longestGap = std::max(each->longestGap, now - each->lastEventAt);
        each->lastEventAt = now;
      }
      if (each->left > Duration(0)) {
        ++each;
        continue;
      }
      sides.noteEnded(each->request, now);
      if (each->request.row == &shortRow) {
        ++shortStreams;
        shortWithGap += each->longestGap > kMaxGap ? 1 : 0;
      }
      each = engine.streams.erase(each);
    }
  }

  /// Counts only the streams after the first ten seconds, when the node has learned its traffic.
  void play() {
    run(seconds(10));
    shortStreams = 0;
    shortWithGap = 0;
    run(seconds(60));
  }

  void run(Duration time) {
    for (const Time end = now + time; now < end; now += kTick) {
      if (random.chance(0.050)) {  // A thousand ticks a second.
        send(shortRow, 198, 628, milliseconds(1260));
      }
      if (random.chance(0.035)) {
        send(longRow, 6300, 2890, milliseconds(210));
      }
      for (auto& [id, engine] : loads.engines) {
        advance(engine);
      }
    }
  }

  bool isSeparated;
  Row shortRow;
  Row longRow;
  std::vector<BackendView> members;
  KindSides sides;
  PlayedEngines loads;
  Random random{7};
  Time now{seconds(100)};
  int separated = 0;
  int shortStreams = 0;
  int shortWithGap = 0;
};

}  // namespace

// Guards against a separation that has no effect on the gaps that it is there for.
TEST_CASE("short streams keep their gaps beside long prompts, with separation") {
  Play mixed(false);
  mixed.play();
  Play apart(true);
  apart.play();
  MESSAGE("short streams with a gap above the maximum: "
          << mixed.shortWithGap << " of " << mixed.shortStreams << ", separated "
          << apart.shortWithGap << " of " << apart.shortStreams);
  CHECK(apart.separated > 4000);
  CHECK(mixed.shortWithGap > mixed.shortStreams / 20);
  CHECK(apart.shortWithGap < apart.shortStreams / 100);
}

}  // namespace fernmoor::gateway
