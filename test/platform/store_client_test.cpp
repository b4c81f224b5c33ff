/// @file
/// Tests of platform/store_client.h over loopback.
#include "platform/store_client.h"

#include <doctest/doctest.h>

#include "test/gateway/forwarder_world.h"

namespace fernmoor::platform {

namespace {

using gateway::test::ScriptedBackend;

std::string page(const std::string& name, uint64_t at, bool hasMore) {
  const std::string items = R"({"items":[{"meta":{"name":")" + name + R"(","rev":1},"spec":{}}],)";
  return gateway::test::answer("200 OK", items + R"("more":)" + (hasMore ? "true" : "false") +
                                             R"(,"at":)" + std::to_string(at) + "}");
}

/// Answers the first page, and the page after the entry "a".
class PagedStore {
 public:
  PagedStore(uint64_t firstAt, uint64_t secondAt)
      : backend_(
            [this, firstAt, secondAt](Poco::Net::StreamSocket& socket, const std::string& request) {
              const bool isSecond = request.find("after=a") != std::string::npos;
              {
                const std::lock_guard<std::mutex> lock(mutex_);
                asked_.push_back(request.substr(0, request.find(" HTTP/")));
              }
              gateway::test::say(socket,
                                 isSecond ? page("b", secondAt, false) : page("a", firstAt, true));
              return true;
            }) {}
  SocketAddress address() const { return backend_.address(); }
  std::vector<std::string> asked() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return asked_;
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> asked_;
  ScriptedBackend backend_;
};

}  // namespace

TEST_CASE("a list of several pages is as new as its oldest page") {
  SUBCASE("where the store changed between pages") {
    PagedStore store(100, 103);
    StoreClient client(store.address());
    const Result<StoreList> list = client.list("servers", ListAge::kNewest);
    REQUIRE(isOk(list));
    CHECK(valueOf(list).items.size() == 2);
    CHECK(valueOf(list).revision == 100);
    REQUIRE(store.asked().size() == 2);
    CHECK(store.asked()[0] == "GET /fernmoor/objects/servers");
    CHECK(store.asked()[1] == "GET /fernmoor/objects/servers?after=a");
  }
  SUBCASE("where a later page is an older answer") {
    PagedStore store(100, 90);
    StoreClient client(store.address());
    const Result<StoreList> list = client.list("servers", ListAge::kMayBeOld);
    REQUIRE(isOk(list));
    CHECK(valueOf(list).revision == 90);
    REQUIRE(store.asked().size() == 2);
    CHECK(store.asked()[0] == "GET /fernmoor/objects/servers?stale=1");
    CHECK(store.asked()[1] == "GET /fernmoor/objects/servers?stale=1&after=a");
  }
}

namespace {

/// @return what a store client makes of that list.
Result<StoreText> listed(const std::string& body) {
  ScriptedBackend store(gateway::test::always(gateway::test::answer("200 OK", body)));
  return StoreClient(store.address()).listText("config");
}

const std::string kItems = R"({"items":[{"meta":{"name":"main","rev":7},"spec":{"at":5}}],)";

}  // namespace

TEST_CASE("of a list as text its revision is known apart from the rest, which stays the same") {
  const Result<StoreText> first = listed(kItems + R"("more":false,"at":530})");
  const Result<StoreText> second = listed(kItems + R"("more":false,"at": 531 })" + "\n");
  REQUIRE(isOk(first));
  REQUIRE(isOk(second));
  CHECK(valueOf(first).revision == 530);
  CHECK(valueOf(first).items() == kItems + R"("more":false,)");
  CHECK(valueOf(second).items() == valueOf(first).items());

  const Result<StoreObject> object = findObject(valueOf(first), "main");
  REQUIRE(isOk(object));
  CHECK(valueOf(object).revision == 7);
  CHECK(errorOf(findObject(valueOf(first), "other")).kind == ErrorKind::kNotFound);
}

TEST_CASE("a list that does not end with its revision is read all the same") {
  const Result<StoreText> list = listed(R"({"at":530,)" + kItems.substr(1) + R"("more":false})");
  REQUIRE(isOk(list));
  CHECK(valueOf(list).revision == 530);
  CHECK(isOk(findObject(valueOf(list), "main")));
  CHECK_FALSE(isOk(listed("no list")));
}

}  // namespace fernmoor::platform
