#include "peers/mirror_content.h"

#include <algorithm>

#include "peers/packed_entries.h"

namespace fernmoor::peers {

namespace {

/// Bytes; leaves room in a datagram for the proofs of all kinds and the envelope.
constexpr size_t kMostShort = 700;
/// Blocks kept: nodes lack the whole table, or what came since the change before or the last but
/// one; two kinds are ever long.
constexpr size_t kBlocksKept = 4;

MirrorContentPtr blockOf(MirrorKind kind, const MirrorDelta& delta) {
  auto block = std::make_shared<MirrorContentBlock>();
  block->kind = kind;
  block->changes.set_kind(static_cast<uint32_t>(kind));
  block->changes.set_from_revision(delta.fromRevision);
  block->changes.set_to_revision(delta.toRevision);
  packEntries(delta.entries, kMostShort, block->changes);
  block->bytes = block->changes.ByteSizeLong();
  return block;
}

}  // namespace

bool MirrorContent::isShort(MirrorKind kind, uint64_t since) const {
  return mirror_.bytesSince(kind, since) <= kMostShort;
}

MirrorContentPtr MirrorContent::since(MirrorKind kind, uint64_t since) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const uint64_t newest = mirror_.revision(kind);
  const uint64_t from = mirror_.toldFrom(kind, since);
  const auto known = std::find_if(kept_.begin(), kept_.end(), [&](const MirrorContentPtr& block) {
    return block->kind == kind && block->changes.from_revision() == from &&
           block->changes.to_revision() == newest;
  });
  if (known != kept_.end() && since < newest) {
    return *known;
  }
  const std::optional<MirrorDelta> delta = mirror_.since(kind, since);
  if (!delta) {
    return nullptr;
  }
  MirrorContentPtr block = blockOf(kind, *delta);
  if (block->bytes > kMostShort) {
    kept_.push_front(block);
    kept_.resize(std::min(kept_.size(), kBlocksKept));
  }
  return block;
}

}  // namespace fernmoor::peers
