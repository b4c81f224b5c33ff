#include "peers/packed_entries.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <sstream>

namespace fernmoor::peers {

namespace {

/// Fastest level of zlib. Compressing a table of 650 KB takes about 10 ms of one core, and the
/// result is at most a few tenths larger than that of the slowest level.
constexpr int kCompressionLevel = 1;
/// A list of any length is packed in blocks of about this many bytes, so that neither side holds
/// all of it in several forms at once.
constexpr size_t kBlockBytes = 512U << 10U;
/// One entry may exceed the size of a block: the largest object of the store has 1 MB.
constexpr size_t kMaxUnpackedBytes = 2U << 20U;
constexpr size_t kReadBufferBytes = 16384;

void encodeEntry(const MirrorEntry& entry, proto::MirrorEntry& out) {
  out.set_name(entry.name);
  out.set_revision(entry.revision);
  out.set_gone(entry.isGone);
  out.set_text(entry.text);
  out.set_lost(entry.isLost);
}

template <class Entries>
void decodeEntries(const Entries& messages, std::vector<MirrorEntry>& entries) {
  for (const proto::MirrorEntry& entry : messages) {
    entries.push_back(
        MirrorEntry{entry.name(), entry.revision(), entry.gone(), entry.text(), entry.lost()});
  }
}

Error unpackError(ErrorKind kind, const std::string& what) {
  return Error{kind,
               "mirror entries from another node " + what + "; run the same version on all nodes.",
               RunState::kNotRun, std::nullopt};
}

/// @return the decompressed bytes; the size differs from `size` if the compressed data is corrupt.
std::string inflate(const std::string& packed, size_t size) {
  std::string out;
  out.reserve(size);
  std::istringstream in(packed);
  try {
    Poco::InflatingInputStream inflating(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
    char buffer[kReadBufferBytes];
    while (out.size() <= size &&
           (inflating.read(buffer, kReadBufferBytes) || inflating.gcount() > 0)) {
      out.append(buffer, static_cast<size_t>(inflating.gcount()));
    }
  } catch (const Poco::Exception&) {
    out.clear();  // The caller compares the size and reports the error.
  }
  return out;
}

void packBlock(const proto::MirrorEntries& entries, proto::PackedEntries& block) {
  std::ostringstream out;
  Poco::DeflatingOutputStream deflating(out, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                        kCompressionLevel);
  entries.SerializeToOstream(&deflating);
  deflating.close();
  block.set_packed(out.str());
  block.set_unpacked_bytes(entries.ByteSizeLong());
}

}  // namespace

void packEntries(const std::vector<MirrorEntry>& entries, size_t plainBytes,
                 proto::MirrorChanges& changes) {
  proto::MirrorEntries message;
  size_t bytes = 0;
  for (const MirrorEntry& entry : entries) {
    proto::MirrorEntry& added = *message.add_entries();
    encodeEntry(entry, added);
    bytes += added.ByteSizeLong();
    if (bytes >= kBlockBytes) {
      packBlock(message, *changes.add_blocks());
      message.clear_entries();
      bytes = 0;
    }
  }
  const bool isShort = changes.blocks().empty() && message.ByteSizeLong() <= plainBytes;
  if (isShort) {
    changes.mutable_entries()->Swap(message.mutable_entries());
  } else if (message.entries_size() > 0) {
    packBlock(message, *changes.add_blocks());
  }
}

Result<std::vector<MirrorEntry>> unpackEntries(const proto::MirrorChanges& changes) {
  std::vector<MirrorEntry> entries;
  decodeEntries(changes.entries(), entries);
  for (const proto::PackedEntries& block : changes.blocks()) {
    const size_t size = block.unpacked_bytes();
    if (size > kMaxUnpackedBytes) {
      return unpackError(ErrorKind::kTooLarge,
                         "have a block of " + std::to_string(size) + " bytes, at most " +
                             std::to_string(kMaxUnpackedBytes) + " are accepted");
    }
    proto::MirrorEntries message;
    const std::string bytes = inflate(block.packed(), size);
    if (bytes.size() != size || !message.ParseFromString(bytes)) {
      return unpackError(ErrorKind::kInvalidRequest, "can't be decompressed");
    }
    decodeEntries(message.entries(), entries);
  }
  return entries;
}

}  // namespace fernmoor::peers
