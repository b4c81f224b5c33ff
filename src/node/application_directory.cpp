#include "node/application_directory.h"

#include <algorithm>
#include <tuple>

namespace fernmoor {

void ApplicationDirectory::setMachines(const std::vector<Machine>& machines) {
  const RankedLock lock(mutex_);
  for (auto& [id, entry] : entries_) {
    entry.listed = false;
  }
  for (const Machine& machine : machines) {
    if (machine.kind != MachineKind::kApplication || machine.status == MachineStatus::kLeaving) {
      continue;
    }
    Entry& entry = entries_[ApplicationId(machine.name)];
    entry.engine = ApplicationEngine{ApplicationId(machine.name), machine.address, machine.zone};
    entry.listed = true;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const bool gone = !entry->second.listed && entry->second.running == 0;
    entry = gone ? entries_.erase(entry) : std::next(entry);
  }
}

bool ApplicationDirectory::Rank::operator<(const Rank& other) const {
  return std::tie(paused, remote, running) < std::tie(other.paused, other.remote, other.running);
}

ApplicationDirectory::Rank ApplicationDirectory::rankOf(const Entry& entry, Time now) const {
  return Rank{now < entry.pausedUntil, entry.engine.zone != ownZone_, entry.running};
}

std::optional<ApplicationEngine> ApplicationDirectory::choose(
    const std::vector<ApplicationId>& tried, Time now) {
  const RankedLock lock(mutex_);
  Entry* best = nullptr;
  for (auto& [id, entry] : entries_) {
    const bool wasTried = std::find(tried.begin(), tried.end(), id) != tried.end();
    if (!entry.listed || wasTried) {
      continue;
    }
    if (best == nullptr || rankOf(entry, now) < rankOf(*best, now)) {
      best = &entry;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best->running;
  return best->engine;
}

void ApplicationDirectory::ended(const ApplicationId& engine) {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found != entries_.end()) {
    --found->second.running;
  }
}

void ApplicationDirectory::reportFailure(const ApplicationId& engine, Time now) {
  const RankedLock lock(mutex_);
  const auto found = entries_.find(engine);
  if (found != entries_.end()) {
    found->second.pausedUntil = now + knobs_.engineFirstPause;
  }
}

}  // namespace fernmoor
