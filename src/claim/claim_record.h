/// @file
/// The record of one key at one replica, and the merge of the records of several replicas by a
/// replica that lost its own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/role.h"
#include "common/time.h"

namespace fernmoor {

/// One attempt of one dispatching node to claim a key; never reused once released.
struct ClaimAttempt {
  NodeLife dispatcher;
  uint64_t number = 0;
  friend bool operator==(const ClaimAttempt& a, const ClaimAttempt& b) {
    return a.dispatcher == b.dispatcher && a.number == b.number;
  }
  friend bool operator!=(const ClaimAttempt& a, const ClaimAttempt& b) { return !(a == b); }
};

/// The answer of a request that ran, stored for its resends.
struct ClaimAnswer {
  uint32_t httpStatus = 0;
  std::string contentType;
  std::string body;
  bool dropped = false;  ///< The request ran, but its answer was not stored.
};

/// States and events of charts/claim.scxml.
enum class RecordState { kUnclaimed, kClaimed, kCompleted, kVoided };
enum class RecordEvent { kClaim, kRelease, kComplete, kVoid };

/// One key at one replica.
struct ClaimRecord {
  RecordState state = RecordState::kUnclaimed;
  ClaimAttempt holder;                 ///< Meaningful in kClaimed and kCompleted.
  uint64_t digest = 0;                 ///< Of the holder's request.
  Time since{};                        ///< When the holder claimed, by this replica's clock.
  ClaimAnswer answer;                  ///< Meaningful in kCompleted.
  std::vector<ClaimAttempt> released;  ///< Tombstones, oldest first.
  /// Epoch whose predecessors' records are merged in.
  uint64_t settledEpoch = 0;

  /// Applies an event of the chart. @return false if the chart has no such transition.
  bool apply(RecordEvent event);
  bool isReleased(const ClaimAttempt& attempt) const;
  /// Adds a tombstone; drops the oldest beyond a fixed number (which affects only the
  /// progress of its dispatcher's late messages, never safety).
  void addTombstone(const ClaimAttempt& attempt);
};

/// What one replica reported about a key to the merging replica.
struct RecordView {
  const ClaimRecord* record = nullptr;  ///< Null: it has no record of the key.
  bool voidIfAbsent = false;            ///< The key is older than the replica's birth floor.
};

/// Merges the records of other replicas. Precedence: an answer, then a void; two different claims
/// that are not released void the key, since the merging replica can't know which one it voted for;
/// then a claim. The tombstones of all records are combined.
/// @param voidConflicts false only in tests that show why the rule is needed.
ClaimRecord mergeRecords(const std::vector<RecordView>& views, bool voidConflicts);

}  // namespace fernmoor
