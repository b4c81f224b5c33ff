/// @file
/// Table changes and snapshot pages as messages between nodes. Pure functions.
#pragma once

#include "common/error.h"
#include "envelope.pb.h"
#include "table.pb.h"
#include "table/table.h"

namespace fernmoor {

proto::Envelope tableAnnouncement(TableVersion version);
proto::Envelope tableVersionQuery(uint64_t query);
proto::Envelope tableVersionReply(uint64_t query, TableVersion version);

/// @return whether the message answers a request, and so names the life of the node that asked.
bool isTableAnswer(const proto::TableMessage& message);

proto::TableChange changeToProto(const TableChange& change);
/// Reads a change from another node; every row is checked.
Result<TableChange> changeFromProto(const proto::TableChange& message);

/// Fills a page with the rows that follow the request's key.
/// @param maxBytes the page holds at least one row and otherwise at most this many bytes of rows.
proto::TableSnapshotPage makeSnapshotPage(const TableSnapshot& snapshot, bool fromStart,
                                          const RowKey& after, size_t maxBytes);

}  // namespace fernmoor
