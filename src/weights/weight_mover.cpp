#include "weights/weight_mover.h"

#include <algorithm>

#include "common/log.h"
#include "common/store_revision.h"

namespace fernmoor::weights {

namespace {

constexpr Duration kIdleStep{500000};
constexpr Duration kBusyStep{60000};
constexpr Duration kAfterFailure{200000};
/// The ledger stands still for so long before another node steps in.
constexpr Duration kStandstill{1100000};
constexpr Duration kStandstillSpread{500000};
/// An order is given this soon after its intent began to be written, or not at all.
constexpr Duration kIntentLifetime{350000};
/// An order that is given up is reset, so nothing of it arrives later than this after it was begun:
/// the bound of a call to an engine, once to connect and once for the answer.
constexpr Duration kLongestOrder{500000};
/// A process without processor time stands still so long between a look at the clock and its send:
/// one and a half periods of a quota of 100 ms.
constexpr Duration kLongestStandstill{150000};
/// Beyond the time between the orders of two nodes, until nothing of the predecessor's can arrive:
/// engines that check no fences would carry it out.
constexpr Duration kTurnMargin = kIntentLifetime + kLongestOrder + kLongestStandstill;
/// An engine lists its new weights itself; only if that does not come is it asked.
constexpr Duration kFirstQuestion{1200000};
constexpr Duration kNextQuestion{250000};
/// A move that takes longer is looked at anew.
constexpr Duration kLongestMove{4000000};
constexpr Duration kSkipSilentEngine{1000000};
/// Engines to one move at a time, and the fewest moves at once.
constexpr size_t kEnginesPerMove = 6;
constexpr size_t kFewestAtOnce = 2;
/// New requests leave an engine alone for this part more than a move usually takes.
constexpr double kAvoidFactor = 1.1;
constexpr double kLearningRate = 0.3;
/// Beyond the time for which a move of another holder must be left alone.
constexpr Duration kLedgerMargin{600000};

/// @return whether the ledger holds the last move of `intended` for every engine that it names.
bool holdsMoves(const Ledger& ledger, const Ledger& intended, const std::string& holder) {
  return std::all_of(intended.moves.begin(), intended.moves.end(), [&](const LedgerMove& wanted) {
    return wanted.holder != holder ||
           std::any_of(ledger.moves.begin(), ledger.moves.end(), [&](const LedgerMove& move) {
             return move.engine == wanted.engine && move.holder == holder &&
                    move.version == wanted.version;
           });
  });
}

}  // namespace

WeightMover::WeightMover(MoverServices services, MoverOptions options)
    : services_(services), options_(std::move(options)), random_(options_.randomSeed) {
  stepInDelay_ = kStandstill + random_.between(Duration(0), kStandstillSpread);
}

size_t WeightMover::atOnce(const std::vector<BackendListing>& listings) {
  size_t engines = 0;
  for (const BackendListing& listing : listings) {
    engines += listing.weights.empty() ? 0 : 1;
  }
  return std::max(kFewestAtOnce, engines / kEnginesPerMove);
}

void WeightMover::learnMoveTime(Duration took) {
  const double learned =
      toSeconds(bounds_.moveTime) * (1 - kLearningRate) + toSeconds(took) * kLearningRate;
  bounds_.moveTime = fromSeconds(std::clamp(learned, 0.2, 3.0));
}

uint64_t WeightMover::listedVersion(const std::string& engine, const std::string& model) const {
  const std::optional<BackendListing> listing = services_.engines.find(engine);
  return listing ? heldVersion(*listing, model) : 0;
}

Result<EngineReport> WeightMover::reportOf(const std::string& engine, const std::string& model) {
  Result<EngineReport> report = services_.orders.report(engine, model);
  if (isOk(report)) {
    services_.engines.noteStart(engine, valueOf(report).startedAt);
  }
  return report;
}

bool WeightMover::stillLives(const std::string& engine, const UnderWay& move) const {
  const std::optional<BackendListing> listing = services_.engines.find(engine);
  return listing && !listing->isDraining && incarnationHash(*listing) == move.incarnation;
}

void WeightMover::askWhetherDone(const std::string& engine, UnderWay& move) {
  const Result<EngineReport> report = reportOf(engine, move.model);
  if (isOk(report) && !valueOf(report).isBusy) {
    services_.engines.noteWeights(engine, move.model, valueOf(report).version);
  }
  move.askAt = services_.clock.now() + kNextQuestion;
}

void WeightMover::followMoves(Time now) {
  for (auto move = underWay_.begin(); move != underWay_.end();) {
    UnderWay& state = move->second;
    if (now >= state.askAt) {
      askWhetherDone(move->first, state);
    }
    const Time after = services_.clock.now();
    const bool done = listedVersion(move->first, state.model) >= state.version;
    if (done) {
      learnMoveTime(after - state.since);
    }
    const bool givenUp = after - state.since > kLongestMove;
    if (done || givenUp || !stillLives(move->first, state)) {
      move = underWay_.erase(move);
    } else {
      ++move;
    }
  }
}

bool WeightMover::isMyTurn(const SeenLedger& seen, const WeightPlan& plan, const MoverPlace& place,
                           Time now) const {
  const Ledger& ledger = seen.ledger;
  if (ledger.holder == options_.node) {
    return true;
  }
  const Duration delay = stepInDelay_ + kStandstill * static_cast<Duration::rep>(place.rank);
  if (countOf(ledger.revision) == 0 || ledger.holder.empty()) {
    return now >= *plan.startBy + delay - kStandstill;
  }
  return now >= *plan.startBy + delay && now >= seen.changedAt + delay;
}

bool WeightMover::standsStill(const SeenLedger& seen, const MoverPlace& place) {
  if (place.followsLedger || seen.ledger.holder == options_.node) {
    return true;  // A holder that was overtaken is told so by its next write.
  }
  const Result<Ledger> found = services_.store.read();
  if (!isOk(found)) {
    return false;
  }
  return !services_.view.take(valueOf(found), services_.clock.now());
}

bool WeightMover::mayLackMoves(const Ledger& ledger, Time now) const {
  const std::optional<Time> wentBack = services_.store.wentBackBy(ledger);
  // Orders of before rest on intents that the store had taken by then.
  return wentBack && now < *wentBack + options_.orderTurn + kTurnMargin;
}

bool WeightMover::isLeftAlone(const std::string& engine, const Ledger& ledger, Time now) const {
  return std::any_of(ledger.moves.begin(), ledger.moves.end(), [&](const LedgerMove& move) {
    return move.engine == engine && move.holder != options_.node &&
           now < move.at + options_.orderTurn + kTurnMargin;
  });
}

std::vector<WeightMover::Candidate> WeightMover::pickCandidates(const Ledger& ledger,
                                                                const WeightPlan& plan,
                                                                size_t room) {
  std::vector<Candidate> picked;
  for (const PlannedMove& move : plan.moves) {
    const Time now = services_.clock.now();
    const auto skipped = skipUntil_.find(move.engine);
    if (picked.size() >= room) {
      break;
    }
    if (underWay_.count(move.engine) > 0 || isLeftAlone(move.engine, ledger, now) ||
        (skipped != skipUntil_.end() && now < skipped->second)) {
      continue;
    }
    const Result<EngineReport> report = reportOf(move.engine, move.model);
    if (!isOk(report)) {
      skipUntil_[move.engine] = services_.clock.now() + kSkipSilentEngine;
      continue;
    }
    if (valueOf(report).version >= move.version) {
      services_.engines.noteWeights(move.engine, move.model, valueOf(report).version);
      continue;
    }
    if (!valueOf(report).isBusy) {
      picked.push_back(Candidate{move, valueOf(report)});
    }
  }
  return picked;
}

std::optional<uint64_t> WeightMover::resolveUnknownWrite(const Ledger& intended) {
  const Result<Ledger> found = services_.store.read();
  if (!isOk(found)) {
    return std::nullopt;
  }
  services_.view.take(valueOf(found), services_.clock.now());
  const Ledger& current = valueOf(found);
  // An earlier write of ours may have been done late: only the very moves intended count.
  const bool ours = current.revision > intended.revision && current.holder == options_.node &&
                    holdsMoves(current, intended, options_.node) &&
                    !mayLackMoves(current, services_.clock.now());
  return ours ? std::optional<uint64_t>(current.revision) : std::nullopt;
}

std::optional<uint64_t> WeightMover::writeIntent(Ledger ledger,
                                                 const std::vector<Candidate>& candidates) {
  const Time now = services_.clock.now();
  ledger.holder = options_.node;
  ledger.moves = movesSince(ledger, now - options_.orderTurn - kTurnMargin - kLedgerMargin);
  for (const Candidate& candidate : candidates) {
    ledger.moves.push_back(LedgerMove{candidate.move.engine, candidate.move.model,
                                      candidate.move.version, options_.node, now});
  }
  const Result<LedgerOutcome> outcome = services_.store.write(ledger);
  if (!isOk(outcome)) {
    return resolveUnknownWrite(ledger);
  }
  if (const auto* changed = std::get_if<LedgerChanged>(&valueOf(outcome))) {
    services_.view.take(changed->current, services_.clock.now());
    return std::nullopt;
  }
  ledger.revision = std::get<LedgerWritten>(valueOf(outcome)).revision;
  services_.view.take(ledger, services_.clock.now());
  return ledger.revision;
}

void WeightMover::giveOrders(const std::vector<Candidate>& candidates, uint64_t fence,
                             Time intendedAt) {
  for (const Candidate& candidate : candidates) {
    const Time now = services_.clock.now();
    if (now - intendedAt > kIntentLifetime) {
      return;  // Too long since the intent: another node may have taken over.
    }
    const Duration leave = fromSeconds(toSeconds(bounds_.moveTime) * kAvoidFactor);
    services_.engines.avoidUntil(candidate.move.engine, now + leave);
    WeightOrder order;
    order.engine = candidate.move.engine;
    order.model = candidate.move.model;
    order.version = candidate.move.version;
    order.holder = options_.node;
    order.fence = fence;
    order.expectedOrders = candidate.report.orders;
    const OrderAnswer answer = services_.orders.order(order);
    LogFields fields;
    fields.engine = EngineId(order.engine);
    logInfo(answer == OrderAnswer::kTaken ? "weights: order taken" : "weights: order not taken",
            fields);
    if (answer == OrderAnswer::kTaken || answer == OrderAnswer::kHolds) {
      const std::optional<BackendListing> listing = services_.engines.find(order.engine);
      underWay_[order.engine] = UnderWay{order.model, order.version, now, now + kFirstQuestion,
                                         listing ? incarnationHash(*listing) : 0};
    } else if (answer == OrderAnswer::kUnknown) {
      skipUntil_[order.engine] = services_.clock.now() + kAfterFailure;
    }
  }
}

void WeightMover::handOver() {
  Ledger ledger = services_.view.seen().ledger;
  if (countOf(ledger.revision) == 0 || ledger.holder != options_.node ||
      mayLackMoves(ledger, services_.clock.now())) {
    return;
  }
  ledger.holder.clear();
  const Result<LedgerOutcome> outcome = services_.store.write(ledger);
  logInfo(isOk(outcome) ? "weights: handed over" : "weights: handing over failed");
}

const char* WeightMover::phraseOf(Waiting why) {
  switch (why) {
    case Waiting::kUntilDue:
      return "not due yet";
    case Waiting::kForMoves:
      return "as many as may be at once are under way";
    case Waiting::kForTurn:
      return "another node has the turn";
    case Waiting::kForEngines:
      return "none of them can be ordered now";
    case Waiting::kForLedger:
      return "the ledger could not be written";
    case Waiting::kForLostMoves:
      return "the store came back from an old copy, orders of before may count still";
    case Waiting::kNot:
      return "orders are given";
  }
  return "";
}

void WeightMover::tell(Waiting why, const WeightPlan& plan) {
  const bool isNews = why != told_;
  told_ = why;
  if (isNews) {
    logInfo("weights: " + std::to_string(plan.moves.size()) + " engines behind, " + phraseOf(why));
  }
}

Duration WeightMover::step(const MoverPlace& place) {
  followMoves(services_.clock.now());
  const std::vector<BackendListing> listings = services_.engines.all();
  bounds_.atOnce = atOnce(listings);
  const WeightPlan plan = planMoves(listings, services_.wanted, bounds_);
  const Time now = services_.clock.now();
  if (!plan.startBy) {
    return underWay_.empty() ? kIdleStep : kBusyStep;
  }
  if (now < *plan.startBy) {
    tell(Waiting::kUntilDue, plan);
    const Duration wait = std::min(kIdleStep, *plan.startBy - now);
    return underWay_.empty() ? wait : std::min(wait, kBusyStep);
  }
  if (underWay_.size() >= bounds_.atOnce) {
    tell(Waiting::kForMoves, plan);
    return kBusyStep;
  }
  const SeenLedger seen = services_.view.seen();
  if (!isMyTurn(seen, plan, place, now)) {
    tell(Waiting::kForTurn, plan);
    return kBusyStep * 2;
  }
  if (!standsStill(seen, place)) {
    tell(Waiting::kForTurn, plan);
    return kAfterFailure;
  }
  if (mayLackMoves(seen.ledger, now)) {
    tell(Waiting::kForLostMoves, plan);
    return kAfterFailure;
  }
  const std::vector<Candidate> candidates =
      pickCandidates(seen.ledger, plan, bounds_.atOnce - underWay_.size());
  if (candidates.empty()) {
    tell(Waiting::kForEngines, plan);
    return kBusyStep;
  }
  const Time intendedAt = services_.clock.now();
  const std::optional<uint64_t> fence = writeIntent(seen.ledger, candidates);
  if (!fence) {
    tell(Waiting::kForLedger, plan);
    return kAfterFailure;
  }
  tell(Waiting::kNot, plan);
  giveOrders(candidates, *fence, intendedAt);
  return kBusyStep;
}

}  // namespace fernmoor::weights
