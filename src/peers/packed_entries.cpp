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
/// The largest object of the store has 1 MB, and its entries repeat names of it.
constexpr size_t kMaxUnpackedBytes = 4U << 20U;
constexpr size_t kReadBufferBytes = 16384;

void encodeEntry(const MirrorEntry& entry, proto::MirrorEntry& out) {
  out.set_name(entry.name);
  out.set_revision(entry.revision);
  out.set_gone(entry.isGone);
  out.set_text(entry.text);
  out.set_lost(entry.isLost);
}

template <class Entries>
std::vector<MirrorEntry> decodeEntries(const Entries& messages) {
  std::vector<MirrorEntry> entries;
  entries.reserve(static_cast<size_t>(messages.size()));
  for (const proto::MirrorEntry& entry : messages) {
    entries.push_back(
        MirrorEntry{entry.name(), entry.revision(), entry.gone(), entry.text(), entry.lost()});
  }
  return entries;
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

}  // namespace

void packEntries(const std::vector<MirrorEntry>& entries, size_t plainBytes,
                 proto::MirrorChanges& changes) {
  proto::MirrorEntries message;
  for (const MirrorEntry& entry : entries) {
    encodeEntry(entry, *message.add_entries());
  }
  if (message.ByteSizeLong() <= plainBytes) {
    changes.mutable_entries()->Swap(message.mutable_entries());
    return;
  }
  std::ostringstream out;
  Poco::DeflatingOutputStream deflating(out, Poco::DeflatingStreamBuf::STREAM_ZLIB,
                                        kCompressionLevel);
  message.SerializeToOstream(&deflating);
  deflating.close();
  changes.set_packed_entries(out.str());
  changes.set_unpacked_bytes(message.ByteSizeLong());
}

Result<std::vector<MirrorEntry>> unpackEntries(const proto::MirrorChanges& changes) {
  if (changes.packed_entries().empty()) {
    return decodeEntries(changes.entries());
  }
  const size_t size = changes.unpacked_bytes();
  if (size > kMaxUnpackedBytes) {
    return unpackError(ErrorKind::kTooLarge, "exceed the maximum size of a table");
  }
  proto::MirrorEntries message;
  const std::string bytes = inflate(changes.packed_entries(), size);
  if (bytes.size() != size || !message.ParseFromString(bytes)) {
    return unpackError(ErrorKind::kInvalidRequest, "can't be decompressed");
  }
  return decodeEntries(message.entries());
}

}  // namespace fernmoor::peers
