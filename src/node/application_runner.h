/// @file
/// Runs one request on application engines: chooses them, and tries another one only where that is
/// safe.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "http/http_client.h"
#include "node/application_directory.h"
#include "node/request_gate.h"
#include "relay/request_record.h"

namespace fernmoor {

struct ApplicationRequest {
  RequestId id;
  TenantId tenant;
  ServiceId operation;
  std::string body;
  std::string idempotencyKey;  ///< Empty: none.
  bool repeatable = true;
  Time deadline;
};

struct ApplicationAnswer {
  int status = 0;
  std::string body;
  ApplicationId engine;
};

/// Thread-safe.
class ApplicationRunner {
 public:
  ApplicationRunner(HttpClient& http, ApplicationDirectory& engines, RequestGate& gate,
                    const Clock& clock)
      : http_(http), engines_(engines), gate_(gate), clock_(clock) {}

  /// Runs the request to an answer. A request that may not be repeated goes to a second engine
  /// only where the first certainly did not run it.
  /// @param record gets one entry for each attempt.
  /// @return the answer, or an error whose runState is certain: kNotRun only where no engine ran
  /// it.
  Result<ApplicationAnswer> run(const ApplicationRequest& request, RequestRecord& record);

 private:
  Result<ApplicationAnswer> runOn(const ApplicationEngine& engine,
                                  const ApplicationRequest& request, const AttemptId& attempt);

  HttpClient& http_;
  ApplicationDirectory& engines_;
  RequestGate& gate_;
  const Clock& clock_;
};

}  // namespace fernmoor
