/// @file
/// A hollow node: the daemon's roles without its sockets and threads, on the simulated network.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "common/random.h"
#include "common/role.h"
#include "sim/event_queue.h"
#include "sim/simulated_network.h"

namespace fernmoor::sim {

/// A role and the body case of the messages that it takes.
struct HostedRole {
  proto::Envelope::BodyCase bodyCase = proto::Envelope::BODY_NOT_SET;
  std::shared_ptr<Role> role;
};

/// Makes the roles of one life of a node.
using RoleFactory = std::function<std::vector<HostedRole>(NodeLife life, Time now)>;

/// Hosts roles, dispatches messages to them by body case, ticks them, and crashes, restarts and
/// freezes them. Not thread-safe. None of its methods may be called from within a role's call.
class SimulatedNode {
 public:
  static constexpr Duration kDefaultTickInterval = std::chrono::milliseconds(50);

  /// Adds the node to the network, not yet started.
  /// @param queue,network outlive the node.
  /// @param seed decides the phase of the ticks.
  SimulatedNode(const Placement& placement, EventQueue& queue, SimulatedNetwork& network,
                RoleFactory factory, uint64_t seed, Duration tickInterval = kDefaultTickInterval);
  ~SimulatedNode();
  SimulatedNode(const SimulatedNode&) = delete;
  SimulatedNode& operator=(const SimulatedNode&) = delete;

  /// Begins a new life, with a greater incarnation than any before; a running node is crashed
  /// first.
  void start();
  /// Ends the life without a word: the roles are destroyed, messages to the node are lost.
  void crash();
  /// Stops the node as SIGSTOP does: messages and one tick wait until thaw().
  void freeze();
  /// Continues a frozen node: it takes what waited, the tick before or after the messages.
  void thaw();

  bool isRunning() const { return running_; }
  bool isFrozen() const { return frozen_; }
  const Placement& placement() const { return placement_; }
  /// @return the present life, or the last one while the node is down.
  NodeLife life() const { return life_; }
  /// @return the node's endpoint, for tests that send in its name.
  MessageSender& sender() { return network_.senderOf(placement_.node); }

  /// @return the first role of the given type, or none while the node is down.
  template <class T>
  std::shared_ptr<T> role() const {
    for (const HostedRole& hosted : roles_) {
      if (auto found = std::dynamic_pointer_cast<T>(hosted.role)) {
        return found;
      }
    }
    return nullptr;
  }

 private:
  void dispatch(NodeLife from, const proto::Envelope& envelope);
  void scheduleTick(Duration delay);
  void tick();

  Placement placement_;
  EventQueue& queue_;
  SimulatedNetwork& network_;
  RoleFactory factory_;
  Random random_;
  Duration tickInterval_;
  NodeLife life_;
  bool running_ = false;
  bool frozen_ = false;
  bool tickWaits_ = false;
  std::vector<HostedRole> roles_;
  /// Expires with the life, so that its scheduled ticks do nothing afterwards.
  std::shared_ptr<int> lifeToken_;
};

}  // namespace fernmoor::sim
