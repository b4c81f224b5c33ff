/// @file
/// Compresses mirror entries for messages between nodes. Rows of a table resemble each other, and
/// deflating them reduces their size to about a tenth.
#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "mirror.pb.h"
#include "peers/state_mirror.h"

namespace fernmoor::peers {

/// Puts the entries into the message, compressed if their total size exceeds `plainBytes`.
void packEntries(const std::vector<MirrorEntry>& entries, size_t plainBytes,
                 proto::MirrorChanges& changes);

/// @return the entries of the message, compressed or not; kTooLarge if they exceed the maximum
///         size, kInvalidRequest if the bytes can't be decoded. Never throws.
Result<std::vector<MirrorEntry>> unpackEntries(const proto::MirrorChanges& changes);

}  // namespace fernmoor::peers
