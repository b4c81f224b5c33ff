/// @file
/// Where the engine that serves a request is to take the shared parts of its prompt from, and
/// whether it is to leave them in the store.
#pragma once

#include <optional>
#include <vector>

#include "common/socket_address.h"
#include "common/time.h"
#include "gateway/part_memory.h"
#include "gateway/traffic_table.h"

namespace fernmoor::gateway {

/// Who could hand over parts.
struct PartHolders {
  std::optional<SocketAddress> store;   ///< The store that keeps the prompt, where there is one.
  std::optional<SocketAddress> engine;  ///< The engine that the longest part's hint names, if it
                                        ///< is another than the one that serves and holds the same
                                        ///< weights.
};

/// Where the longest part most likely comes from, as far as that is known before it does.
enum class PartSource {
  kUncertain,  ///< It may have to be read.
  kStore,
  kEngine,  ///< One that read it a moment ago.
};

/// What the engine that serves is told.
struct PartTransfer {
  std::optional<SocketAddress> fetchFrom;  ///< Where cached parts may be taken from.
  std::optional<SocketAddress> saveTo;     ///< Where parts that are read anew are kept.
  PartSource source = PartSource::kUncertain;
};

/// Shares prompts out among the stores of a deployment: each has memory and a link of its own. An
/// engine takes what it lacks of a prompt from one address, so a store keeps whole prompts, and a
/// beginning that many prompts share is read once for each store.
/// @param prompt names the prompt on every node alike, e.g. by its longest shared part.
/// @return the store that keeps it, nothing where there is none. A store that comes or goes moves
///         only the prompts that it keeps.
std::optional<SocketAddress> storeOf(uint64_t prompt, const std::vector<CacheStore>& stores);

/// @param hints of the request's shared parts, the longest prefix last; not empty.
/// @param isStoreSlow whether engines are asked first for what both may hold.
PartTransfer planTransfer(const std::vector<PartHint>& hints, const PartHolders& holders,
                          bool isStoreSlow, Time now);

}  // namespace fernmoor::gateway
