#include "load_play.h"

#include <algorithm>
#include <numeric>

#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

constexpr Time kStart{std::chrono::seconds(100)};
constexpr Duration kTick{1000};
constexpr int kDrawsPerTick = 4;
constexpr uint64_t kSubjectsPerTenant = 8;
/// As a node: homes that it asks, and those that it knows, see home_choice.cpp.
constexpr size_t kMaxHomesAsked = 3;
constexpr size_t kMaxHomes = 6;
constexpr uint64_t kNoBound = UINT32_MAX;
/// Margin after the deadline for which an owner counts a request.
constexpr Duration kForgetMargin{500000};
constexpr int kLeastUrgent = 9;
/// Of both kinds.
constexpr Duration kLongestPause{600000};
constexpr uint64_t kNode = 1;

uint64_t partKey(size_t kind, size_t part, uint64_t subject) {
  return (kind + 1) * 1000000 + (part + 1) * 10000 + subject;
}

uint64_t sumOf(const std::vector<uint32_t>& tokens) {
  return std::accumulate(tokens.begin(), tokens.end(), uint64_t{0});
}

}  // namespace

PlayedKind longKind() {
  return PlayedKind{
      2, {2500, 3800}, 2890, 9, std::chrono::milliseconds(1500), std::chrono::milliseconds(5000)};
}

PlayedKind shortKind() {
  return PlayedKind{
      0, {198}, 628, 49, std::chrono::milliseconds(500), std::chrono::milliseconds(15000)};
}

std::vector<double> unequalTenants() {
  std::vector<double> parts;
  for (int tenant = 1; tenant <= kTenants; ++tenant) {
    parts.push_back(1.0 / tenant);
  }
  const double sum = std::accumulate(parts.begin(), parts.end(), 0.0);
  for (double& part : parts) {
    part /= sum;
  }
  return parts;
}

Served& Served::operator+=(const Served& other) {
  asked += other.asked;
  served += other.served;
  inTime += other.inTime;
  refused += other.refused;
  retried += other.retried;
  refusedInVain += other.refusedInVain;
  reservedRetries += other.reservedRetries;
  servedReserved += other.servedReserved;
  return *this;
}

LoadPlay::LoadPlay(size_t engines, std::vector<Arrivals> arrivals, uint32_t seed)
    : arrivals_(std::move(arrivals)),
      random_(seed),
      engines_(engines),
      byKind_(arrivals_.size()),
      byTenant_(kTenants),
      now_(kStart) {
  for (Engine& engine : engines_) {
    engine.owner = std::make_unique<PendingWork>();
  }
}

double LoadPlay::chance() {
  return static_cast<double>(random_()) / 4294967296.0;
}

template <class Change>
void LoadPlay::count(const Caller& caller, Change change) {
  change(byKind_[caller.kind]);
  change(byTenant_[caller.tenant]);
}

void LoadPlay::cancelOverdue() {
  for (auto open = open_.begin(); open != open_.end();) {
    const uint32_t id = open->first;
    const size_t engine = open->second.engine;
    if (now_ < open->second.caller.deadline) {
      ++open;
      continue;
    }
    open = open_.erase(open);
    engines_[engine].model.cancel(id, now_);
    engines_[engine].owner->release(engine + 1, kNode, id, now_);
  }
}

void LoadPlay::run(Duration until) {
  for (; now_ < kStart + until; now_ += kTick) {
    cancelOverdue();
    for (size_t index = 0; index < engines_.size(); ++index) {
      advanceEngine(index);
    }
    while (!retries_.empty() && retries_.begin()->first <= now_) {
      const Caller caller = retries_.begin()->second;
      retries_.erase(retries_.begin());
      attempt(caller);
    }
    if (!areArrivalsOver_) {
      arrive();
    }
  }
}

void LoadPlay::finish() {
  areArrivalsOver_ = true;
  while (!open_.empty() || !retries_.empty()) {
    run(now_ + kTick - kStart);
  }
}

void LoadPlay::loseEngine(size_t engine) {
  engines_[engine].isLost = true;
}

void LoadPlay::loseOwner(size_t engine, Duration renewAfter) {
  formerReturns_ += engines_[engine].owner->returns();
  engines_[engine].owner = std::make_unique<PendingWork>();
  engines_[engine].renewAt = now_ + renewAfter;
}

void LoadPlay::advanceEngine(size_t index) {
  Engine& engine = engines_[index];
  if (now_ >= engine.renewAt) {
    engine.renewAt = Time(Duration::max());
    renew(index);
  }
  const auto onFirstEvent = [&](uint32_t id) {
    Open& open = open_.at(id);
    open.isRead = true;
    open.caller.firstEventAt = now_;
    engine.owner->promptRead(index + 1, kNode, id, now_);
  };
  const auto onEnd = [&](uint32_t id) {
    const Open open = open_.at(id);
    open_.erase(id);
    const PlayedKind& kind = arrivals_[open.caller.kind].kind;
    const auto events = static_cast<uint32_t>(kind.events - 1);
    const Duration stepping = now_ - open.caller.firstEventAt;
    engine.owner->release(index + 1, kNode, id, now_,
                          StreamPace{events, stepping, stepping / kind.events});
    count(open.caller, [&](Served& served) {
      const bool isServed = now_ <= open.caller.deadline;
      const bool isInTime = open.caller.firstEventAt - open.caller.arrivedAt <= kind.target;
      served.served += isServed ? 1 : 0;
      served.inTime += isServed && isInTime ? 1 : 0;
      served.servedReserved += isServed && open.caller.hasReservation ? 1 : 0;
    });
  };
  engine.model.advance(now_, onFirstEvent, onEnd);
}

void LoadPlay::renew(size_t index) {
  for (const auto& [id, open] : open_) {
    if (open.engine == index) {
      PendingRequest request = open.request;
      request.demand.forgetAfter = open.forgetAt - now_;
      engines_[index].owner->renew(index + 1, request, kEngineRoom, open.isRead, now_);
    }
  }
}

void LoadPlay::arrive() {
  for (size_t kind = 0; kind < arrivals_.size(); ++kind) {
    const Arrivals& arrivals = arrivals_[kind];
    const bool isOn = now_ >= kStart + arrivals.from && now_ < kStart + arrivals.until;
    for (int draw = 0; isOn && draw < kDrawsPerTick; ++draw) {
      if (chance() >= arrivals.perSecond * toSeconds(kTick) / kDrawsPerTick) {
        continue;
      }
      Caller caller;
      caller.kind = kind;
      double part = chance();
      while (caller.tenant + 1 < arrivals.tenantParts.size() &&
             part >= arrivals.tenantParts[caller.tenant]) {
        part -= arrivals.tenantParts[caller.tenant++];
      }
      caller.subject = caller.tenant * kSubjectsPerTenant + random_() % kSubjectsPerTenant;
      caller.key = ++lastKey_;
      caller.arrivedAt = now_;
      caller.attemptAt = now_;
      caller.deadline = now_ + arrivals.kind.timeout;
      count(caller, [](Served& served) { ++served.asked; });
      attempt(caller);
    }
  }
}

std::vector<size_t> LoadPlay::homesOf(const Caller& caller) const {
  const size_t last = arrivals_[caller.kind].kind.sharedTokens.size() - 1;
  std::vector<size_t> live;
  for (size_t index = 0; index < engines_.size(); ++index) {
    if (!engines_[index].isLost) {
      live.push_back(index);
    }
  }
  return rendezvousTop(partKey(caller.kind, last, caller.subject), std::move(live), kMaxHomes,
                       [](size_t index) { return index + 1; });
}

PlayedEngine::Work LoadPlay::workOf(const Caller& caller) const {
  const PlayedKind& kind = arrivals_[caller.kind].kind;
  PlayedEngine::Work work;
  for (size_t part = 0; part < kind.sharedTokens.size(); ++part) {
    const bool isLast = part + 1 == kind.sharedTokens.size();
    work.parts.push_back(SharedPart{partKey(caller.kind, part, isLast ? caller.subject : 0),
                                    kind.sharedTokens[part]});
  }
  work.ownTokens = kind.ownTokens;
  work.answerTokens = kind.events * kTokensPerEvent;
  return work;
}

EngineDemand LoadPlay::demandOf(const Caller& caller) const {
  const PlayedKind& kind = arrivals_[caller.kind].kind;
  EngineDemand demand;
  demand.promptTokens = kind.ownTokens + sumOf(kind.sharedTokens);
  demand.memoryTokens = demand.promptTokens + static_cast<uint64_t>(kind.events) * kTokensPerEvent;
  demand.forgetAfter = std::max(Duration(0), caller.deadline - now_) + kForgetMargin;
  demand.sharedParts = workOf(caller).parts;
  demand.urgency = kind.urgency;
  demand.tenant = caller.tenant + 1;
  demand.requestKey = caller.key;
  demand.longestPause = kLongestPause;
  return demand;
}

LoadAnswer LoadPlay::ask(size_t engine, const EngineDemand& demand, uint64_t bound) {
  return engines_[engine].owner->reserve(engine + 1, PendingRequest{kNode, ++lastId_, demand},
                                         kEngineRoom, bound, now_);
}

LoadPlay::Home LoadPlay::findHome(const Caller& caller, const std::vector<size_t>& homes) {
  const EngineDemand demand = demandOf(caller);
  const uint64_t shared = sumOf(arrivals_[caller.kind].kind.sharedTokens);
  const uint64_t shortWait = std::max(shared, demand.promptTokens);
  std::optional<Home> best;
  size_t asked = 0;
  for (size_t index = 0; index < homes.size() && asked < kMaxHomesAsked; ++index) {
    const uint64_t toFetch = index == 0 ? 0 : shared;
    if (best && best->cost <= toFetch) {
      break;
    }
    const uint64_t bound = best ? std::min(shortWait, best->cost - toFetch) : shortWait;
    const LoadAnswer answer = ask(homes[index], demand, bound);
    if (answer.isStalled) {
      continue;
    }
    ++asked;
    const Home home{homes[index], answer, Duration(0), answer.pendingTokens + toFetch};
    if (answer.isGranted) {
      return home;
    }
    if (!best || home.cost < best->cost) {
      best = home;
    }
  }
  if (!best) {
    return Home{homes[0], LoadAnswer(), Duration(0), 0};
  }
  best->answer = ask(best->engine, demand, kNoBound);
  best->returnAfter = best->answer.returnAfter;
  return *best;
}

void LoadPlay::attempt(Caller caller) {
  caller.attemptAt = now_;
  count(caller, [&](Served& served) {
    served.retried += caller.isRetry ? 1 : 0;
    served.reservedRetries += caller.hasReservation ? 1 : 0;
  });
  const std::vector<size_t> homes = homesOf(caller);
  Home home = findHome(caller, homes);
  const PlayedKind& kind = arrivals_[caller.kind].kind;
  WaitInput wait;
  wait.target = kind.target;
  wait.timeout = kind.timeout;
  wait.left = caller.deadline - now_;
  if (home.answer.tokensPerSecond > 0) {
    const Duration queue = home.answer.expectedWait();
    wait.expected =
        ExpectedTimes{queue, queue + home.answer.expectedReading(home.answer.readingTokens)};
  }
  wait.claim = home.answer.isFromReservation ? ClaimState::kReserved
               : home.answer.isGranted       ? ClaimState::kGranted
                                             : ClaimState::kTurnedAway;
  if (home.returnAfter > Duration(0)) {
    wait.reservedIn = home.returnAfter;
  }
  wait.hasSpareCapacity = true;  // It is asked for only if the decision depends on it.
  WaitVerdict verdict = decideWait(wait);
  const auto giveBack = [&] {
    if (home.answer.isGranted) {
      engines_[home.engine].owner->release(home.engine + 1, kNode, home.answer.ticket.id, now_);
      home.answer.isGranted = false;
    }
  };
  if (verdict.decision == WaitDecision::kSendLate) {
    giveBack();
    EngineDemand demand = demandOf(caller);
    demand.urgency = kLeastUrgent;
    demand.onlySpare = true;
    const LoadAnswer late = ask(home.engine, demand, kNoBound);
    if (late.isGranted) {
      home.answer = late;
      serve(caller, home);
      return;
    }
    wait.hasSpareCapacity = false;
    if (late.returnAfter > Duration(0)) {
      home.returnAfter = late.returnAfter;
      wait.reservedIn = late.returnAfter;
    }
    verdict = decideWait(wait);
  }
  if (!verdict.isRefused() && home.answer.isGranted) {
    serve(caller, home);
    return;
  }
  giveBack();
  refuse(caller, home, verdict.returnAfter, homes);
}

bool LoadPlay::hasAmpleRoom(size_t index, const Caller& caller) const {
  const PlayedEngine& model = engines_[index].model;
  const PlayedEngine::Work work = workOf(caller);
  const uint64_t memory =
      model.heldTokens() + model.addedTokens(work) + static_cast<uint64_t>(work.answerTokens);
  return model.present() < kEngineRoom.places / 2 && memory <= kEngineRoom.memoryTokens / 2 &&
         model.readingWait(now_) <= maxQueueWait(arrivals_[caller.kind].kind.target) / 2;
}

void LoadPlay::refuse(Caller caller, const Home& home, Duration returnAfter,
                      const std::vector<size_t>& homes) {
  const bool isInVain = hasAmpleRoom(homes[0], caller) || hasAmpleRoom(home.engine, caller);
  count(caller, [&](Served& served) {
    ++served.refused;
    served.refusedInVain += isInVain ? 1 : 0;
  });
  if (caller.isRetry) {
    return;
  }
  caller.isRetry = true;
  caller.hasReservation = home.returnAfter > Duration(0) && returnAfter >= home.returnAfter;
  const Duration wait = std::min(returnAfter, (caller.deadline - now_) / kMaxReturnDivisor);
  retries_.emplace(now_ + wait, caller);
}

void LoadPlay::serve(const Caller& caller, const Home& home) {
  const uint32_t id = home.answer.ticket.id;
  const EngineDemand demand = demandOf(caller);
  PlayedEngine::Work work = workOf(caller);
  work.id = id;
  open_[id] = Open{caller, home.engine, PendingRequest{kNode, id, demand},
                   now_ + demand.forgetAfter, false};
  engines_[home.engine].model.send(work, now_);
}

uint64_t LoadPlay::mostHeldTokens() const {
  uint64_t most = 0;
  for (const Engine& engine : engines_) {
    most = std::max(most, engine.model.mostHeldTokens());
  }
  return most;
}

RoomRefusals LoadPlay::refusals() const {
  RoomRefusals sum;
  for (const Engine& engine : engines_) {
    const RoomRefusals each = engine.owner->refusals();
    sum.places += each.places;
    sum.memory += each.memory;
    sum.reading += each.reading;
    sum.share += each.share;
    sum.urgency += each.urgency;
  }
  return sum;
}

ReturnCounts LoadPlay::returns() const {
  ReturnCounts sum = formerReturns_;
  for (const Engine& engine : engines_) {
    sum += engine.owner->returns();
  }
  return sum;
}

}  // namespace fernmoor::gateway
