/// @file
/// Decides where the engine that serves a request fetches the shared parts of its prompt from, and
/// whether it saves them to the store.
#pragma once

#include <optional>
#include <vector>

#include "common/socket_address.h"
#include "common/time.h"
#include "gateway/part_memory.h"
#include "gateway/traffic_table.h"

namespace fernmoor::gateway {

/// Possible sources of the parts.
struct PartHolders {
  std::optional<SocketAddress> store;   ///< The store that owns the prompt, if there is one.
  std::optional<SocketAddress> engine;  ///< The engine in the longest part's hint, if it is not the
                                        ///< serving engine and has the same weights.
};

/// Expected source of the longest part.
enum class PartSource {
  kUncertain,  ///< The part may have to be recomputed.
  kStore,
  kEngine,  ///< An engine that read it within the last second.
};

/// Transfer instructions for the serving engine.
struct PartTransfer {
  std::optional<SocketAddress> fetchFrom;  ///< Where to fetch cached parts.
  std::optional<SocketAddress> saveTo;     ///< Where to save newly read parts.
  PartSource source = PartSource::kUncertain;
};

/// Distributes prompts over the stores of a deployment, each of which has its own memory and link.
/// An engine fetches the missing parts of a prompt from one address, so a store keeps whole
/// prompts, and a prefix shared by many prompts is read once for each store.
/// @param prompt identifies the prompt equally on all nodes, e.g. by its longest shared part.
/// @return the store that owns the prompt; nothing if there are no stores. Adding or removing a
///         store moves only the prompts that this store owns.
std::optional<SocketAddress> storeOf(uint64_t prompt, const std::vector<CacheStore>& stores);

/// @param hints one for each shared part of the request, the longest prefix last; not empty.
/// @param isStoreSlow whether an engine is preferred for parts that the store has too.
PartTransfer planTransfer(const std::vector<PartHint>& hints, const PartHolders& holders,
                          bool isStoreSlow, Time now);

}  // namespace fernmoor::gateway
