/// @file
/// The records of one replica, limited in number, bytes and age.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "claim/claim_key.h"
#include "claim/claim_record.h"
#include "common/knobs.h"

namespace fernmoor {

/// Not thread-safe; owned by ClaimReplica. A key without a record created before the birth
/// floor counts as voided.
class ClaimStore {
 public:
  explicit ClaimStore(const Knobs& knobs) : knobs_(knobs) {}

  /// @return the record, or null.
  const ClaimRecord* find(const ClaimKey& key) const;
  ClaimRecord* find(const ClaimKey& key);
  /// @return the record, a new unclaimed one where there is none; null if the store is full.
  ClaimRecord* findOrAdd(const ClaimKey& key);
  /// Replaces the record; a record without content is not stored.
  /// @return false if the store is full.
  bool put(const ClaimKey& key, ClaimRecord record);
  /// Stores an answer in the record, within the limits on answers.
  void keepAnswer(ClaimRecord& record, ClaimAnswer answer);
  /// Removes keys created before the given time and raises the birth floor to it.
  void pruneBornBefore(int64_t wallMicroseconds);

  void raiseBirthFloor(int64_t wallMicroseconds);
  int64_t birthFloor() const { return birthFloor_; }
  bool isOlderThanFloor(const ClaimKey& key) const { return key.birthMicroseconds < birthFloor_; }

  const std::map<ClaimKey, ClaimRecord>& records() const { return records_; }
  size_t storedBytes() const { return storedBytes_; }

 private:
  bool hasRoom() const;

  Knobs knobs_;
  std::map<ClaimKey, ClaimRecord> records_;
  int64_t birthFloor_ = 0;
  size_t storedBytes_ = 0;
};

}  // namespace fernmoor
