/// @file
/// Addresses of nodes, kept in the operators' store so that nodes find each other when every seed
/// that they were started with is stale or down.
#pragma once

#include <cstdint>
#include <vector>

#include "common/error.h"
#include "common/socket_address.h"

namespace fernmoor::peers {

/// One node in the registry.
struct RegisteredNode {
  SocketAddress address;  ///< For messages between nodes.
  /// Rises each time that the node writes its own entry, which is a sign of life. 0: only other
  /// nodes have written the entry.
  uint64_t stamp = 0;
  size_t members = 1;  ///< Live nodes, itself included, that it knew when it wrote the entry.
  /// Names the group of nodes that it knew; two nodes that know the same members name it alike.
  uint32_t group = 0;
};

/// The registry as of one revision of the store.
struct NodeRegistry {
  std::vector<RegisteredNode> nodes;
  uint64_t revision = 0;  ///< 0: the store holds no registry.
};

/// Access to the registry in the store. Calls block until the store responds or a time-out passes.
class NodeRegistryStore {
 public:
  virtual ~NodeRegistryStore() = default;
  virtual Result<NodeRegistry> read() = 0;
  /// Writes the registry if the store still holds the revision that it names.
  /// @return kConflict if another node wrote in between.
  virtual Result<Done> write(const NodeRegistry& registry) = 0;
};

}  // namespace fernmoor::peers
