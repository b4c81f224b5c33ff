/// @file
/// Entries of the mirror as they cross a link where there are many: rows of a table are much alike,
/// and deflated take about a tenth of their length.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "mirror.pb.h"
#include "peers/state_mirror.h"

namespace fernmoor::peers {

/// Puts the entries into the message, packed where they are longer than `plainBytes` together.
void packEntries(const std::vector<MirrorEntry>& entries, size_t plainBytes,
                 proto::MirrorChanges& changes);

/// @return the entries of the message, packed or not; kTooLarge for more than a node takes from
///         another, kInvalidRequest for bytes that are no entries. Never throws.
Result<std::vector<MirrorEntry>> unpackEntries(const proto::MirrorChanges& changes);

}  // namespace fernmoor::peers
