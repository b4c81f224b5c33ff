/// @file
/// Tests of src/wire/envelope_sealer.h.
#include "wire/envelope_sealer.h"

#include <doctest/doctest.h>

#include "common/random.h"

namespace fernmoor {

namespace {
proto::Envelope someEnvelope() {
  proto::Envelope envelope;
  envelope.mutable_sender()->set_node_id(7);
  envelope.mutable_membership();
  return envelope;
}
}  // namespace

TEST_CASE("an envelope opens with the key that sealed it and with no other") {
  const std::string bytes = EnvelopeSealer("one key").seal(someEnvelope());
  const auto opened = EnvelopeSealer("one key").open(bytes);
  REQUIRE(isOk(opened));
  CHECK(valueOf(opened).sender().node_id() == 7);
  const auto refused = EnvelopeSealer("another key").open(bytes);
  REQUIRE_FALSE(isOk(refused));
  CHECK(errorOf(refused).kind == ErrorKind::kUnauthorized);
}

TEST_CASE("no cut, flipped or random bytes open") {
  const EnvelopeSealer sealer("one key");
  const std::string bytes = sealer.seal(someEnvelope());
  for (size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(isOk(sealer.open(bytes.substr(0, length))));
  }
  Random random(5);
  for (int round = 0; round < 2000; ++round) {
    std::string damaged = bytes;
    char& byte = damaged[random.below(damaged.size())];
    byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << random.below(8)));
    CHECK_FALSE(isOk(sealer.open(damaged)));
    std::string noise(random.below(200), '\0');
    for (char& noiseByte : noise) {
      noiseByte = static_cast<char>(random.next());
    }
    CHECK_FALSE(isOk(sealer.open(noise)));
  }
}

}  // namespace fernmoor
