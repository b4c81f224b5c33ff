/// @file
/// Tests of src/node/stream_token.h.
#include "node/stream_token.h"

#include <doctest/doctest.h>

namespace fernmoor {

namespace {
StreamToken someToken() {
  StreamToken token;
  token.tenant = TenantId("ward");
  token.attempt = AttemptId("r.1");
  token.placement.engine = EngineId("e1");
  token.placement.address = SocketAddress{"127.0.0.1", 9000};
  token.placement.incarnation = Incarnation(5);
  return token;
}
}  // namespace

TEST_CASE("a token opens for its own tenant only") {
  const StreamTokenSealer sealer("key");
  const std::string text = sealer.seal(someToken());
  const auto opened = sealer.open(text, TenantId("ward"));
  REQUIRE(isOk(opened));
  CHECK(valueOf(opened).attempt == AttemptId("r.1"));
  CHECK(valueOf(opened).placement.address == SocketAddress{"127.0.0.1", 9000});
  CHECK(valueOf(opened).placement.incarnation == Incarnation(5));
  const auto foreign = sealer.open(text, TenantId("other"));
  REQUIRE_FALSE(isOk(foreign));
  CHECK(errorOf(foreign).kind == ErrorKind::kNotFound);
}

TEST_CASE("a token that was changed, cut or sealed with another key does not open") {
  const StreamTokenSealer sealer("key");
  const std::string text = sealer.seal(someToken());
  CHECK_FALSE(isOk(StreamTokenSealer("other").open(text, TenantId("ward"))));
  for (size_t i = 0; i < text.size(); ++i) {
    std::string changed = text;
    changed[i] = changed[i] == 'A' ? 'B' : 'A';
    // The last character's unused bits may differ without changing the bytes.
    if (i + 1 < text.size()) {
      CHECK_FALSE(isOk(sealer.open(changed, TenantId("ward"))));
    }
    CHECK_FALSE(isOk(sealer.open(text.substr(0, i), TenantId("ward"))));
  }
}

}  // namespace fernmoor
