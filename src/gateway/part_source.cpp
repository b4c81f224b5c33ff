#include "gateway/part_source.h"

#include <algorithm>

#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

/// A part is assumed to be in the store for this long after it was sent there.
constexpr Duration kStoredLifetime{20000000};
/// A part that is not in the store is fetched from the engine that read it for this long.
constexpr Duration kEngineCopyLifetime{10000000};
/// The same for a part that is also in the store. Busy engines evict parts within some seconds. A
/// source that has evicted the part costs reading all of it again, while the store is only some
/// 10 ms slower than an engine: of 1,478 k tokens recomputed in a day, 923 k had been requested
/// from an engine that had evicted them (docs/DECISIONS.md, round 1).
constexpr Duration kEngineCopyLifetimeWithStore{1000000};

bool isStored(const PartHint& hint, Time now) {
  return hint.isStored && now - hint.storedAt <= kStoredLifetime;
}

}  // namespace

std::optional<SocketAddress> storeOf(uint64_t prompt, const std::vector<CacheStore>& stores) {
  const std::vector<CacheStore> owner = rendezvousTop(
      prompt, stores, 1,
      [](const CacheStore& store) { return stableHash(formatSocketAddress(store.address)); });
  return owner.empty() ? std::nullopt : std::optional<SocketAddress>(owner.front().address);
}

PartTransfer planTransfer(const std::vector<PartHint>& hints, const PartHolders& holders,
                          bool isStoreSlow, Time now) {
  PartTransfer transfer;
  transfer.fetchFrom = holders.store;
  // Saving transfers everything that is read, including the request's own part, so it is requested
  // only if the store lacks a shared part.
  const bool allStored = std::all_of(hints.begin(), hints.end(),
                                     [&](const PartHint& hint) { return isStored(hint, now); });
  if (!allStored) {
    transfer.saveTo = holders.store;
  }
  const PartHint& longest = hints.back();
  const bool storeHolds = holders.store && isStored(longest, now);
  const Duration readAge = now - longest.readAt;
  const Duration trusted =
      storeHolds && !isStoreSlow ? kEngineCopyLifetimeWithStore : kEngineCopyLifetime;
  if (holders.engine && readAge <= trusted) {
    transfer.fetchFrom = holders.engine;
    transfer.source =
        readAge <= kEngineCopyLifetimeWithStore ? PartSource::kEngine : PartSource::kUncertain;
  } else if (storeHolds) {
    transfer.source = PartSource::kStore;
  }
  return transfer;
}

}  // namespace fernmoor::gateway
