/// @file
/// The threads and sockets around a node's roles: transport, ticks, and the readers of the
/// platform. No caller's request waits for any of them but for short questions to engines' owners.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "node/role_set.h"
#include "objectstore/object_store_client.h"
#include "settings/settings.h"
#include "table/table_watcher.h"
#include "wire/peer_transport.h"

namespace fernmoor {

class ControlPlane {
 public:
  /// Called with each machine list that differs from the one before, on any thread.
  using MachineListener = MachineListRole::Listener;

  /// @param platform null: run without one. All references outlive this object.
  ControlPlane(const Settings& settings, NodeLife self, const Clock& clock, Table& table,
               EngineDirectory& engines, OwnedEngines& owned, ObjectStoreClient* platform,
               MachineListener onMachines);
  ~ControlPlane();

  void start();
  /// Tells the others that this node takes no new work.
  void drain();
  /// Tells the others that this node stops, and ends all threads. Idempotent.
  void stop();

  RoleSet& roles() { return roles_; }
  MessageSender& sender() { return transport_; }
  const TransportCounters& transportCounters() const { return transport_.counters(); }
  /// @return whether the last call to the platform succeeded.
  bool platformAvailable() const { return platformAvailable_; }

 private:
  void runTicks();
  void runWatcher();
  void runPlatformReader();
  bool shouldReadMachines();
  void readMachines();
  void readClaimGroup();
  std::optional<SocketAddress> addressOf(NodeId node);

  const Settings settings_;
  const NodeLife self_;
  const Clock& clock_;
  Table& table_;
  ObjectStoreClient* platform_;
  RoleSet roles_;
  PeerTransport transport_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> platformAvailable_{false};
  Time startedAt_;
  std::vector<std::thread> threads_;
};

}  // namespace fernmoor
