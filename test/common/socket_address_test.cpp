/// @file
/// Tests of src/common/socket_address.h.
#include "common/socket_address.h"

#include <doctest/doctest.h>

namespace fernmoor {

TEST_CASE("only IP numbers with a port are addresses") {
  for (const std::string text : {"127.0.0.1:80", "[::1]:7100"}) {
    CAPTURE(text);
    REQUIRE(parseSocketAddress(text).has_value());
    CHECK(formatSocketAddress(*parseSocketAddress(text)) == text);
  }
  for (const std::string text : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000",
                                 "::1:80", ":80", "127.0.0.1:8x", ""}) {
    CAPTURE(text);
    CHECK_FALSE(parseSocketAddress(text).has_value());
  }
}

}  // namespace fernmoor
