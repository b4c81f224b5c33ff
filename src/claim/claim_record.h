/// @file
/// What one replica knows of one key, and how the records of several replicas are merged by a
/// replica that lost its own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/role.h"
#include "common/time.h"

namespace fernmoor {

/// One try of one dispatching node to win a key; never used again once released.
struct ClaimAttempt {
  NodeLife dispatcher;
  uint64_t number = 0;
  friend bool operator==(const ClaimAttempt& a, const ClaimAttempt& b) {
    return a.dispatcher == b.dispatcher && a.number == b.number;
  }
  friend bool operator!=(const ClaimAttempt& a, const ClaimAttempt& b) { return !(a == b); }
};

/// The answer of a request that ran, kept for its resends.
struct ClaimAnswer {
  uint32_t httpStatus = 0;
  std::string contentType;
  std::string body;
  bool dropped = false;  ///< The request ran, but its answer was not kept.
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
  /// Adds a tombstone; forgets the oldest beyond a fixed number (that costs progress of its
  /// author's late messages only, never safety).
  void addTombstone(const ClaimAttempt& attempt);
};

/// What one replica said of a key to a replica that merges.
struct RecordView {
  const ClaimRecord* record = nullptr;  ///< Null: it has no record of the key.
  bool voidIfAbsent = false;            ///< The key is older than the replica's birth floor.
};

/// Merges what other replicas know: an answer wins; then a void; two different claims that are
/// not released void the key, since the merging replica can't know whom it voted for; then a
/// claim; tombstones are united.
/// @param voidConflicts false only in tests that show what the rule is for.
ClaimRecord mergeRecords(const std::vector<RecordView>& views, bool voidConflicts);

}  // namespace fernmoor
