#include "gateway/part_source.h"

#include <algorithm>

#include "common/rendezvous.h"

namespace fernmoor::gateway {

namespace {

/// How long a part counts as kept by the store after it was sent there.
constexpr Duration kStoredMemory{20000000};
/// How long an engine is asked for a part that it has read and the store does not hold.
constexpr Duration kReadMemory{10000000};
/// The same where the store holds the part too. Busy engines turn their memory over within some
/// seconds, and a source that has dropped the part costs a whole reading, while the store costs
/// some ten milliseconds more than an engine: of 1,478 k tokens read again in a day, 923 k were
/// asked of an engine that had dropped them (docs/DECISIONS.md, round 1).
constexpr Duration kReadMemoryBesideStore{1000000};

bool isStored(const PartHint& hint, Time now) {
  return hint.isStored && now - hint.storedAt <= kStoredMemory;
}

}  // namespace

std::optional<SocketAddress> storeOf(uint64_t prompt, const std::vector<CacheStore>& stores) {
  const std::vector<CacheStore> keeper = rendezvousTop(
      prompt, stores, 1,
      [](const CacheStore& store) { return stableHash(formatSocketAddress(store.address)); });
  return keeper.empty() ? std::nullopt : std::optional<SocketAddress>(keeper.front().address);
}

PartTransfer planTransfer(const std::vector<PartHint>& hints, const PartHolders& holders,
                          bool isStoreSlow, Time now) {
  PartTransfer transfer;
  transfer.fetchFrom = holders.store;
  // Saving sends all that is read, the request's own part included, so only requests with a part
  // that the store does not hold ask for it.
  const bool allStored = std::all_of(hints.begin(), hints.end(),
                                     [&](const PartHint& hint) { return isStored(hint, now); });
  if (!allStored) {
    transfer.saveTo = holders.store;
  }
  const PartHint& longest = hints.back();
  const bool storeHolds = holders.store && isStored(longest, now);
  const Duration readAge = now - longest.readAt;
  const Duration trusted = storeHolds && !isStoreSlow ? kReadMemoryBesideStore : kReadMemory;
  if (holders.engine && readAge <= trusted) {
    transfer.fetchFrom = holders.engine;
    transfer.source =
        readAge <= kReadMemoryBesideStore ? PartSource::kEngine : PartSource::kUncertain;
  } else if (storeHolds) {
    transfer.source = PartSource::kStore;
  }
  return transfer;
}

}  // namespace fernmoor::gateway
