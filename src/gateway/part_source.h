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

/// What the engine that serves is told.
struct PartTransfer {
  std::optional<SocketAddress> fetchFrom;
  std::optional<SocketAddress> saveTo;
};

/// @param hints of the request's shared parts, the longest prefix last; not empty.
PartTransfer planTransfer(const std::vector<PartHint>& hints, const PartHolders& holders, Time now);

}  // namespace fernmoor::gateway
