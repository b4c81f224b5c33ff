#include "node/engine_knowledge.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace fernmoor {

namespace {

EngineLife lifeOf(const EngineState& engine) {
  return EngineLife{engine.id, engine.incarnation};
}

EngineLife lifeOf(const Placement& placement) {
  return EngineLife{placement.engine, placement.incarnation};
}

/// Shared with the completion handler, which may run after the wait was given up.
struct Completion {
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
};

}  // namespace

EngineKnowledge::EngineKnowledge(ProbeRole& probes, OwnedEngines& owned, MessageSender& sender,
                                 const Knobs& knobs)
    : probes_(probes), owned_(owned), sender_(sender), knobs_(knobs), memory_(knobs) {}

std::vector<ProbeResult> EngineKnowledge::ask(const BlockChain& chain,
                                              const std::vector<EngineLife>& lives, Time now) {
  const std::shared_ptr<ProbeWaiter> waiter = probes_.ask(chain, lives, now, sender_);
  if (waiter->isComplete()) {
    return waiter->results();
  }
  const auto completion = std::make_shared<Completion>();
  waiter->onComplete([completion] {
    const std::lock_guard<std::mutex> lock(completion->mutex);
    completion->done = true;
    completion->changed.notify_all();
  });
  std::unique_lock<std::mutex> lock(completion->mutex);
  completion->changed.wait_for(lock, knobs_.probeTimeout, [&] { return completion->done; });
  lock.unlock();
  return waiter->results();
}

std::vector<EngineFacts> EngineKnowledge::lookUp(const BlockChain& chain,
                                                 const std::vector<EngineState>& engines,
                                                 Time now) {
  std::vector<EngineLife> lives;
  lives.reserve(engines.size());
  for (const EngineState& engine : engines) {
    lives.push_back(lifeOf(engine));
  }
  const std::vector<ProbeResult> answers = ask(chain, lives, now);
  std::vector<EngineFacts> facts(engines.size());
  const RankedLock lock(mutex_);
  for (size_t i = 0; i < engines.size(); ++i) {
    const int64_t expected = memory_.expectedBlocks(lives[i], chain, now);
    facts[i].matchedBlocks = std::max(answers[i].matchedBlocks, expected);
    facts[i].matchKnown = answers[i].known;
    facts[i].placed = memory_.loadAddedSince(lives[i], engines[i].load);
  }
  return facts;
}

std::vector<PlacedLoad> EngineKnowledge::placedLoads(
    const std::vector<EngineState>& engines) const {
  std::vector<PlacedLoad> loads;
  loads.reserve(engines.size());
  const RankedLock lock(mutex_);
  for (const EngineState& engine : engines) {
    loads.push_back(memory_.loadAddedSince(lifeOf(engine), engine.load));
  }
  return loads;
}

void EngineKnowledge::recordSent(const Placement& placement, const BlockChain& chain,
                                 int64_t uncachedTokens, Time now) {
  const RankedLock lock(mutex_);
  memory_.recordSent(lifeOf(placement), chain, uncachedTokens, now);
}

void EngineKnowledge::recordEnded(const Placement& placement, Time now) {
  const RankedLock lock(mutex_);
  memory_.recordEnded(lifeOf(placement), now);
}

void EngineKnowledge::confirm(const Placement& placement, const BlockChain& chain,
                              int64_t matchedBlocks) {
  owned_.confirm(placement.engine, placement.incarnation, chain, matchedBlocks);
}

void EngineKnowledge::expire(Time now) {
  owned_.expire(now);
  const RankedLock lock(mutex_);
  memory_.expire(now);
}

}  // namespace fernmoor
