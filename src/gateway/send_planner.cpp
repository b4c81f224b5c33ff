#include "gateway/send_planner.h"

#include <algorithm>

#include "common/rendezvous.h"
#include "gateway/backend_choice.h"
#include "gateway/begin_deadline.h"
#include "gateway/part_source.h"
#include "gateway/send_decisions.h"
#include "gateway/serving_versions.h"
#include "gateway/software_choice.h"

namespace fernmoor::gateway {

namespace {

/// One request in this many waits for a permit as long as the most urgent ones do, so that no row
/// is starved.
constexpr uint64_t kStarvationGuardInterval = 8;

/// The shared parts of a prompt, by the keys under which nodes remember where they are cached.
struct SharedParts {
  std::optional<SocketAddress> store;  ///< The store assigned to the prompt.
  std::vector<PartKey> keys;           ///< One per part; the longest prefix comes last.
};

/// Keys include the store's address, because a prefix saved in one store is not found in another.
SharedParts sharedPartsOf(const IncomingRequest& request, const std::string& scope) {
  SharedParts shared;
  const size_t count = request.sharedPartCount();
  if (count == 0) {
    return shared;
  }
  const PartKey longest = partKeyOf(scope, request.parts[count - 1].id);
  shared.store = storeOf(longest, request.table->cacheStores);
  const std::string keptAt = shared.store ? formatSocketAddress(*shared.store) + "/" : "";
  for (size_t index = 0; index < count; ++index) {
    shared.keys.push_back(partKeyOf(keptAt + scope, request.parts[index].id));
  }
  return shared;
}

/// @return the address of the engine with this incarnation, if it is usable and holds these
/// weights.
std::optional<SocketAddress> sourceEngine(const std::vector<BackendView>& members, uint64_t engine,
                                          uint64_t version) {
  for (const BackendView& member : members) {
    const bool isSound = !member.isAvoided && !member.isLeaving;
    if (member.weightsVersion == version && isSound && member.incarnation == engine) {
      return member.listing->address;
    }
  }
  return std::nullopt;
}

/// @return the capacity of each engine of the request's pool.
EngineRoom roomOf(const IncomingRequest& request) {
  const Pool* const pool = request.table->findPool(request.pool);
  return pool == nullptr ? EngineRoom{} : pool->room;
}

}  // namespace

SendPlanner::SendPlanner(PlannerServices services, std::string zone, uint64_t randomSeed)
    : services_(services), zone_(std::move(zone)), random_(randomSeed) {}

std::optional<BackendChoice> SendPlanner::choose(const PlanInput& input,
                                                 std::vector<BackendView> members, uint64_t lowest,
                                                 const std::optional<EngineSide>& side, Time now) {
  leaveOutOldWeights(members, lowest);
  const Pool* const pool = input.request.table->findPool(input.request.pool);
  ChoiceContext context{zone_, input.tried, roomOf(input.request), now, side};
  context.servesModels = pool == nullptr || pool->servesModels;
  std::optional<BackendChoice> chosen =
      chooseHome(input.request, members, context, services_.loads);
  if (!chosen) {
    Random random(drawSeed());
    chosen = chooseLeastLoaded(input.request, members, context, services_.loads, random);
  }
  if (!chosen) {
    chosen = chooseSoonestPermit(input.request, members, context, services_.loads,
                                 maxPermitWait(input, now));
  }
  return chosen;
}

std::optional<EngineSide> SendPlanner::sideOf(const IncomingRequest& request,
                                              const std::vector<BackendView>& members, Time now) {
  return kindSides_.sideOf(request, members, roomOf(request).places, services_.loads.nodeCount(),
                           now);
}

uint64_t SendPlanner::drawSeed() {
  const std::lock_guard<std::mutex> lock(randomMutex_);
  return random_.next();
}

Duration SendPlanner::maxPermitWait(const PlanInput& input, Time now) {
  const int urgency = drawSeed() % kStarvationGuardInterval == 0 ? 0 : urgencyOf(input.request);
  return longestPermitWait(input.request, urgency, input.mayBeRefused, now);
}

std::optional<BackendChoice> SendPlanner::chooseBeforeWeightsBound(
    const PlanInput& input, const std::vector<BackendView>& members, Time now, uint64_t& lowest) {
  const std::string& model = input.request.model;
  lowest = services_.wanted.lowestServing(model, now);
  const std::optional<EngineSide> side = sideOf(input.request, members, now);
  while (true) {
    std::optional<BackendChoice> chosen = choose(input, members, lowest, side, now);
    if (!chosen) {
      return chosen;
    }
    const Duration expected =
        chosen->permitWait + (chosen->expected ? chosen->expected->firstEvent : kUnknownFirstEvent);
    const Time begin = now + fromSeconds(toSeconds(expected) * kBeginAllowance);
    const uint64_t atBegin = services_.wanted.lowestServing(model, begin);
    if (chosen->backend.weightsVersion >= atBegin) {
      return chosen;
    }
    if (chosen->ticket) {
      giveBack(*chosen->ticket);
    }
    // `lowest` grows in each iteration, because the rejected choice held at least the former one.
    lowest = atBegin;
  }
}

std::optional<BackendChoice> SendPlanner::chooseWhereItCanGoOn(
    const PlanInput& input, const std::vector<BackendView>& members, Time now, uint64_t& lowest) {
  if (input.request.isResumable() && !input.software && runSeveralVersions(members)) {
    const std::vector<BackendView> preferred = membersToBegin(members, now);
    if (preferred.size() < members.size()) {
      if (auto chosen = chooseBeforeWeightsBound(input, preferred, now, lowest)) {
        return chosen;
      }
    }
  }
  return chooseBeforeWeightsBound(input, members, now, lowest);
}

std::optional<Duration> SendPlanner::unpermittedFor(std::vector<BackendView> members,
                                                    uint64_t lowest, Time now) const {
  leaveOutOldWeights(members, lowest);
  return soonestTaker(members, services_.loads, now);
}

void SendPlanner::planCache(const PlanInput& input, const std::vector<BackendView>& members,
                            Time now, SendPlan& plan) {
  const SharedParts shared = sharedPartsOf(input.request, plan.cacheScope);
  if (shared.keys.empty()) {
    return;
  }
  const std::vector<PartHint> hints = services_.parts.find(shared.keys);
  PartHolders holders;
  holders.store = shared.store;
  const uint64_t engine = hints.back().engine;
  if (engine != 0 && engine != incarnationHash(plan.backend)) {
    holders.engine = sourceEngine(members, engine, plan.weightsVersion);
  }
  plan.transfer = planTransfer(hints, holders, experience_.isStoreSlow(now), now);
}

WaitVerdict SendPlanner::decide(const PlanInput& input, const BackendChoice& chosen,
                                PlannedSend& planned) {
  const IncomingRequest& request = input.request;
  const Time now = services_.clock.now();
  WaitInput wait;
  wait.target = request.row->target;
  wait.timeout = request.row->timeout;
  wait.waited = now - request.arrivedAt;
  wait.left = request.deadline - now;
  wait.mayBeRefused = input.mayBeRefused;
  wait.expected = chosen.expected;
  wait.claim = chosen.claim;
  if (chosen.returnAfter > Duration(0)) {
    wait.reservedIn = chosen.returnAfter;
  }
  const Pool* const pool = request.table->findPool(request.pool);
  if (pool == nullptr || pool->room.places == 0 || pool->room.memoryTokens == 0) {
    if (!input.mayBeRefused || !chosen.expected || canBeInTime(request, *chosen.expected, now)) {
      return WaitVerdict{};
    }
    const Duration returnAfter = returnWhenBusy(chosen.expected->firstEvent);
    return WaitVerdict{WaitDecision::kRefuse, boundedReturn(returnAfter, wait.left)};
  }
  // Whether there is spare capacity is asked only if the decision depends on it.
  wait.hasSpareCapacity = chosen.claim != ClaimState::kUnknown;
  WaitVerdict verdict = decideWait(wait);
  if (verdict.decision != WaitDecision::kSendLate) {
    return verdict;
  }
  if (planned.ticket) {
    giveBack(*planned.ticket);
    planned.ticket.reset();
  }
  const ChoiceContext context{zone_, input.tried, pool->room, now};
  const auto answer = reserveAsLeastUrgent(request, chosen.backend, context, services_.loads);
  if (answer && answer->isGranted) {
    planned.ticket = answer->ticket;
    planned.permitWait = answer->permitWait;
    return verdict;
  }
  wait.hasSpareCapacity = false;
  if (answer && answer->returnAfter > Duration(0)) {
    wait.reservedIn = answer->returnAfter;
  }
  return decideWait(wait);
}

std::optional<PlannedSend> SendPlanner::plan(const PlanInput& input) {
  const IncomingRequest& request = input.request;
  const Time now = services_.clock.now();
  std::vector<BackendView> members = services_.backends.membersOf(request.pool, request.model, now);
  if (input.software) {
    leaveOutOtherSoftware(members, *input.software);
  }
  PlannedSend planned;
  const std::optional<BackendChoice> chosen =
      chooseWhereItCanGoOn(input, members, now, planned.lowestWeights);
  if (!chosen) {
    planned.unpermittedFor = unpermittedFor(members, planned.lowestWeights, now);
    return planned.unpermittedFor ? std::optional(planned) : std::nullopt;
  }
  planned.permitWait = chosen->permitWait;
  planned.inFlight = chosen->backend.inFlight;
  planned.pendingTokens = chosen->pendingTokens;
  planned.ticket = chosen->ticket;
  planned.expected = chosen->expected;
  planned.prompt.toRead = chosen->readingTokens > 0 ? chosen->readingTokens : request.promptTokens;
  planned.prompt.whole = request.promptTokens;
  planned.prompt.tokensPerSecond = chosen->tokensPerSecond;
  planned.verdict = decide(input, *chosen, planned);
  if (planned.verdict.isRefused()) {
    return planned;  // Its cached parts need not be looked up.
  }
  SendPlan& plan = planned.send;
  plan.backend = *chosen->backend.listing;
  plan.weightsVersion = chosen->backend.weightsVersion;
  plan.resumeAfter = input.resumeAfter;
  plan.urgency =
      planned.verdict.decision == WaitDecision::kSendLate ? kLeastUrgent : urgencyOf(request);
  if (plan.weightsVersion != 0 && request.row->usesPrefixes) {
    plan.cacheScope = cacheScopeOf(request, plan.weightsVersion);
    planCache(input, members, now, plan);
  }
  return planned;
}

void SendPlanner::noteSent(const IncomingRequest& request, const SentPrompt& prompt) {
  kindSides_.noteSent(request, prompt, services_.clock.now());
}

void SendPlanner::noteFirstEvent(const IncomingRequest& request, uint64_t tokensToRead,
                                 Duration took) {
  kindSides_.noteFirstEvent(request, tokensToRead, took, services_.clock.now());
}

void SendPlanner::noteEnded(const IncomingRequest& request) {
  kindSides_.noteEnded(request, services_.clock.now());
}

void SendPlanner::notePartsRead(const IncomingRequest& request, const SendPlan& plan,
                                Duration took) {
  experience_.note(plan.transfer.source, request.promptTokens, took, services_.clock.now());
  const std::vector<PartKey> keys = sharedPartsOf(request, plan.cacheScope).keys;
  if (!plan.cacheScope.empty() && !keys.empty()) {
    services_.parts.note(keys, incarnationHash(plan.backend), plan.transfer.saveTo.has_value());
  }
}

}  // namespace fernmoor::gateway
