/// @file
/// The table as the platform stores it: one object a row in one collection, whose revision is the
/// table's version. Pure functions.
#pragma once

#include <memory>
#include <vector>

#include "objectstore/object_store_client.h"
#include "table/table.h"

namespace fernmoor {

/// @return the collection that holds the table.
const CollectionName& tableCollection();

/// The platform's objects as a snapshot, with what could not be read.
struct PlatformTable {
  Table::Snapshot snapshot;
  std::vector<Error> problems;  ///< One for each object that is no valid row.
};

/// Reads a whole collection. An object that is named as a row but holds no valid one, e.g. since a
/// program other than ours wrote it, becomes a disabled row: every node then refuses its requests,
/// whether it read the object itself or got the table from a peer.
PlatformTable readPlatformTable(const CollectionSnapshot& collection);

/// Changes of a watch, grouped by version, with what could not be read.
struct PlatformChanges {
  std::vector<TableChange> changes;  ///< In order; each is whole.
  std::vector<Error> problems;
};

/// Reads a watch's answer as readPlatformTable does.
PlatformChanges readPlatformChanges(const WatchBatch& batch);

}  // namespace fernmoor
