#include "claim/claim_store.h"

#include <algorithm>
#include <utility>

namespace fernmoor {

const ClaimRecord* ClaimStore::find(const ClaimKey& key) const {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

ClaimRecord* ClaimStore::find(const ClaimKey& key) {
  const auto found = records_.find(key);
  return found == records_.end() ? nullptr : &found->second;
}

bool ClaimStore::hasRoom() const {
  return records_.size() < static_cast<size_t>(knobs_.claimMaximumRecords);
}

ClaimRecord* ClaimStore::findOrAdd(const ClaimKey& key) {
  if (ClaimRecord* record = find(key)) {
    return record;
  }
  return hasRoom() ? &records_[key] : nullptr;
}

bool ClaimStore::put(const ClaimKey& key, ClaimRecord record) {
  const auto old = records_.find(key);
  const bool isEmpty = record.state == RecordState::kUnclaimed && record.released.empty();
  if (old == records_.end() && !isEmpty && !hasRoom()) {
    return false;
  }
  if (old != records_.end()) {
    storedBytes_ -= old->second.answer.body.size();
    records_.erase(old);
  }
  if (isEmpty) {
    return true;
  }
  ClaimAnswer answer = std::exchange(record.answer, ClaimAnswer{});
  keepAnswer(record, std::move(answer));
  records_.emplace(key, std::move(record));
  return true;
}

void ClaimStore::keepAnswer(ClaimRecord& record, ClaimAnswer answer) {
  storedBytes_ -= record.answer.body.size();
  const size_t size = answer.body.size();
  const bool tooLong = size > static_cast<size_t>(knobs_.claimMaximumAnswerBytes);
  const bool full = storedBytes_ + size > static_cast<size_t>(knobs_.claimMaximumStoredBytes);
  if (tooLong || full) {
    answer.body.clear();
    answer.dropped = true;
  }
  record.answer = std::move(answer);
  storedBytes_ += record.answer.body.size();
}

void ClaimStore::raiseBirthFloor(int64_t wallMicroseconds) {
  birthFloor_ = std::max(birthFloor_, wallMicroseconds);
}

void ClaimStore::pruneBornBefore(int64_t wallMicroseconds) {
  raiseBirthFloor(wallMicroseconds);
  for (auto record = records_.begin(); record != records_.end();) {
    if (record->first.birthMicroseconds >= wallMicroseconds) {
      ++record;
      continue;
    }
    storedBytes_ -= record->second.answer.body.size();
    record = records_.erase(record);
  }
}

}  // namespace fernmoor
