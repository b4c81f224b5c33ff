/// @file
/// The application engine's stand-in: runs lookups, receipts and payments, and records every run,
/// also doubled ones, so that a test can count (docs/PROTOCOL-APPLICATION.md). Thread-safe.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <vector>

#include "common/ids.h"
#include "standin/fault_switch.h"
#include "standin/http_service.h"

namespace fernmoor::standin {

struct ApplicationServerOptions {
  EngineId id;
  Incarnation incarnation{1};
  SocketAddress listen{"127.0.0.1", 0};
  Duration workTime{20000};  ///< Of one operation.
  int64_t maxRunning = 64;   ///< Operations at once; more are refused before they start.
};

/// One operation as it ran. Written before the work starts.
struct ApplicationRun {
  AttemptId attempt;
  RequestId request;
  TenantId tenant;
  std::string key;  ///< Idempotency-Key; empty where none was sent.
  std::string operation;
  Incarnation incarnation;
  bool completed = false;
};

class ApplicationServer {
 public:
  explicit ApplicationServer(ApplicationServerOptions options);
  ~ApplicationServer();
  ApplicationServer(const ApplicationServer&) = delete;
  ApplicationServer& operator=(const ApplicationServer&) = delete;

  Result<Done> start();
  void stop();
  uint16_t port() const { return service_.port(); }
  /// @return true while any request is being served.
  bool busy() const { return service_.requestsInFlight() > 0; }
  /// @return all runs in the order in which they started; for tests in the same process.
  std::vector<ApplicationRun> runs() const;
  Incarnation incarnation() const;

 private:
  void handle(HttpExchange& exchange);
  void run(HttpExchange& exchange);
  std::optional<Error> reasonToRefuse(const HttpExchange& exchange);
  bool work(size_t run, Duration duration);
  void reportState(HttpExchange& exchange);
  void reportRuns(HttpExchange& exchange);
  void takeFault(HttpExchange& exchange);

  ApplicationServerOptions options_;
  SystemClock clock_;
  HttpService service_;
  FaultSwitch faults_;
  mutable std::mutex mutex_;  ///< Guards what follows.
  std::condition_variable changed_;
  Incarnation incarnation_;
  int64_t running_ = 0;
  bool stopping_ = false;
  std::vector<ApplicationRun> runs_;
};

}  // namespace fernmoor::standin
