#include "peers/packed_entries.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <sstream>

namespace fernmoor::peers {

namespace {

/// Of zlib's levels the fastest: a table of 650 KB takes some 10 ms of a core, and is then as small
/// as to within a few parts in ten of what the slowest gives.
constexpr int kPackLevel = 1;
/// Bytes; the store's largest object has 1 MB, and its entries repeat names of it.
constexpr size_t kMostUnpacked = 4U << 20U;
constexpr size_t kReadBytes = 16384;

void toMessage(const MirrorEntry& entry, proto::MirrorEntry& out) {
  out.set_name(entry.name);
  out.set_revision(entry.revision);
  out.set_gone(entry.isGone);
  out.set_text(entry.text);
  out.set_lost(entry.isLost);
}

template <class Entries>
std::vector<MirrorEntry> fromMessages(const Entries& messages) {
  std::vector<MirrorEntry> entries;
  entries.reserve(static_cast<size_t>(messages.size()));
  for (const proto::MirrorEntry& entry : messages) {
    entries.push_back(
        MirrorEntry{entry.name(), entry.revision(), entry.gone(), entry.text(), entry.lost()});
  }
  return entries;
}

Error problem(ErrorKind kind, const std::string& what) {
  return Error{kind, "entries of another node " + what + "; run the same version on all nodes.",
               RunState::kNotRun, std::nullopt};
}

/// @return the bytes, or fewer than `size` where the packed ones are broken.
std::string inflated(const std::string& packed, size_t size) {
  std::string out;
  out.reserve(size);
  std::istringstream in(packed);
  try {
    Poco::InflatingInputStream inflating(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
    char buffer[kReadBytes];
    while (out.size() <= size && (inflating.read(buffer, kReadBytes) || inflating.gcount() > 0)) {
      out.append(buffer, static_cast<size_t>(inflating.gcount()));
    }
  } catch (const Poco::Exception&) {
    out.clear();  // Told by the caller, who knows how much there should be.
  }
  return out;
}

}  // namespace

void packEntries(const std::vector<MirrorEntry>& entries, size_t plainBytes,
                 proto::MirrorChanges& changes) {
  proto::MirrorEntries message;
  for (const MirrorEntry& entry : entries) {
    toMessage(entry, *message.add_entries());
  }
  if (message.ByteSizeLong() <= plainBytes) {
    changes.mutable_entries()->Swap(message.mutable_entries());
    return;
  }
  std::ostringstream out;
  Poco::DeflatingOutputStream deflating(out, Poco::DeflatingStreamBuf::STREAM_ZLIB, kPackLevel);
  message.SerializeToOstream(&deflating);
  deflating.close();
  changes.set_packed_entries(out.str());
  changes.set_unpacked_bytes(message.ByteSizeLong());
}

Result<std::vector<MirrorEntry>> unpackEntries(const proto::MirrorChanges& changes) {
  if (changes.packed_entries().empty()) {
    return fromMessages(changes.entries());
  }
  const size_t size = changes.unpacked_bytes();
  if (size > kMostUnpacked) {
    return problem(ErrorKind::kTooLarge, "are larger than any table");
  }
  proto::MirrorEntries message;
  const std::string bytes = inflated(changes.packed_entries(), size);
  if (bytes.size() != size || !message.ParseFromString(bytes)) {
    return problem(ErrorKind::kInvalidRequest, "can't be unpacked");
  }
  return fromMessages(message.entries());
}

}  // namespace fernmoor::peers
