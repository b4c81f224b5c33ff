#include "node/housekeeping.h"

#include <set>
#include <utility>

#include "admission/pool_capacity.h"
#include "membership/member_counts.h"

namespace fernmoor {

Housekeeping::Housekeeping(ControlPlane& control, EngineDirectory& engines, EngineMonitor& monitor,
                           EngineKnowledge& knowledge, RequestGate& gate, Metrics& metrics,
                           const Table& table, const Clock& clock, const Knobs& knobs)
    : control_(control),
      engines_(engines),
      monitor_(monitor),
      knowledge_(knowledge),
      gate_(gate),
      metrics_(metrics),
      table_(table),
      clock_(clock),
      knobs_(knobs),
      ratesAt_(clock.now()) {}

void Housekeeping::runOnce(int64_t openRequests) {
  followDuties();
  tellCapacity();
  gate_.tick();
  knowledge_.expire(clock_.now());
  measureNode(openRequests);
  measureControl();
  measureRates();
}

std::vector<ClassRates> Housekeeping::latestRates() const {
  const std::lock_guard<std::mutex> lock(ratesMutex_);
  return latestRates_;
}

void Housekeeping::followDuties() {
  std::vector<EngineState> followed;
  for (const EngineId& engine :
       control_.roles().ownership().enginesWithDuty(OwnershipDuty::kOwner)) {
    const auto state = engines_.find(engine, clock_.now());
    if (state) {
      followed.push_back(*state);
    }
  }
  monitor_.follow(followed);
}

void Housekeeping::tellCapacity() {
  const Time now = clock_.now();
  std::set<ModelId> models;
  for (const EngineState& engine : engines_.all(now)) {
    models.insert(engine.model);
  }
  for (const ModelId& model : models) {
    tellCapacity(model, now);
  }
}

void Housekeeping::tellCapacity(const ModelId& model, Time now) {
  const std::vector<EngineState> live = engines_.candidates(model, AdapterId(), now);
  const std::vector<PlacedLoad> placed = knowledge_.placedLoads(live);
  std::vector<EngineCandidate> candidates(live.size());
  for (size_t i = 0; i < live.size(); ++i) {
    candidates[i].engine = live[i];
    candidates[i].placedPrefillTokens = placed[i].prefillTokens;
    candidates[i].placedStreams = placed[i].streams;
  }
  const auto nodes = static_cast<int64_t>(control_.roles().membership().snapshot()->members.size());
  gate_.setCapacity(PoolId(model.value()), freePlaces(candidates, nodes, now, knobs_));
}

void Housekeeping::measureNode(int64_t openRequests) {
  metrics_.setTableVersion(table_.version());
  metrics_.setPlatformAvailable(control_.platformAvailable());
  metrics_.setOpenStreams(openRequests);
  metrics_.setShortLimits(control_.roles().limits().shortCount());
  metrics_.setMembers(countMembers(*control_.roles().membership().snapshot()));
}

void Housekeeping::measureControl() {
  const uint64_t sent = control_.transportCounters().bytesSent;
  const uint64_t received = control_.transportCounters().bytesReceived;
  metrics_.countControlSent(sent - std::exchange(countedSent_, sent));
  metrics_.countControlReceived(received - std::exchange(countedReceived_, received));
}

void Housekeeping::measureRates() {
  const Time now = clock_.now();
  if (now - ratesAt_ < kRateInterval) {
    return;
  }
  std::vector<ClassTotals> totals = metrics_.classTotals();
  std::vector<ClassRates> rates = ratesBetween(lastTotals_, totals, now - ratesAt_);
  lastTotals_ = std::move(totals);
  ratesAt_ = now;
  const std::lock_guard<std::mutex> lock(ratesMutex_);
  latestRates_ = std::move(rates);
}

}  // namespace fernmoor
