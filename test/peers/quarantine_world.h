/// @file
/// Test fixture with several nodes that detect requests which crash engines.
#pragma once

#include <utility>
#include <vector>

#include "peers/quarantine_directory.h"
#include "test/peers/directory_world.h"

namespace fernmoor::peers::test {

/// Each node has a table of its own, which a restart empties.
struct WithTable {
  std::unique_ptr<QuarantineDirectory> operator()(NodeId node, const Clock& clock,
                                                  MessageSender& sender) {
    auto& table = tables[node];
    table = std::make_unique<quarantine::QuarantineTable>();
    return std::make_unique<QuarantineDirectory>(node, clock, sender, *table);
  }
  std::map<NodeId, std::unique_ptr<quarantine::QuarantineTable>> tables;
};

class QuarantineWorld : public DirectoryWorld<QuarantineDirectory, WithTable> {
 public:
  using DirectoryWorld::DirectoryWorld;

  /// Crashes an engine now while it runs the given (node, request) pairs, which began `ran` ago.
  void crash(uint64_t engine, const std::vector<std::pair<uint64_t, uint64_t>>& requests,
             std::chrono::milliseconds ran = std::chrono::milliseconds(100)) {
    for (const auto& [nodeId, fingerprint] : requests) {
      node(nodeId).noteCrash(fingerprint,
                             quarantine::CrashedRun{engine, clock.now() - ran, clock.now()});
    }
  }
  void pass(std::chrono::milliseconds time) {
    for (auto left = time; left.count() > 0; left -= std::chrono::milliseconds(50)) {
      clock.advanceTo(clock.now() + std::chrono::milliseconds(50));
      for (uint64_t id = 1; id <= size(); ++id) {
        node(id).onTick(clock.now(), sender(NodeId(id)));
      }
    }
  }
  /// @return number of nodes that have quarantined the request.
  size_t quarantinedAt(uint64_t fingerprint) {
    size_t count = 0;
    for (uint64_t id = 1; id <= size(); ++id) {
      count += node(id).timeLeft(fingerprint) ? 1 : 0;
    }
    return count;
  }
};

}  // namespace fernmoor::peers::test
