/// @file
/// What the request path asks and tells of requests that crash the engines that run them.
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
  /// Waits while it is being decided whether the request is quarantined, for a third of a second at
  /// most: it must not crash a further engine meanwhile, and may be innocent.
  virtual void awaitDecision(uint64_t fingerprint) = 0;
  /// @return how long the request must not be sent; nothing: it may be sent.
  virtual std::optional<Duration> timeLeft(uint64_t fingerprint) = 0;
  /// A run of the request ended with the process of its engine.
  virtual void noteCrash(uint64_t fingerprint, const quarantine::CrashedRun& run) = 0;
  /// An engine ran the request and answered it whole.
  virtual void noteServed(uint64_t fingerprint) = 0;
};

}  // namespace fernmoor::gateway
