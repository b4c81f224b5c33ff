/// @file
/// Interface of the request path to the quarantine of requests that crash the engines running them.
#pragma once

#include <cstdint>
#include <optional>

#include "common/time.h"
#include "quarantine/crash_evidence.h"

namespace fernmoor::gateway {

/// Thread-safe.
class RequestQuarantine {
 public:
  virtual ~RequestQuarantine() = default;
  /// Blocks while a decision on quarantining the request is pending, for a third of a second at
  /// most. Until it is decided, the request must not crash another engine, but it may also be
  /// harmless.
  virtual void awaitDecision(uint64_t fingerprint) = 0;
  /// @return how much longer the request must not be sent; std::nullopt if it may be sent.
  virtual std::optional<Duration> timeLeft(uint64_t fingerprint) = 0;
  /// Reports that the engine's process ended during a run of the request.
  virtual void noteCrash(uint64_t fingerprint, const quarantine::CrashedRun& run) = 0;
  /// Reports that an engine ran the request and sent a complete answer.
  virtual void noteServed(uint64_t fingerprint) = 0;
};

}  // namespace fernmoor::gateway
