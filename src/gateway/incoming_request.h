/// @file
/// One request as the request path sees it, whichever front end took it.
#pragma once

#include <Poco/Net/MessageHeader.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/traffic_table.h"

namespace fernmoor::gateway {

/// One part of a prompt, told by the caller. The last part belongs to the request alone.
struct PromptPart {
  std::string id;
  uint64_t tokens = 0;
};

struct IncomingRequest {
  std::string id;  ///< The caller's id of this attempt of theirs.
  std::string method;
  std::string target;                ///< Path and query, unchanged.
  Poco::Net::MessageHeader headers;  ///< Those that are passed on as they came.
  std::string body;
  TrafficTablePtr table;  ///< Keeps the row alive.
  const Row* row = nullptr;
  std::string pool;  ///< Which of the row's pools serves it.
  std::optional<Tenant> tenant;
  std::string key;  ///< The tenant's key; never passed on or logged.
  Time arrivedAt;   ///< When its first byte was seen.
  Time deadline;    ///< When the caller stops waiting or the row's timeout ends, the earlier.
  std::string model;
  uint64_t promptTokens = 0;
  uint64_t mostAnswerTokens = 0;      ///< Bound on the answer's; 0: unknown.
  uint64_t expectedAnswerTokens = 0;  ///< The caller's estimate; 0: unknown.
  std::vector<PromptPart> parts;
  std::string resumeAfter;  ///< Id of the last event that the caller has; empty: none.

  /// @return how many of its parts other requests share: all but the last.
  size_t sharedPartCount() const { return parts.empty() ? 0 : parts.size() - 1; }
  /// @return whether it may run again after it may have run.
  bool isRepeatable() const {
    return row->repetition == Repetition::kRepeatable || (row->isStream && row->isResumable);
  }
};

}  // namespace fernmoor::gateway
