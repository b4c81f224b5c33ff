/// @file
/// Tests of src/operator_client/client_options.h.
#include "operator_client/client_options.h"

#include <doctest/doctest.h>

namespace fernmoor {

TEST_CASE("a node is named by its URL or its address") {
  CHECK(valueOf(parseNodeUrl("http://127.0.0.1:8080/")).port == 8080);
  CHECK(valueOf(parseNodeUrl("127.0.0.1:8080")).host == "127.0.0.1");
  CHECK_FALSE(isOk(parseNodeUrl("http://localhost:8080")));
}

}  // namespace fernmoor
