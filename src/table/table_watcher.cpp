#include "table/table_watcher.h"

#include <algorithm>

#include "table/platform_table.h"

namespace fernmoor {

TableWatcher::TableWatcher(ObjectStoreClient& platform, TableRole& role, const Table& table,
                           const Clock& clock, MessageSender& sender, const Knobs& knobs,
                           uint64_t seed)
    : platform_(platform),
      role_(role),
      table_(table),
      clock_(clock),
      sender_(sender),
      knobs_(knobs),
      random_(seed),
      pause_(knobs.platformRetryMinimum) {}

Duration TableWatcher::runOnce() {
  const PlatformNeed need = role_.platformNeed(clock_.now());
  if (need == PlatformNeed::kNothing) {
    return knobs_.tableMembersRefresh;
  }
  const Time begin = clock_.now();
  const TableVersion former = table_.version();
  lastError_ = need == PlatformNeed::kSnapshot ? readSnapshot() : readChanges();
  if (lastError_) {
    return pauseAfterFailure();
  }
  pause_ = knobs_.platformRetryMinimum;
  const bool waited = clock_.now() - begin >= knobs_.platformWatchWait / 2;
  // A platform that answers at once though nothing changed must not be asked in a tight loop.
  return waited || table_.version() > former ? Duration(0) : knobs_.platformRetryMinimum;
}

std::optional<Error> TableWatcher::readChanges() {
  const CollectionRevision after(table_.version().value());
  const auto batch = platform_.watch(tableCollection(), after, knobs_.platformWatchWait);
  if (!isOk(batch)) {
    return errorOf(batch);
  }
  role_.onPlatformChanges(valueOf(batch), clock_.now(), sender_);
  return std::nullopt;
}

std::optional<Error> TableWatcher::readSnapshot() {
  const auto collection = platform_.list(tableCollection());
  if (!isOk(collection)) {
    return errorOf(collection);
  }
  role_.onPlatformSnapshot(valueOf(collection), clock_.now(), sender_);
  return std::nullopt;
}

Duration TableWatcher::pauseAfterFailure() {
  const Duration pause = random_.between(pause_ / 2, pause_);
  pause_ = std::min(pause_ * 2, knobs_.platformRetryMaximum);
  return pause;
}

}  // namespace fernmoor
