/// @file
/// The emulated engine behind HTTP (docs/PROTOCOL-ENGINE.md): runs the model by the real clock and
/// hands each frame to the connection that reads it. Thread-safe.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "standin/engine_messages.h"
#include "standin/engine_model.h"
#include "standin/engine_streams.h"
#include "standin/fault_switch.h"
#include "standin/http_service.h"

namespace fernmoor::standin {

struct EngineServerOptions {
  EngineOptions engine;
  SocketAddress listen{"127.0.0.1", 0};
  std::optional<SocketAddress> platform;  ///< Its weight store decides how long loading takes.
  Duration readerGrace{2000000};          ///< An attempt without a reader is cancelled after this.
  int warmThreads = HttpService::kFewestThreads;  ///< Connections that need not wait for a thread.
  double transferBlocksPerSecond = 20000;         ///< Of KV that is imported.
};

class EngineServer {
 public:
  explicit EngineServer(EngineServerOptions options);
  ~EngineServer();
  EngineServer(const EngineServer&) = delete;
  EngineServer& operator=(const EngineServer&) = delete;

  Result<Done> start();
  void stop();
  uint16_t port() const { return service_.port(); }
  /// @return true while any attempt runs or is being read.
  bool busy() const;
  /// @return attempts recorded, however they ended; for tests in the same process.
  std::vector<EngineRun> runs() const;
  Incarnation incarnation() const;

 private:
  void handle(HttpExchange& exchange);
  void generate(HttpExchange& exchange);
  void resume(HttpExchange& exchange);
  void cancel(HttpExchange& exchange);
  void reportState(HttpExchange& exchange);
  void reportEvents(HttpExchange& exchange);
  void exportBlocks(HttpExchange& exchange);
  void importBlocks(HttpExchange& exchange);
  void saveBlocks(HttpExchange& exchange);
  void takeOrder(HttpExchange& exchange);
  void reportRuns(HttpExchange& exchange);
  void takeFault(HttpExchange& exchange);

  void sendStream(HttpExchange& exchange, const EngineStreams::Reader& reader);
  void runModel();
  std::optional<Time> nextWakeUp() const;
  Time advanceModel();
  void loadWeights(const EngineOrder& order, uint64_t load);

  EngineServerOptions options_;
  SystemClock clock_;
  HttpService service_;
  mutable std::mutex mutex_;  ///< Guards what follows.
  std::condition_variable modelChanged_;
  std::condition_variable eventsChanged_;
  EngineModel model_;
  EngineStreams streams_;
  bool stopping_ = false;
  uint64_t lastEventSequence_ = 0;
  std::vector<std::thread> loaders_;  ///< One for each order that the weight store serves.
  std::thread modelThread_;
};

}  // namespace fernmoor::standin
