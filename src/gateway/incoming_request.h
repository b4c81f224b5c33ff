/// @file
/// One request in the form that the request path uses, independent of the front end.
#pragma once

#include <Poco/Net/MessageHeader.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/traffic_table.h"

namespace fernmoor::gateway {

/// One part of a prompt as stated by the caller. The last part is not shared with other requests.
struct PromptPart {
  std::string id;
  uint64_t tokens = 0;
};

struct IncomingRequest {
  std::string id;  ///< The caller's id for its current attempt.
  std::string method;
  std::string target;                ///< Path and query, unchanged.
  Poco::Net::MessageHeader headers;  ///< Headers forwarded unchanged.
  std::string body;
  TrafficTablePtr table;  ///< Owns `row`.
  const Row* row = nullptr;
  /// The table in force when the request is sent, which tells who shares cached prompts; null until
  /// its first send is planned. All else follows `table`, by which it was accepted.
  TrafficTablePtr newestTable;
  std::string pool;  ///< The row's pool that serves the request.
  std::optional<Tenant> tenant;
  std::string key;  ///< The tenant's key; never forwarded or logged.
  Time arrivedAt;   ///< Arrival of its first byte.
  Time deadline;    ///< The caller's deadline or the row's timeout, whichever is earlier.
  std::string model;
  uint64_t promptTokens = 0;
  uint64_t mostAnswerTokens = 0;      ///< Upper bound; 0: unknown.
  uint64_t expectedAnswerTokens = 0;  ///< The caller's estimate; 0: unknown.
  std::vector<PromptPart> parts;
  std::string resumeAfter;    ///< Id of the last event the caller received; empty: none.
  std::string resumedStream;  ///< Id of the request that received the first event; empty: none.
  /// Software version that the stream is bound to, as the node states that handed it on.
  std::optional<std::string> boundSoftware;
  bool cameFromPeer = false;  ///< Another node that reaches no engine handed it on.
  int earlierRuns = 0;        ///< Back ends that may have run it at that node.

  /// @return the number of parts that other requests may share: all but the last.
  size_t sharedPartCount() const { return parts.empty() ? 0 : parts.size() - 1; }
  /// @return whether its answer is a stream that may go on at another back end.
  bool isResumable() const { return row->isStream && row->isResumable; }
  /// @return whether the caller has events of it from an answer to an earlier request.
  bool takesUpStream() const { return isResumable() && !resumeAfter.empty(); }
  /// @return whether it may be run again although it may have run already.
  bool isRepeatable() const { return row->repetition == Repetition::kRepeatable || isResumable(); }
};

}  // namespace fernmoor::gateway
