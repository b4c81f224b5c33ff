/// @file
/// The platform's stand-in: objects with versions and watches, the lagging list of machines, and
/// the rate-limited weight store (docs/PROTOCOL-PLATFORM.md). Thread-safe.
#pragma once

#include <condition_variable>
#include <mutex>

#include "standin/fault_switch.h"
#include "standin/http_service.h"
#include "standin/machine_list.h"
#include "standin/object_service.h"
#include "standin/weight_store.h"

namespace fernmoor::standin {

struct PlatformServerOptions {
  SocketAddress listen{"127.0.0.1", 0};
  Duration machineLag{500000};
  WeightStoreOptions weights;
  size_t keptChanges = 10000;
  int64_t watchesPerCollection = 16;
};

class PlatformServer {
 public:
  explicit PlatformServer(const PlatformServerOptions& options);
  ~PlatformServer();
  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  Result<Done> start();
  void stop();
  uint16_t port() const { return service_.port(); }

 private:
  void handle(HttpExchange& exchange);
  void listMachines(HttpExchange& exchange);
  void changeMachines(HttpExchange& exchange);
  void serveWeights(HttpExchange& exchange);
  void takeFault(HttpExchange& exchange);
  void waitFor(Duration duration);

  SystemClock clock_;
  HttpService service_;
  FaultSwitch faults_;
  ObjectService objects_;
  std::mutex mutex_;  ///< Guards what follows.
  std::condition_variable changed_;
  MachineList machines_;
  WeightStore weights_;
  bool stopping_ = false;
};

}  // namespace fernmoor::standin
