/// @file
/// Reads the platform on behalf of the table role. The daemon runs it on a control-plane thread of
/// its own; it blocks in the platform's long poll and nowhere else.
#pragma once

#include "common/knobs.h"
#include "common/message_sender.h"
#include "common/random.h"
#include "objectstore/object_store_client.h"
#include "table/table.h"
#include "table/table_role.h"

namespace fernmoor {

/// One node's reader of the table's collection. Used by one thread.
class TableWatcher {
 public:
  /// All references outlive the watcher.
  TableWatcher(ObjectStoreClient& platform, TableRole& role, const Table& table, const Clock& clock,
               MessageSender& sender, const Knobs& knobs, uint64_t seed);

  /// Does one round: reads what the role needs, if anything, and hands it over. Blocks for at most
  /// the long poll's length and the call's timeout.
  /// @return how long to pause before the next round; 0 after a successful read.
  Duration runOnce();

  /// @return why the last round failed; none after a success.
  const std::optional<Error>& lastError() const { return lastError_; }

 private:
  std::optional<Error> readChanges();
  std::optional<Error> readSnapshot();
  Duration pauseAfterFailure();

  ObjectStoreClient& platform_;
  TableRole& role_;
  const Table& table_;
  const Clock& clock_;
  MessageSender& sender_;
  const Knobs knobs_;
  Random random_;
  Duration pause_;
  std::optional<Error> lastError_;
};

}  // namespace fernmoor
