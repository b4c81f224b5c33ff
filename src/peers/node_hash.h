/// @file
/// The hash by which duties are shared out among nodes (see common/rendezvous.h).
#pragma once

#include <cstdint>

#include "common/ids.h"

namespace fernmoor::peers {

/// @return a hash of the node's id, equal on every node.
inline uint64_t nodeHash(NodeId node) {
  return node.value() * 0x9E3779B97F4A7C15ULL;
}

}  // namespace fernmoor::peers
