/// @file
/// One row of the table that operators edit: how requests of one tenant to one service are served.
#pragma once

#include <string>

#include "common/ids.h"
#include "common/time.h"

namespace fernmoor {

/// What kind of back end serves the row's requests.
enum class BackEndKind { kModel, kApplication };

/// Whether somebody waits for the answer. Interactive work goes first; deferred work may wait, for
/// at most the row's maxWait.
enum class DeadlineClass { kInteractive, kDeferred };

struct RowKey {
  ServiceId service;
  TenantId tenant;
  friend bool operator==(const RowKey& a, const RowKey& b) {
    return a.service == b.service && a.tenant == b.tenant;
  }
  friend bool operator<(const RowKey& a, const RowKey& b) {
    return a.service != b.service ? a.service < b.service : a.tenant < b.tenant;
  }
};

struct Row {
  RowKey key;
  BackEndKind backEnd = BackEndKind::kModel;
  ModelId model;            ///< For model rows: served by engines that hold this model.
  AdapterId adapter;        ///< Empty: none.
  ServiceId operationPath;  ///< For application rows: name of the operation at the back end.
  DeadlineClass deadlineClass = DeadlineClass::kInteractive;
  int64_t priority = 5;              ///< 0 (first) to 9 (last).
  double weight = 1.0;               ///< Share among tenants of one priority, 0.01 to 1000.
  double ratePerSecond = 0;          ///< Requests a second over all nodes; 0: no limit.
  double burst = 1;                  ///< Requests that may come at once, at least 1.
  int64_t concurrency = 0;           ///< Requests in flight over all nodes; 0: no limit.
  Duration deadline{30000000};       ///< From arrival to the last byte.
  Duration maxWait{10000000};        ///< Longest time in the queue before it is refused or served.
  bool repeatable = true;            ///< False: runs at most once.
  double recomputationWeight = 1.0;  ///< Price of recomputing a cached token, against waiting.
  bool enabled = true;               ///< False: every request is refused as forbidden.
  uint64_t rowVersion = 0;           ///< Table version that last changed the row.
};

}  // namespace fernmoor
