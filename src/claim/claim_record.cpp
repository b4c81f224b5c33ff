#include "claim/claim_record.h"

#include <algorithm>

#include "chart/typed_chart.h"

namespace fernmoor {

namespace {

constexpr size_t kMaximumTombstones = 16;

const TypedChart<RecordState, RecordEvent>& claimChart() {
  static const auto kChart = TypedChart<RecordState, RecordEvent>::fromEmbedded(
      "claim", {"unclaimed", "claimed", "completed", "voided"},
      {"claim", "release", "complete", "void"});
  return kChart;
}

void mergeTombstones(ClaimRecord& merged, const std::vector<RecordView>& views) {
  for (const RecordView& view : views) {
    if (view.record == nullptr) {
      continue;
    }
    for (const ClaimAttempt& attempt : view.record->released) {
      merged.addTombstone(attempt);
    }
  }
}

const ClaimRecord* findState(const std::vector<RecordView>& views, RecordState state) {
  for (const RecordView& view : views) {
    if (view.record != nullptr && view.record->state == state) {
      return view.record;
    }
  }
  return nullptr;
}

bool anyVoid(const std::vector<RecordView>& views) {
  return std::any_of(views.begin(), views.end(), [](const RecordView& view) {
    return view.record == nullptr ? view.voidIfAbsent : view.record->state == RecordState::kVoided;
  });
}

void adoptHolder(ClaimRecord& merged, const ClaimRecord& from) {
  merged.holder = from.holder;
  merged.digest = from.digest;
  merged.since = from.since;
}

void adoptClaims(ClaimRecord& merged, const std::vector<RecordView>& views, bool voidConflicts) {
  for (const RecordView& view : views) {
    const ClaimRecord* record = view.record;
    if (record == nullptr || record->state != RecordState::kClaimed ||
        merged.isReleased(record->holder)) {
      continue;
    }
    if (merged.state == RecordState::kUnclaimed) {
      merged.apply(RecordEvent::kClaim);
      adoptHolder(merged, *record);
    } else if (merged.holder != record->holder && voidConflicts) {
      merged.apply(RecordEvent::kVoid);
      return;
    }
  }
}

}  // namespace

bool ClaimRecord::apply(RecordEvent event) {
  if (!claimChart().accepts(state, event)) {
    return false;
  }
  state = valueOf(claimChart().next(state, event));
  return true;
}

bool ClaimRecord::isReleased(const ClaimAttempt& attempt) const {
  return std::find(released.begin(), released.end(), attempt) != released.end();
}

void ClaimRecord::addTombstone(const ClaimAttempt& attempt) {
  if (isReleased(attempt)) {
    return;
  }
  if (released.size() == kMaximumTombstones) {
    released.erase(released.begin());
  }
  released.push_back(attempt);
}

ClaimRecord mergeRecords(const std::vector<RecordView>& views, bool voidConflicts) {
  ClaimRecord merged;
  mergeTombstones(merged, views);
  if (const ClaimRecord* completed = findState(views, RecordState::kCompleted)) {
    merged.apply(RecordEvent::kComplete);
    adoptHolder(merged, *completed);
    merged.answer = completed->answer;
    return merged;
  }
  if (voidConflicts && anyVoid(views)) {
    merged.apply(RecordEvent::kVoid);
    return merged;
  }
  adoptClaims(merged, views, voidConflicts);
  return merged;
}

}  // namespace fernmoor
