/// @file
/// Tests of src/peers/packed_entries.h.
#include "peers/packed_entries.h"

#include <doctest/doctest.h>

#include "common/random.h"

namespace fernmoor::peers {

namespace {

constexpr size_t kPlainBytes = 700;

std::vector<MirrorEntry> rows(size_t count) {
  std::vector<MirrorEntry> entries;
  for (size_t row = 0; row < count; ++row) {
    entries.push_back(MirrorEntry{"row " + std::to_string(row), row, row % 5 == 0,
                                  R"({"name":"row","timeout-ms":)" + std::to_string(row) + "}"});
  }
  return entries;
}

proto::MirrorChanges packed(const std::vector<MirrorEntry>& entries) {
  proto::MirrorChanges changes;
  packEntries(entries, kPlainBytes, changes);
  return changes;
}

}  // namespace

TEST_CASE("many entries are compressed, few are not, and all are decoded unchanged") {
  for (const size_t count : {0, 1, 3, 2000}) {
    const std::vector<MirrorEntry> entries = rows(count);
    const proto::MirrorChanges changes = packed(entries);
    CHECK(changes.blocks().empty() == (count < 100));
    const auto unpacked = unpackEntries(changes);
    REQUIRE(isOk(unpacked));
    REQUIRE(valueOf(unpacked).size() == count);
    for (size_t row = 0; row < count; ++row) {
      CHECK(valueOf(unpacked)[row].name == entries[row].name);
      CHECK(valueOf(unpacked)[row].revision == entries[row].revision);
      CHECK(valueOf(unpacked)[row].isGone == entries[row].isGone);
      CHECK(valueOf(unpacked)[row].text == entries[row].text);
    }
  }
  CHECK(packed(rows(2000)).ByteSizeLong() < 30000);
}

TEST_CASE("a list of any length is decoded, and its blocks are in their order") {
  constexpr size_t kListed = 24000;
  constexpr size_t kTextBytes = 250;
  std::vector<MirrorEntry> entries;
  for (size_t index = 0; index < kListed; ++index) {
    entries.push_back(
        MirrorEntry{std::to_string(index), index, false, std::string(kTextBytes, 'x')});
  }
  const proto::MirrorChanges changes = packed(entries);
  CHECK(changes.blocks_size() > 8);  // Over 4 MB unpacked.
  const auto unpacked = unpackEntries(changes);
  REQUIRE(isOk(unpacked));
  REQUIRE(valueOf(unpacked).size() == kListed);
  for (size_t index = 0; index < kListed; ++index) {
    REQUIRE(valueOf(unpacked)[index].revision == index);
  }
}

TEST_CASE("corrupt data and data of a size other than stated are rejected") {
  const proto::MirrorChanges good = packed(rows(2000));
  const auto isRejected = [](const proto::MirrorChanges& changes, ErrorKind kind) {
    const auto unpacked = unpackEntries(changes);
    return !isOk(unpacked) && errorOf(unpacked).kind == kind;
  };
  proto::MirrorChanges bad = good;
  REQUIRE(good.blocks_size() == 1);
  const proto::PackedEntries& whole = good.blocks(0);
  bad.mutable_blocks(0)->set_packed(whole.packed().substr(0, whole.packed().size() / 2));
  CHECK(isRejected(bad, ErrorKind::kInvalidRequest));
  bad = good;
  bad.mutable_blocks(0)->set_unpacked_bytes(whole.unpacked_bytes() - 1);
  CHECK(isRejected(bad, ErrorKind::kInvalidRequest));
  bad = good;
  bad.mutable_blocks(0)->set_unpacked_bytes(uint64_t{1} << 40U);
  CHECK(isRejected(bad, ErrorKind::kTooLarge));
  Random random(7);
  for (int round = 0; round < 200; ++round) {
    std::string noise(1 + random.below(400), '\0');
    for (char& byte : noise) {
      byte = static_cast<char>(random.next());
    }
    bad.mutable_blocks(0)->set_packed(noise);
    bad.mutable_blocks(0)->set_unpacked_bytes(random.below(100000));
    CHECK_FALSE(isOk(unpackEntries(bad)));
  }
}

}  // namespace fernmoor::peers
