#include "node/engine_monitor.h"

#include <set>

namespace fernmoor {

EngineMonitor::EngineMonitor(EngineClient& client, EngineDirectory& directory, OwnedEngines& owned,
                             const Clock& clock, const Knobs& knobs)
    : client_(client), directory_(directory), owned_(owned), clock_(clock), knobs_(knobs) {}

EngineMonitor::~EngineMonitor() {
  stop();
}

void EngineMonitor::follow(const std::vector<EngineState>& engines) {
  std::vector<std::unique_ptr<Follower>> ended;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::set<EngineId> wanted;
    for (const EngineState& engine : engines) {
      wanted.insert(engine.id);
      if (followers_.count(engine.id) == 0) {
        auto follower = std::make_unique<Follower>();
        Follower& started = *follower;
        started.thread = std::thread([this, &started, engine] { run(started, engine); });
        followers_[engine.id] = std::move(follower);
      }
    }
    for (auto entry = followers_.begin(); entry != followers_.end();) {
      if (wanted.count(entry->first) > 0) {
        ++entry;
        continue;
      }
      entry->second->stopping = true;
      owned_.drop(entry->first);
      ended.push_back(std::move(entry->second));
      entry = followers_.erase(entry);
    }
  }
  for (const auto& follower : ended) {
    follower->thread.join();
  }
}

void EngineMonitor::stop() {
  follow({});
}

void EngineMonitor::run(const Follower& follower, EngineState known) {
  while (!follower.stopping) {
    if (!followOnce(known)) {
      std::this_thread::sleep_for(knobs_.engineStateInterval);
    }
  }
}

bool EngineMonitor::followOnce(EngineState& known) {
  const Result<EngineState> state = client_.state(known, clock_.now());
  if (!isOk(state)) {
    return false;
  }
  known = valueOf(state);
  directory_.update(known, clock_.now());
  owned_.update(known, clock_.now());
  const uint64_t after = owned_.sequence(known.id);
  const Result<CacheEventBatch> events =
      client_.events(known.address, known.incarnation, after, knobs_.engineStateInterval);
  if (!isOk(events)) {
    return false;
  }
  owned_.apply(known.id, valueOf(events), clock_.now());
  return true;
}

}  // namespace fernmoor
