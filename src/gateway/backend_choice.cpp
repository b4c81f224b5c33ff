#include "gateway/backend_choice.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "common/rendezvous.h"
#include "gateway/part_memory.h"
#include "gateway/send_decisions.h"
#include "gateway/usable_candidates.h"

namespace fernmoor::gateway {

namespace {

/// Reservations expire this long (500 ms) after the deadline. The end of a request is normally
/// reported within a few trips between nodes; the margin only covers lost messages.
constexpr Duration kReservationMargin{500000};
constexpr int kUrgenciesPerTenantPriority = 3;
/// Shared parts that a question to the owner of an engine names; prompts have two to four.
constexpr size_t kMaxPartsPerQuestion = 8;
/// Load penalty for a back end in another zone, in requests.
constexpr double kOtherZonePenalty = 1.5;

/// @return a hash that is the same for the first attempt and a retry of a request.
uint64_t requestKeyOf(const IncomingRequest& request) {
  std::string text = request.tenant ? request.tenant->name : "";
  text += "/" + request.row->name;
  for (const PromptPart& part : request.parts) {
    text += "/" + part.id;
  }
  return request.parts.empty() ? 0 : stableHash(text);
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

EngineDemand permitDemand(const IncomingRequest& request, Time now, Duration longestWait) {
  EngineDemand demand = demandOf(request, 0, now);
  demand.longestPermitWait = longestWait;
  demand.isCounted = false;
  return demand;
}

BackendChoice reservedChoice(const BackendView& backend, const LoadAnswer& answer) {
  BackendChoice choice = choiceWithoutReservation(backend);
  choice.ticket = answer.ticket;
  choice.permitWait = answer.permitWait;
  return choice;
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

std::optional<LoadAnswer> reserveAsLeastUrgent(const IncomingRequest& request,
                                               const BackendView& backend,
                                               const ChoiceContext& context, EngineLoads& loads) {
  EngineDemand demand = demandOf(request, backend.weightsVersion, context.now);
  demand.urgency = kLeastUrgent;
  demand.onlySpare = true;
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
  const TrafficTablePtr& table = request.newestTable ? request.newestTable : request.table;
  // A tenant that was isolated when the request was accepted remains so for this request.
  const bool isIsolated = request.tenant && (request.tenant->isIsolated ||
                                             (table && table->isIsolated(request.tenant->name)));
  const std::string shared = table ? table->sharedCacheName() : kSharedCacheName;
  const std::string name = isIsolated ? "t-" + request.tenant->name : shared;
  return name + ".v" + std::to_string(weightsVersion);
}

}  // namespace fernmoor::gateway
