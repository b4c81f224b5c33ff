#include "weights/weight_mover.h"

#include <algorithm>

#include "common/log.h"
#include "common/store_revision.h"

namespace fernmoor::weights {

namespace {

constexpr Duration kIdleInterval{500000};
constexpr Duration kActiveInterval{60000};
constexpr Duration kRetryInterval{200000};
/// A ledger that has not changed for this long is taken over by another node. The random part keeps
/// nodes from writing at the same time.
constexpr Duration kLeaderTimeout{1100000};
constexpr Duration kLeaderTimeoutJitter{500000};
/// An order is sent within this time after the write of its intent began, or not at all.
constexpr Duration kIntentLifetime{350000};
/// Bounds the total time of the reports of engines that are named in one intent. The orders that
/// follow take one call each too, and must be sent within the lifetime of the intent.
constexpr Duration kMaxQueryTime = kIntentLifetime / 2;
/// The connection of an abandoned order is reset, so no part of it arrives later than this after it
/// was started: the timeout of a call to an engine, once to connect and once for the answer.
constexpr Duration kMaxOrderDelivery{500000};
/// Longest pause between reading the clock and sending in a process that is throttled by its CPU
/// quota: one and a half quota periods of 100 ms.
constexpr Duration kMaxProcessPause{150000};
/// Added to MoverOptions::leaderChangeDelay until no order of the former leader can still arrive:
/// engines that do not check fencing tokens would execute it.
constexpr Duration kLeaderChangeMargin = kIntentLifetime + kMaxOrderDelivery + kMaxProcessPause;
/// An engine lists its new weights itself; it is polled only if the listing does not show up.
constexpr Duration kFirstPollDelay{1200000};
constexpr Duration kPollInterval{250000};
/// A move that takes longer is no longer tracked, and its engine is planned again.
constexpr Duration kMoveTimeout{4000000};
constexpr Duration kUnresponsiveBackoff{1000000};
/// One concurrent move is allowed per this many engines, but at least the minimum below.
constexpr size_t kEnginesPerMove = 6;
constexpr size_t kMinConcurrentMoves = 2;
/// New requests avoid a moving engine for the usual duration of a move times this factor.
constexpr double kAvoidFactor = 1.1;
constexpr double kLearningRate = 0.3;
constexpr double kCallsPerMove = 2;  // A report and an order.
/// Longest time in seconds that one engine counts with in the estimate of the time to order many.
constexpr double kMaxOrderTime = 0.02;
/// Moves are kept in the ledger for this long after they stop blocking other nodes.
constexpr Duration kLedgerRetention{600000};

/// @return whether the ledger has every move of `holder` that `intended` has.
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
  takeoverDelay_ = kLeaderTimeout + random_.between(Duration(0), kLeaderTimeoutJitter);
}

size_t WeightMover::maxConcurrentMoves(const std::vector<BackendListing>& listings) {
  size_t engines = 0;
  for (const BackendListing& listing : listings) {
    engines += listing.weights.empty() ? 0 : 1;
  }
  return std::max(kMinConcurrentMoves, engines / kEnginesPerMove);
}

void WeightMover::learnMoveTime(Duration took) {
  const double learned =
      toSeconds(bounds_.moveTime) * (1 - kLearningRate) + toSeconds(took) * kLearningRate;
  bounds_.moveTime = fromSeconds(std::clamp(learned, 0.2, 3.0));
}

void WeightMover::learnOrderTime(Duration took, size_t count) {
  const double each = toSeconds(took) / static_cast<double>(count) * kCallsPerMove;
  bounds_.orderTime = fromSeconds(toSeconds(bounds_.orderTime) * (1 - kLearningRate) +
                                  std::min(each, kMaxOrderTime) * kLearningRate);
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

bool WeightMover::isStillRunning(const std::string& engine, const ActiveMove& move) const {
  const std::optional<BackendListing> listing = services_.engines.find(engine);
  return listing && !listing->isDraining && incarnationHash(*listing) == move.incarnation;
}

void WeightMover::pollProgress(const std::string& engine, ActiveMove& move) {
  const Result<EngineReport> report = reportOf(engine, move.model);
  if (isOk(report) && !valueOf(report).isBusy) {
    services_.engines.noteWeights(engine, move.model, valueOf(report).version);
  }
  move.nextPollAt = services_.clock.now() + kPollInterval;
}

void WeightMover::trackMoves(Time now) {
  for (auto move = activeMoves_.begin(); move != activeMoves_.end();) {
    ActiveMove& state = move->second;
    if (now >= state.nextPollAt) {
      pollProgress(move->first, state);
    }
    const Time after = services_.clock.now();
    const bool done = listedVersion(move->first, state.model) >= state.version;
    if (done) {
      learnMoveTime(after - state.orderedAt);
    }
    const bool givenUp = after - state.orderedAt > kMoveTimeout;
    if (done || givenUp || !isStillRunning(move->first, state)) {
      move = activeMoves_.erase(move);
    } else {
      ++move;
    }
  }
}

bool WeightMover::mayLead(const ObservedLedger& seen, const WeightPlan& plan,
                          const TakeoverPosition& position, Time now) const {
  const Ledger& ledger = seen.ledger;
  if (ledger.holder == options_.node) {
    return true;
  }
  const Duration delay =
      takeoverDelay_ + kLeaderTimeout * static_cast<Duration::rep>(position.rank);
  if (countOf(ledger.revision) == 0 || ledger.holder.empty()) {
    return now >= *plan.startBy + delay - kLeaderTimeout;
  }
  return now >= *plan.startBy + delay && now >= seen.changedAt + delay;
}

bool WeightMover::isLedgerUnchanged(const ObservedLedger& seen, const TakeoverPosition& position) {
  if (position.followsLedger || seen.ledger.holder == options_.node) {
    return true;  // The next conditional write of a leader that was replaced fails.
  }
  const Result<Ledger> found = services_.store.read();
  if (!isOk(found)) {
    return false;
  }
  return !services_.view.take(valueOf(found), services_.clock.now());
}

bool WeightMover::mayBeMissingMoves(const Ledger& ledger, Time now) const {
  const std::optional<Time> wentBack = services_.store.wentBackBy(ledger);
  // Intents lost in the restore were written before it, so their orders have ended after this time.
  return wentBack && now < *wentBack + options_.leaderChangeDelay + kLeaderChangeMargin;
}

bool WeightMover::isBlockedByOtherNode(const std::string& engine, const Ledger& ledger,
                                       Time now) const {
  return std::any_of(ledger.moves.begin(), ledger.moves.end(), [&](const LedgerMove& move) {
    return move.engine == engine && move.holder != options_.node &&
           now < move.at + options_.leaderChangeDelay + kLeaderChangeMargin;
  });
}

std::vector<WeightMover::Candidate> WeightMover::pickCandidates(const Ledger& ledger,
                                                                const WeightPlan& plan,
                                                                size_t room) {
  std::vector<Candidate> picked;
  Duration answering{0};  // Without engines that do not answer: those get no order.
  for (const PlannedMove& move : plan.moves) {
    const Time now = services_.clock.now();
    const auto skipped = skipUntil_.find(move.engine);
    if (picked.size() >= room || answering >= kMaxQueryTime) {
      break;
    }
    if (activeMoves_.count(move.engine) > 0 || isBlockedByOtherNode(move.engine, ledger, now) ||
        (skipped != skipUntil_.end() && now < skipped->second)) {
      continue;
    }
    const Result<EngineReport> report = reportOf(move.engine, move.model);
    if (!isOk(report)) {
      skipUntil_[move.engine] = services_.clock.now() + kUnresponsiveBackoff;
      continue;
    }
    answering += services_.clock.now() - now;
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
  // An earlier write of this node may have taken effect late, so the ledger must have exactly the
  // moves of this write.
  const bool ours = current.revision > intended.revision && current.holder == options_.node &&
                    holdsMoves(current, intended, options_.node) &&
                    !mayBeMissingMoves(current, services_.clock.now());
  return ours ? std::optional<uint64_t>(current.revision) : std::nullopt;
}

std::optional<uint64_t> WeightMover::writeIntent(Ledger ledger,
                                                 const std::vector<Candidate>& candidates) {
  const Time now = services_.clock.now();
  ledger.holder = options_.node;
  ledger.moves =
      movesSince(ledger, now - options_.leaderChangeDelay - kLeaderChangeMargin - kLedgerRetention);
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

size_t WeightMover::sendOrders(const std::vector<Candidate>& candidates, uint64_t fence,
                               Time intendedAt) {
  size_t sent = 0;
  for (const Candidate& candidate : candidates) {
    const Time now = services_.clock.now();
    if (now - intendedAt > kIntentLifetime) {
      return sent;  // The intent is too old: another node may have become leader.
    }
    ++sent;
    const Duration avoidFor = fromSeconds(toSeconds(bounds_.moveTime) * kAvoidFactor);
    services_.engines.avoidUntil(candidate.move.engine, now + avoidFor);
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
      activeMoves_[order.engine] =
          ActiveMove{order.model, order.version, now, now + kFirstPollDelay,
                     listing ? incarnationHash(*listing) : 0};
    } else if (answer == OrderAnswer::kUnknown) {
      skipUntil_[order.engine] = services_.clock.now() + kRetryInterval;
    }
  }
  return sent;
}

void WeightMover::handOverLeadership() {
  Ledger ledger = services_.view.seen().ledger;
  if (countOf(ledger.revision) == 0 || ledger.holder != options_.node ||
      mayBeMissingMoves(ledger, services_.clock.now())) {
    return;
  }
  ledger.holder.clear();
  const Result<LedgerOutcome> outcome = services_.store.write(ledger);
  const bool isWritten = isOk(outcome) && std::holds_alternative<LedgerWritten>(valueOf(outcome));
  if (isWritten) {
    ledger.revision = std::get<LedgerWritten>(valueOf(outcome)).revision;
    services_.view.take(ledger, services_.clock.now());
  }
  logInfo(isWritten ? "weights: handed over" : "weights: could not hand over leadership");
}

const char* WeightMover::descriptionOf(WaitReason why) {
  switch (why) {
    case WaitReason::kNotDue:
      return "not due yet";
    case WaitReason::kMoveLimit:
      return "the maximum number of concurrent moves is running";
    case WaitReason::kNotLeader:
      return "another node has the turn";
    case WaitReason::kNoEngineAvailable:
      return "none of them accepts an order now";
    case WaitReason::kLedgerWriteFailed:
      return "the ledger write failed";
    case WaitReason::kStoreRestored:
      return "the store came back from an old copy, orders of before may count still";
    case WaitReason::kNone:
      return "orders are given";
  }
  return "";
}

void WeightMover::logWaitReason(WaitReason why, const WeightPlan& plan) {
  const bool isNew = why != loggedReason_;
  loggedReason_ = why;
  if (isNew) {
    logInfo("weights: " + std::to_string(plan.moves.size()) + " engines behind, " +
            descriptionOf(why));
  }
}

Duration WeightMover::step(const TakeoverPosition& position) {
  trackMoves(services_.clock.now());
  const std::vector<BackendListing> listings = services_.engines.all();
  bounds_.maxConcurrentMoves = maxConcurrentMoves(listings);
  const WeightPlan plan = planMoves(listings, services_.wanted, bounds_);
  const Time now = services_.clock.now();
  if (!plan.startBy) {
    return activeMoves_.empty() ? kIdleInterval : kActiveInterval;
  }
  if (now < *plan.startBy) {
    logWaitReason(WaitReason::kNotDue, plan);
    const Duration wait = std::min(kIdleInterval, *plan.startBy - now);
    return activeMoves_.empty() ? wait : std::min(wait, kActiveInterval);
  }
  if (activeMoves_.size() >= bounds_.maxConcurrentMoves) {
    logWaitReason(WaitReason::kMoveLimit, plan);
    return kActiveInterval;
  }
  const ObservedLedger seen = services_.view.seen();
  if (!mayLead(seen, plan, position, now)) {
    logWaitReason(WaitReason::kNotLeader, plan);
    return kActiveInterval * 2;
  }
  if (!isLedgerUnchanged(seen, position)) {
    logWaitReason(WaitReason::kNotLeader, plan);
    return kRetryInterval;
  }
  if (mayBeMissingMoves(seen.ledger, now)) {
    logWaitReason(WaitReason::kStoreRestored, plan);
    return kRetryInterval;
  }
  const std::vector<Candidate> candidates =
      pickCandidates(seen.ledger, plan, bounds_.maxConcurrentMoves - activeMoves_.size());
  if (candidates.empty()) {
    logWaitReason(WaitReason::kNoEngineAvailable, plan);
    return kActiveInterval;
  }
  const Time intendedAt = services_.clock.now();
  const std::optional<uint64_t> fence = writeIntent(seen.ledger, candidates);
  if (!fence) {
    logWaitReason(WaitReason::kLedgerWriteFailed, plan);
    return kRetryInterval;
  }
  logWaitReason(WaitReason::kNone, plan);
  const Time sentAt = services_.clock.now();
  const size_t sent = sendOrders(candidates, *fence, intendedAt);
  if (sent > 0) {
    learnOrderTime(services_.clock.now() - sentAt, sent);
  }
  return kActiveInterval;
}

}  // namespace fernmoor::weights
