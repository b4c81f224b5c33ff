/// @file
/// Chooses the home of a request with shared parts: see chooseHome().
#include <algorithm>
#include <utility>

#include "common/rendezvous.h"
#include "gateway/backend_choice.h"
#include "gateway/send_decisions.h"
#include "gateway/usable_candidates.h"

namespace fernmoor::gateway {

namespace {

/// A home accepts up to this multiple of the mean number of this node's requests per back end;
/// beyond it, other homes are preferred.
constexpr double kBoundedLoadFactor = 1.5;
/// Requests that each back end may have in addition, whatever the mean.
constexpr double kBoundedLoadSlack = 4;
/// Homes queried on the other side, after those of the request's own side.
constexpr size_t kMaxOtherHomesQueried = 2;
/// Candidate homes, with spares for stalled ones: a quarter of the engines may have stopped.
constexpr size_t kMaxHomes = 6;

/// @return the id of the part that determines the request's home: the last shared one.
std::optional<std::string> affinityPart(const IncomingRequest& request) {
  if (!request.row->usesPrefixes || request.sharedPartCount() == 0) {
    return std::nullopt;
  }
  return request.parts[request.sharedPartCount() - 1].id;
}

double meanInFlight(const Candidates& candidates) {
  double sum = 0;
  for (const BackendView* candidate : candidates) {
    sum += candidate->inFlight;
  }
  return sum / static_cast<double>(candidates.size());
}

/// @return the best candidates in the order in which a request with shared parts tries them: its
///         home first, back ends that exceed their share of this node's requests last. Empty for
///         requests without shared parts.
Candidates firstHomes(const IncomingRequest& request, const Candidates& usable) {
  const std::optional<std::string> part = affinityPart(request);
  if (!part || usable.empty()) {
    return {};
  }
  const std::string owner =
      request.tenant && request.tenant->isIsolated ? request.tenant->name : "";
  const uint64_t key = stableHash(*part + "/" + owner);
  const double bound = meanInFlight(usable) * kBoundedLoadFactor + kBoundedLoadSlack;
  Candidates within;
  Candidates beyond;
  for (const BackendView* each : usable) {
    (each->inFlight < bound ? within : beyond).push_back(each);
  }
  const auto hashOf = [](const BackendView* each) { return each->incarnation; };
  Candidates homes = rendezvousTop(key, std::move(within), kMaxHomes, hashOf);
  const Candidates others = rendezvousTop(key, std::move(beyond), kMaxHomes - homes.size(), hashOf);
  homes.insert(homes.end(), others.begin(), others.end());
  return homes;
}

/// @return the number of tokens in the shared parts.
uint64_t sharedTokensOf(const IncomingRequest& request) {
  uint64_t tokens = 0;
  for (size_t index = 0; index < request.sharedPartCount(); ++index) {
    tokens += request.parts[index].tokens;
  }
  return tokens;
}

/// @return what the node that counts for an engine said of the request. Nodes of a release that
///         does not account for capacity never name tokens that are still to be read.
ClaimState claimOf(const LoadAnswer& answer) {
  if (answer.isGranted && answer.isFromReservation) {
    return ClaimState::kReserved;
  }
  if (answer.readingTokens == 0 && answer.returnAfter == Duration(0)) {
    return ClaimState::kUnknown;
  }
  return answer.isGranted ? ClaimState::kGranted : ClaimState::kTurnedAway;
}

/// A home that was queried.
struct FoundHome {
  BackendChoice choice;
  uint64_t cost = 0;     ///< Tokens to read or transfer there before the request's own.
  bool accepts = false;  ///< The queue there is short enough to ask no other home.
};

/// The candidates of the request's own side, and the others.
struct Sides {
  Candidates own;
  Candidates other;
};

/// An engine whose slots are all taken by requests of this node has no room, so it is left to the
/// choice among the other side.
Sides divide(Candidates usable, const ChoiceContext& context) {
  if (!context.side) {
    return Sides{std::move(usable), {}};
  }
  Sides sides;
  for (const BackendView* each : usable) {
    const bool isFull =
        context.room.places > 0 && each->inFlight >= static_cast<int64_t>(context.room.places);
    const bool isOwn = !isFull && context.side->contains(each->incarnation);
    (isOwn ? sides.own : sides.other).push_back(each);
  }
  return sides;
}

/// The request's demand at engines. It hashes the ids of all parts, so it is computed once for all
/// engines that hold the same weights.
class DemandByWeights {
 public:
  DemandByWeights(const IncomingRequest& request, Time now) : request_(request), now_(now) {}

  const EngineDemand& at(const BackendView& engine) {
    if (!demand_ || engine.weightsVersion != weightsVersion_) {
      weightsVersion_ = engine.weightsVersion;
      demand_ = demandOf(request_, weightsVersion_, now_);
    }
    return *demand_;
  }

 private:
  const IncomingRequest& request_;
  Time now_;
  uint64_t weightsVersion_ = 0;
  std::optional<EngineDemand> demand_;
};

/// A search for a home among some candidates.
struct HomeSearch {
  const IncomingRequest& request;
  const ChoiceContext& context;
  EngineLoads& loads;
  DemandByWeights& demand;
  uint64_t shared;     ///< Tokens in the shared parts.
  bool isOfOtherSide;  ///< No candidate is the request's home: all fetch its shared parts.
  size_t maxQueries;

  std::optional<FoundHome> run(const Candidates& homes) const;
};

std::optional<FoundHome> HomeSearch::run(const Candidates& homes) const {
  // A wait no longer than reading the request's own prompt is not worth another query.
  const uint64_t shortWait = std::max(shared, request.promptTokens);
  std::optional<FoundHome> best;
  Duration returnAfter{0};
  size_t asked = 0;
  for (size_t index = 0; index < homes.size() && asked < maxQueries; ++index) {
    const BackendView& home = *homes[index];
    // All homes but the first must fetch the shared parts from elsewhere.
    const uint64_t tokensToFetch = index == 0 && !isOfOtherSide ? 0 : shared;
    if (best && best->cost <= tokensToFetch) {
      break;
    }
    const uint64_t bound = best ? std::min(shortWait, best->cost - tokensToFetch) : shortWait;
    const std::optional<LoadAnswer> answer =
        loads.reserve(home.incarnation, demand.at(home), context.room, bound);
    const bool isUnanswered = !answer && loads.permitDue(home.incarnation);
    if (isUnanswered || (answer && (answer->isStalled || answer->lacksPermit))) {
      continue;
    }
    ++asked;
    BackendChoice choice = choiceWithoutReservation(home);
    if (answer) {
      choice.pendingTokens = answer->pendingTokens;
      choice.readingTokens = answer->readingTokens;
      choice.tokensPerSecond = answer->readingTokens > 0 ? answer->tokensPerSecond : 0;
      const Duration wait = answer->expectedWait();
      const uint64_t toRead =
          answer->readingTokens > 0 ? answer->readingTokens : request.promptTokens;
      choice.expected = ExpectedTimes{wait, wait + answer->expectedReading(toRead)};
    }
    if (answer && answer->isGranted) {
      choice.ticket = answer->ticket;
      choice.claim = claimOf(*answer);
    }
    if (answer && index == 0) {
      returnAfter = answer->returnAfter;  // Retries look for their reservation at the first home.
    }
    choice.returnAfter = returnAfter;
    const uint64_t cost = choice.pendingTokens + tokensToFetch;
    if (choice.ticket || (!answer && home.pendingTokens < bound)) {
      return FoundHome{choice, cost, true};
    }
    if (!best || cost < best->cost) {
      best = FoundHome{choice, cost, false};
    }
  }
  return best;
}

/// @return whether the request would wait too long at that home to be in time.
bool lacksRoom(const FoundHome& home, const IncomingRequest& request, Time now) {
  return !home.accepts && home.choice.expected &&
         home.choice.expected->wait > longestQueueWait(request, now);
}

/// Counts the request at the home.
/// @return nothing if the home permits no request.
std::optional<BackendChoice> settleAt(const FoundHome& home, DemandByWeights& demand,
                                      const EngineRoom& room, EngineLoads& loads) {
  BackendChoice choice = home.choice;
  if (home.accepts) {
    return choice;
  }
  // Reserve there without a bound, so that load beyond the bound is counted, too.
  const std::optional<LoadAnswer> counted =
      choice.expected
          ? loads.reserve(choice.backend.incarnation, demand.at(choice.backend), room, kNoBound)
          : std::nullopt;
  if (counted) {
    choice.claim = claimOf(*counted);
    const bool isReserved = counted->returnAfter > Duration(0);
    choice.returnAfter = isReserved ? counted->returnAfter : choice.returnAfter;
  }
  if (counted && counted->isGranted) {
    choice.ticket = counted->ticket;
  }
  const bool isPermitted = choice.ticket || !loads.permitDue(choice.backend.incarnation);
  return isPermitted ? std::optional(choice) : std::nullopt;
}

}  // namespace

std::optional<BackendChoice> chooseHome(const IncomingRequest& request,
                                        const std::vector<BackendView>& candidates,
                                        const ChoiceContext& context, EngineLoads& loads) {
  if (!affinityPart(request)) {
    return std::nullopt;
  }
  const Sides sides = divide(permittingNow(usableCandidates(candidates, context), loads), context);
  DemandByWeights demand(request, context.now);
  HomeSearch search{request, context,         loads, demand, sharedTokensOf(request),
                    false,   kMaxHomesQueried};
  const std::optional<FoundHome> own = search.run(firstHomes(request, sides.own));
  const bool hasOtherSide = !sides.other.empty();
  std::optional<BackendChoice> settled;
  bool isRefused = false;
  if (own && !(hasOtherSide && lacksRoom(*own, request, context.now))) {
    settled = settleAt(*own, demand, context.room, loads);
    isRefused = !settled || (settled->expected && !settled->ticket);
    if (!isRefused || !hasOtherSide) {
      return settled;
    }
  }
  search.isOfOtherSide = true;
  search.maxQueries = kMaxOtherHomesQueried;
  const std::optional<FoundHome> other = search.run(firstHomes(request, sides.other));
  if (other && (!own || isRefused || other->accepts || other->cost < own->cost)) {
    std::optional<BackendChoice> there = settleAt(*other, demand, context.room, loads);
    if (there && (!settled || there->ticket || !there->expected)) {
      return there;
    }
  }
  return settled || !own ? settled : settleAt(*own, demand, context.room, loads);
}

}  // namespace fernmoor::gateway
