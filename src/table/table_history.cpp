#include "table/table_history.h"

#include <utility>

#include "table/table_messages.h"

namespace fernmoor {

void TableHistory::append(const TableChange& change) {
  Kept kept{changeToProto(change), 0};
  kept.bytes = kept.change.ByteSizeLong();
  bytes_ += kept.bytes;
  changes_.push_back(std::move(kept));
  last_ = change.version;
  trim();
}

void TableHistory::restartAt(TableVersion version) {
  changes_.clear();
  bytes_ = 0;
  last_ = version;
}

/// A change that alone is over the bound goes as well: peers then take the snapshot in pages.
void TableHistory::trim() {
  while (!changes_.empty() && (changes_.size() > static_cast<size_t>(knobs_.tableHistoryChanges) ||
                               bytes_ > static_cast<size_t>(knobs_.tableHistoryBytes))) {
    bytes_ -= changes_.front().bytes;
    changes_.pop_front();
  }
}

bool TableHistory::covers(TableVersion after) const {
  return after <= last_ && last_.value() - after.value() <= changes_.size();
}

void TableHistory::fill(TableVersion after, size_t maxBytes, proto::TableChanges& message) const {
  size_t bytes = 0;
  const size_t wanted = last_.value() - after.value();
  for (size_t index = changes_.size() - wanted; index < changes_.size(); ++index) {
    if (bytes > 0 && bytes + changes_[index].bytes > maxBytes) {
      return;
    }
    bytes += changes_[index].bytes;
    *message.add_changes() = changes_[index].change;
  }
}

}  // namespace fernmoor
