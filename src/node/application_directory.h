/// @file
/// The application engines that this node knows of, and which of them to use next.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/ids.h"
#include "common/knobs.h"
#include "common/lock_order.h"
#include "objectstore/object_store_client.h"

namespace fernmoor {

using ApplicationId = NamedId<struct ApplicationIdTag>;

struct ApplicationEngine {
  ApplicationId id;
  SocketAddress address;
  ZoneId zone;
};

/// Thread-safe.
class ApplicationDirectory {
 public:
  ApplicationDirectory(ZoneId ownZone, const Knobs& knobs)
      : ownZone_(std::move(ownZone)), knobs_(knobs) {}

  /// Takes the platform's list; leaving machines get no new work.
  void setMachines(const std::vector<Machine>& machines);
  /// Chooses the one with the fewest requests of this node, those of the own zone first, and counts
  /// the request there until ended() is called.
  /// @param tried engines that failed this request; never chosen again.
  std::optional<ApplicationEngine> choose(const std::vector<ApplicationId>& tried, Time now);
  void ended(const ApplicationId& engine);
  /// It refused a connection or broke one: others are preferred for a while.
  void reportFailure(const ApplicationId& engine, Time now);

 private:
  struct Entry {
    ApplicationEngine engine;
    int64_t running = 0;
    Time pausedUntil;
    bool listed = true;
  };

  /// Lower is better.
  struct Rank {
    bool paused;
    bool remote;
    int64_t running;
    bool operator<(const Rank& other) const;
  };
  Rank rankOf(const Entry& entry, Time now) const;

  const ZoneId ownZone_;
  const Knobs knobs_;
  RankedMutex mutex_{LockRank::kEngines};
  std::map<ApplicationId, Entry> entries_;
};

}  // namespace fernmoor
