/// @file
/// Interface of the request path to the quarantine of requests, and of parts of prompts, that crash
/// the engines running them.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/time.h"
#include "quarantine/crash_evidence.h"

namespace fernmoor::gateway {

/// What may have crashed the engine that ran a request: the request as a whole, or a part of its
/// prompt that other requests may share. Each is named by a fingerprint.
struct Suspects {
  Suspects(uint64_t whole, std::vector<uint64_t> shared = {})
      : request(whole), parts(std::move(shared)) {}

  uint64_t request;
  std::vector<uint64_t> parts;  ///< Not the last part, which belongs to the request alone.
};

/// Thread-safe.
class RequestQuarantine {
 public:
  virtual ~RequestQuarantine() = default;
  /// Blocks while a decision on quarantining one of the suspects is pending, for a third of a
  /// second at most. Until it is decided, the suspect must not crash another engine, but it may
  /// also be harmless.
  virtual void awaitDecision(const Suspects& suspects) = 0;
  /// @return how much longer a request with these suspects must not be sent; std::nullopt if it may
  ///         be sent.
  virtual std::optional<Duration> timeLeft(const Suspects& suspects) = 0;
  /// Reports that the engine's process ended during a run of the request.
  virtual void noteCrash(const Suspects& suspects, const quarantine::CrashedRun& run) = 0;
  /// Reports that an engine ran the request and sent a complete answer. An error answer clears the
  /// request only: an engine may not have begun to write on the parts. Leave the parts out then.
  virtual void noteServed(const Suspects& suspects) = 0;
};

}  // namespace fernmoor::gateway
