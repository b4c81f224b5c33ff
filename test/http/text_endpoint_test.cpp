/// @file
/// Tests of src/http/text_endpoint.h over loopback.
#include "http/text_endpoint.h"

#include <doctest/doctest.h>

#include "http/http_client.h"

namespace fernmoor {

namespace {

HttpAnswer ask(const TextEndpoint& endpoint, const std::string& path) {
  HttpClient client;
  HttpCall call;
  call.address = SocketAddress{"127.0.0.1", static_cast<uint16_t>(endpoint.port())};
  call.path = path;
  const HttpOutcome outcome = client.call(call);
  REQUIRE(std::holds_alternative<HttpAnswer>(outcome));
  return std::get<HttpAnswer>(outcome);
}

TextEndpointOptions anyPort() {
  TextEndpointOptions options;
  options.listen = SocketAddress{"127.0.0.1", 0};
  options.path = "/state";
  return options;
}

}  // namespace

TEST_CASE("each question is answered with the text of its moment") {
  int asked = 0;
  TextEndpoint endpoint(anyPort(), [&] {
    ++asked;
    return TextAnswer{asked == 1 ? 200 : 503, "question " + std::to_string(asked)};
  });
  endpoint.start();
  const HttpAnswer first = ask(endpoint, "/state");
  CHECK(first.status == 200);
  CHECK(first.body == "question 1");
  const HttpAnswer second = ask(endpoint, "/state");
  CHECK(second.status == 503);
  CHECK(second.body == "question 2");
}

TEST_CASE("other paths are not found, and ask nothing") {
  int asked = 0;
  TextEndpoint endpoint(anyPort(), [&] {
    ++asked;
    return TextAnswer{};
  });
  endpoint.start();
  CHECK(ask(endpoint, "/other").status == 404);
  CHECK(asked == 0);
}

}  // namespace fernmoor
