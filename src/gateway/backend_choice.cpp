#include "gateway/backend_choice.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "common/rendezvous.h"
#include "gateway/part_memory.h"
#include "gateway/send_decisions.h"

namespace fernmoor::gateway {

namespace {

/// A home accepts up to this multiple of the mean number of this node's requests per back end;
/// beyond it, other homes are preferred.
constexpr double kBoundedLoadFactor = 1.5;
/// Requests that each back end may have in addition, whatever the mean.
constexpr double kBoundedLoadSlack = 4;
/// Each query costs a round trip to another node.
constexpr size_t kMaxHomesQueried = 3;
/// Homes queried on the other side, after those of the request's own side.
constexpr size_t kMaxOtherHomesQueried = 2;
/// Candidate homes, with spares for stalled ones: a quarter of the engines may have stopped.
constexpr size_t kMaxHomes = 6;
/// Reservations expire this long (500 ms) after the deadline. The end of a request is normally
/// reported within a few trips between nodes; the margin only covers lost messages.
constexpr Duration kReservationMargin{500000};
constexpr int kUrgenciesPerTenantPriority = 3;
/// Shared parts that a question to the owner of an engine names; prompts have two to four.
constexpr size_t kMaxPartsPerQuestion = 8;
/// Bound in tokens that counts a request however many tokens wait.
constexpr uint64_t kNoBound = std::numeric_limits<uint64_t>::max();
/// Load penalty for a back end in another zone, in requests.
constexpr double kOtherZonePenalty = 1.5;

using Candidates = std::vector<const BackendView*>;

/// Preference classes of candidates; the first class that has any is used.
enum class PreferenceClass { kSound, kAvoided, kLeaving };
constexpr size_t kPreferenceClasses = 3;

PreferenceClass preferenceClassOf(const BackendView& candidate) {
  if (candidate.isLeaving) {
    return PreferenceClass::kLeaving;
  }
  return candidate.isAvoided ? PreferenceClass::kAvoided : PreferenceClass::kSound;
}

/// @return the candidates that were not tried and are not resting, from the best class that has
/// any.
Candidates usableCandidates(const std::vector<BackendView>& candidates,
                            const ChoiceContext& context) {
  std::array<Candidates, kPreferenceClasses> usable;
  for (const BackendView& candidate : candidates) {
    if (context.tried.count(candidate.listing->id) == 0 && candidate.restsUntil <= context.now) {
      usable[static_cast<size_t>(preferenceClassOf(candidate))].push_back(&candidate);
    }
  }
  const auto first = std::find_if(usable.begin(), usable.end(),
                                  [](const Candidates& group) { return !group.empty(); });
  return first == usable.end() ? Candidates() : std::move(*first);
}

/// @return the id of the part that determines the request's home: the last shared one.
std::optional<std::string> affinityPart(const IncomingRequest& request) {
  if (!request.row->usesPrefixes || request.sharedPartCount() == 0) {
    return std::nullopt;
  }
  return request.parts[request.sharedPartCount() - 1].id;
}

/// @return a hash that is the same for the first attempt and a retry of a request.
uint64_t requestKeyOf(const IncomingRequest& request) {
  std::string text = request.tenant ? request.tenant->name : "";
  text += "/" + request.row->name;
  for (const PromptPart& part : request.parts) {
    text += "/" + part.id;
  }
  return request.parts.empty() ? 0 : stableHash(text);
}

double meanInFlight(const Candidates& candidates) {
  double sum = 0;
  for (const BackendView* candidate : candidates) {
    sum += candidate->inFlight;
  }
  return sum / static_cast<double>(candidates.size());
}

const BackendView* leastLoaded(const Candidates& candidates, const std::string& zone,
                               Random& random) {
  const BackendView* best = nullptr;
  double bestScore = 0;
  for (const BackendView* candidate : candidates) {
    const double penalty = candidate->listing->zone == zone ? 0 : kOtherZonePenalty;
    const double score = candidate->inFlight + penalty + random.unit() / 2;
    if (best == nullptr || score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
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

/// @return the candidates that state no limit or may accept a request now.
Candidates permittingNow(Candidates candidates, const EngineLoads& loads) {
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [&](const BackendView* each) {
                                    const auto due = loads.permitDue(each->incarnation);
                                    return due && *due > Duration(0);
                                  }),
                   candidates.end());
  return candidates;
}

EngineDemand permitDemand(const IncomingRequest& request, Time now, Duration longestWait) {
  EngineDemand demand = demandOf(request, 0, now);
  demand.longestPermitWait = longestWait;
  demand.isCounted = false;
  return demand;
}

BackendChoice choiceWithoutReservation(const BackendView& backend) {
  BackendChoice choice;
  choice.backend = backend;
  choice.pendingTokens = backend.pendingTokens;
  return choice;
}

BackendChoice reservedChoice(const BackendView& backend, const LoadAnswer& answer) {
  BackendChoice choice = choiceWithoutReservation(backend);
  choice.ticket = answer.ticket;
  choice.permitWait = answer.permitWait;
  return choice;
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

/// A search for a home among some candidates.
struct HomeSearch {
  const IncomingRequest& request;
  const ChoiceContext& context;
  EngineLoads& loads;
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
    const std::optional<LoadAnswer> answer = loads.reserve(
        home.incarnation, demandOf(request, home.weightsVersion, context.now), context.room, bound);
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
std::optional<BackendChoice> settleAt(const FoundHome& home, const IncomingRequest& request,
                                      const ChoiceContext& context, EngineLoads& loads) {
  BackendChoice choice = home.choice;
  if (home.accepts) {
    return choice;
  }
  // Reserve there without a bound, so that load beyond the bound is counted, too.
  const std::optional<LoadAnswer> counted =
      choice.expected ? loads.reserve(choice.backend.incarnation,
                                      demandOf(request, choice.backend.weightsVersion, context.now),
                                      context.room, kNoBound)
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

/// @return whether the candidates list fewer slots than there are nodes, so that each node has less
///         than one slot and can't see from its own requests whether an engine has a free one.
bool haveFewerSlotsThanNodes(const Candidates& usable, const EngineLoads& loads) {
  const size_t nodes = loads.nodeCount();
  size_t slots = 0;
  for (const BackendView* each : usable) {
    slots += static_cast<size_t>(std::max(0, each->listing->slots));
    if (each->listing->slots <= 0 || slots >= nodes) {
      return false;
    }
  }
  return true;
}

/// Counts the request at the candidate.
/// @return nothing if the owner doesn't say how many requests are there; it is not counted then.
std::optional<LoadAnswer> countAt(const IncomingRequest& request, const BackendView& candidate,
                                  const ChoiceContext& context, EngineLoads& loads) {
  // Without the room, the owner does not refuse the request for want of it.
  std::optional<LoadAnswer> answer = loads.reserve(
      candidate.incarnation, demandOf(request, 0, context.now), EngineRoom{}, kNoBound);
  if (!answer || !answer->isGranted) {
    return std::nullopt;
  }
  if (!answer->presentRequests) {
    loads.giveBack(answer->ticket);
    return std::nullopt;
  }
  return answer;
}

/// Asks the owners of two random candidates how many requests of all nodes are there.
/// @return the candidate with fewer, where the request is counted; nothing if an owner doesn't say.
std::optional<BackendChoice> chooseOfTwo(const IncomingRequest& request, const Candidates& usable,
                                         const ChoiceContext& context, EngineLoads& loads,
                                         Random& random) {
  const size_t drawn = random.below(usable.size());
  const size_t other = (drawn + 1 + random.below(usable.size() - 1)) % usable.size();
  const BackendView* first = usable[drawn];
  const BackendView* second = usable[other];
  if (loads.permitDue(first->incarnation) || loads.permitDue(second->incarnation)) {
    return std::nullopt;  // Their owners decide when the request is sent.
  }
  if (first->listing->zone != context.zone) {  // On a tie, the first one is chosen.
    std::swap(first, second);
  }
  std::optional<LoadAnswer> atFirst = countAt(request, *first, context, loads);
  if (!atFirst) {
    return std::nullopt;
  }
  std::optional<LoadAnswer> atSecond = countAt(request, *second, context, loads);
  if (!atSecond) {
    loads.giveBack(atFirst->ticket);
    return std::nullopt;
  }
  if (*atSecond->presentRequests < *atFirst->presentRequests) {
    std::swap(first, second);
    std::swap(atFirst, atSecond);
  }
  loads.giveBack(atSecond->ticket);
  return reservedChoice(*first, *atFirst);
}

}  // namespace

int urgencyOf(const IncomingRequest& request) {
  const int ofTenant = request.tenant ? request.tenant->priority : 0;
  return std::clamp(ofTenant * kUrgenciesPerTenantPriority + request.row->priority, 0,
                    kLeastUrgent);
}

EngineDemand demandOf(const IncomingRequest& request, uint64_t weightsVersion, Time now) {
  EngineDemand demand;
  demand.promptTokens = request.promptTokens;
  demand.memoryTokens = request.promptTokens + request.expectedAnswerTokens;
  demand.forgetAfter = std::max(Duration(0), request.deadline - now) + kReservationMargin;
  demand.urgency = urgencyOf(request);
  demand.tenant = request.tenant ? stableHash(request.tenant->name) : 0;
  demand.requestKey = requestKeyOf(request);
  demand.longestPause = request.row->longestPause;
  demand.longestWait = longestQueueWait(request, now);
  if (request.row->usesPrefixes) {
    const std::string scope = cacheScopeOf(request, weightsVersion);
    const size_t count = std::min(request.sharedPartCount(), kMaxPartsPerQuestion);
    for (size_t index = 0; index < count; ++index) {
      const PromptPart& part = request.parts[index];
      demand.sharedParts.push_back(SharedPart{
          partKeyOf(scope, part.id), static_cast<uint32_t>(std::min<uint64_t>(
                                         part.tokens, std::numeric_limits<uint32_t>::max()))});
    }
  }
  return demand;
}

std::optional<BackendChoice> chooseHome(const IncomingRequest& request,
                                        const std::vector<BackendView>& candidates,
                                        const ChoiceContext& context, EngineLoads& loads) {
  if (!affinityPart(request)) {
    return std::nullopt;
  }
  const Sides sides = divide(permittingNow(usableCandidates(candidates, context), loads), context);
  HomeSearch search{request, context, loads, sharedTokensOf(request), false, kMaxHomesQueried};
  const std::optional<FoundHome> own = search.run(firstHomes(request, sides.own));
  const bool hasOtherSide = !sides.other.empty();
  std::optional<BackendChoice> settled;
  bool isRefused = false;
  if (own && !(hasOtherSide && lacksRoom(*own, request, context.now))) {
    settled = settleAt(*own, request, context, loads);
    isRefused = !settled || (settled->expected && !settled->ticket);
    if (!isRefused || !hasOtherSide) {
      return settled;
    }
  }
  search.isOfOtherSide = true;
  search.maxQueries = kMaxOtherHomesQueried;
  const std::optional<FoundHome> other = search.run(firstHomes(request, sides.other));
  if (other && (!own || isRefused || other->accepts || other->cost < own->cost)) {
    std::optional<BackendChoice> there = settleAt(*other, request, context, loads);
    if (there && (!settled || there->ticket || !there->expected)) {
      return there;
    }
  }
  return settled || !own ? settled : settleAt(*own, request, context, loads);
}

std::optional<LoadAnswer> reserveAsLeastUrgent(const IncomingRequest& request,
                                               const BackendView& backend,
                                               const ChoiceContext& context, EngineLoads& loads) {
  EngineDemand demand = demandOf(request, backend.weightsVersion, context.now);
  demand.urgency = kLeastUrgent;
  demand.onlySpare = true;
  demand.longestWait = std::max(Duration(0), request.deadline - context.now);
  return loads.reserve(backend.incarnation, demand, context.room, kNoBound);
}

std::optional<BackendChoice> chooseLeastLoaded(const IncomingRequest& request,
                                               const std::vector<BackendView>& candidates,
                                               const ChoiceContext& context, EngineLoads& loads,
                                               Random& random) {
  Candidates usable = permittingNow(usableCandidates(candidates, context), loads);
  if (!context.servesModels && usable.size() > 1 && haveFewerSlotsThanNodes(usable, loads)) {
    if (auto choice = chooseOfTwo(request, usable, context, loads, random)) {
      return choice;
    }
  }
  const EngineDemand demand = permitDemand(request, context.now, Duration(0));
  for (size_t asked = 0; !usable.empty();) {
    const BackendView& best = *leastLoaded(usable, context.zone, random);
    if (!loads.permitDue(best.incarnation)) {
      return choiceWithoutReservation(best);
    }
    if (asked < kMaxHomesQueried) {
      ++asked;
      const auto answer = loads.reserve(best.incarnation, demand, context.room, kNoBound);
      if (answer && answer->isGranted) {
        return reservedChoice(best, *answer);
      }
    }
    usable.erase(std::find(usable.begin(), usable.end(), &best));
  }
  return std::nullopt;
}

std::optional<BackendChoice> chooseSoonestPermit(const IncomingRequest& request,
                                                 const std::vector<BackendView>& candidates,
                                                 const ChoiceContext& context, EngineLoads& loads,
                                                 Duration longestWait) {
  std::vector<std::pair<Duration, const BackendView*>> due;
  for (const BackendView* each : usableCandidates(candidates, context)) {
    const std::optional<Duration> wait = loads.permitDue(each->incarnation);
    if (!wait || *wait <= longestWait) {
      due.emplace_back(wait.value_or(Duration(0)), each);
    }
  }
  std::stable_sort(due.begin(), due.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  due.resize(std::min(due.size(), kMaxHomesQueried));
  const EngineDemand demand = permitDemand(request, context.now, longestWait);
  for (const auto& each : due) {
    const BackendView& backend = *each.second;
    const auto answer = loads.reserve(backend.incarnation, demand, context.room, kNoBound);
    if (answer && answer->isGranted) {
      return reservedChoice(backend, *answer);
    }
    if (!answer && loads.mayGoUnasked(backend.incarnation)) {
      return choiceWithoutReservation(backend);
    }
  }
  return std::nullopt;
}

std::optional<Duration> soonestTaker(const std::vector<BackendView>& candidates,
                                     const EngineLoads& loads, Time now) {
  std::optional<Duration> soonest;
  for (const BackendView& each : candidates) {
    const std::optional<Duration> permit = loads.permitDue(each.incarnation);
    const bool isResting = each.restsUntil > now;
    if (each.isLeaving) {
      continue;
    }
    if (!permit && !isResting) {
      return std::nullopt;
    }
    const Duration due = std::max(permit.value_or(Duration(0)), each.restsUntil - now);
    soonest = std::min(soonest.value_or(due), due);
  }
  return soonest;
}

std::string cacheScopeOf(const IncomingRequest& request, uint64_t weightsVersion) {
  const bool isolated = request.tenant && request.tenant->isIsolated;
  const std::string owner = isolated ? "t-" + request.tenant->name : "shared";
  return owner + ".v" + std::to_string(weightsVersion);
}

}  // namespace fernmoor::gateway
