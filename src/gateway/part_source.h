/// @file
/// Where the engine that serves a request is to take the shared parts of its prompt from, and
/// whether it is to leave them in the store.
#pragma once

#include <optional>
#include <vector>

#include "common/socket_address.h"
#include "common/time.h"
#include "gateway/part_memory.h"

namespace fernmoor::gateway {

/// Who could hand over parts.
struct PartHolders {
  std::optional<SocketAddress> store;   ///< The store of cached parts, where there is one.
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

/// @param hints of the request's shared parts, the longest prefix last; not empty.
/// @param isStoreSlow whether engines are asked first for what both may hold.
PartTransfer planTransfer(const std::vector<PartHint>& hints, const PartHolders& holders,
                          bool isStoreSlow, Time now);

}  // namespace fernmoor::gateway
