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
    CHECK(changes.packed_entries().empty() == (count < 100));
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

TEST_CASE("corrupt data and data of a size other than stated are rejected") {
  const proto::MirrorChanges good = packed(rows(2000));
  const auto isRejected = [](const proto::MirrorChanges& changes, ErrorKind kind) {
    const auto unpacked = unpackEntries(changes);
    return !isOk(unpacked) && errorOf(unpacked).kind == kind;
  };
  proto::MirrorChanges bad = good;
  bad.set_packed_entries(good.packed_entries().substr(0, good.packed_entries().size() / 2));
  CHECK(isRejected(bad, ErrorKind::kInvalidRequest));
  bad = good;
  bad.set_unpacked_bytes(good.unpacked_bytes() - 1);
  CHECK(isRejected(bad, ErrorKind::kInvalidRequest));
  bad = good;
  bad.set_unpacked_bytes(uint64_t{1} << 40U);
  CHECK(isRejected(bad, ErrorKind::kTooLarge));
  Random random(7);
  for (int round = 0; round < 200; ++round) {
    std::string noise(1 + random.below(400), '\0');
    for (char& byte : noise) {
      byte = static_cast<char>(random.next());
    }
    bad.set_packed_entries(noise);
    bad.set_unpacked_bytes(random.below(100000));
    CHECK_FALSE(isOk(unpackEntries(bad)));
  }
}

}  // namespace fernmoor::peers
