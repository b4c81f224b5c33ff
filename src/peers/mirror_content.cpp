#include "peers/mirror_content.h"

#include <algorithm>

#include "peers/packed_entries.h"

namespace fernmoor::peers {

namespace {

/// Leaves room in a datagram for the times of the last confirmed reads of all kinds and the
/// envelope.
constexpr size_t kMaxInlineBytes = 700;
/// A node is missing either the whole table or the changes since the last or the second to last
/// revision, and only two kinds get long.
constexpr size_t kMaxCachedBlocks = 4;

MirrorContentPtr makeBlock(MirrorKind kind, const MirrorDelta& delta) {
  auto block = std::make_shared<MirrorContentBlock>();
  block->kind = kind;
  block->changes.set_kind(static_cast<uint32_t>(kind));
  block->changes.set_from_revision(delta.fromRevision);
  block->changes.set_to_revision(delta.toRevision);
  packEntries(delta.entries, kMaxInlineBytes, block->changes);
  block->bytes = block->changes.ByteSizeLong();
  return block;
}

}  // namespace

bool MirrorContent::fitsInDatagram(MirrorKind kind, uint64_t since) const {
  return mirror_.bytesSince(kind, since) <= kMaxInlineBytes;
}

MirrorContentPtr MirrorContent::since(MirrorKind kind, uint64_t since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const uint64_t newest = mirror_.revision(kind);
  const uint64_t from = mirror_.deltaBase(kind, since);
  const auto known =
      std::find_if(cachedBlocks_.begin(), cachedBlocks_.end(), [&](const MirrorContentPtr& block) {
        return block->kind == kind && block->changes.from_revision() == from &&
               block->changes.to_revision() == newest;
      });
  if (known != cachedBlocks_.end() && since < newest) {
    return *known;
  }
  const std::optional<MirrorDelta> delta = mirror_.since(kind, since);
  if (!delta) {
    return nullptr;
  }
  MirrorContentPtr block = makeBlock(kind, *delta);
  if (block->bytes > kMaxInlineBytes) {
    cachedBlocks_.push_front(block);
    cachedBlocks_.resize(std::min(cachedBlocks_.size(), kMaxCachedBlocks));
  }
  return block;
}

}  // namespace fernmoor::peers
