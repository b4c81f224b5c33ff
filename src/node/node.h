/// @file
/// One router process: composes the roles, the transport, the request plane and the threads.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "common/metrics.h"
#include "engine/engine_client.h"
#include "engine/engine_directory.h"
#include "http/http_client.h"
#include "node/application_directory.h"
#include "node/application_runner.h"
#include "node/control_plane.h"
#include "node/engine_knowledge.h"
#include "node/engine_monitor.h"
#include "node/housekeeping.h"
#include "node/http_front.h"
#include "node/key_ring.h"
#include "node/node_services.h"
#include "node/operator_api.h"
#include "node/request_gate.h"
#include "node/request_ids.h"
#include "node/request_measures.h"
#include "node/stream_token.h"
#include "objectstore/object_store_client.h"
#include "relay/request_log.h"
#include "settings/settings.h"
#include "table/table.h"

namespace fernmoor {

class Node {
 public:
  /// Binds all ports. Throws Poco::Net::NetException where one is in use.
  explicit Node(Settings settings);
  ~Node();

  void start();
  /// Takes no new work, lets running requests end, then stops all threads.
  /// @param patience longest wait for running requests.
  void drainAndStop(Duration patience);
  /// Blocks until an operator ordered this node to drain, or stopWaiting() was called.
  void waitForDrainOrder();
  /// Ends waitForDrainOrder(). Safe to call from any thread.
  void stopWaiting();

 private:
  void takeMachines(const std::vector<Machine>& machines);
  void runHousekeeping();
  void stopIfSuperseded();
  void orderDrain();

  const Settings settings_;
  SystemClock clock_;
  const NodeLife self_;
  KeyRing keys_;
  Table table_;
  HttpClient http_;
  EngineClient engineClient_;
  EngineDirectory engines_;
  OwnedEngines owned_;
  StreamTokenSealer streamTokens_;
  RequestIds requestIds_;
  RequestLog requestLog_;
  std::unique_ptr<RoutingPolicy> policy_;
  std::unique_ptr<ObjectStoreClient> platform_;
  ControlPlane control_;
  EngineKnowledge knowledge_;
  ApplicationDirectory applications_;
  RequestGate gate_;
  ApplicationRunner applicationRunner_;
  Metrics metrics_;
  RequestMeasures measures_;
  std::unique_ptr<NodeServices> services_;
  std::unique_ptr<OperatorServices> operators_;
  std::unique_ptr<HttpFront> front_;
  EngineMonitor monitor_;
  Housekeeping housekeeping_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> drained_{false};  ///< drainAndStop() was called.
  std::atomic<bool> draining_{false};
  std::mutex drainMutex_;
  std::condition_variable drainOrdered_;
  bool drainWanted_ = false;  ///< Guarded by drainMutex_.
  std::thread housekeepingThread_;
};

}  // namespace fernmoor
