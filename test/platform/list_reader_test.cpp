/// @file
/// Tests of platform/list_reader.h over loopback.
#include "platform/list_reader.h"

#include <doctest/doctest.h>

#include "common/store_revision.h"
#include "sim/virtual_clock.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::platform {

namespace {

using gateway::test::ScriptedBackend;

constexpr size_t kPages = 4;

/// Serves pages of one object each, "1" to "4", and rejects the calls that the test names.
class PagedStore {
 public:
  PagedStore()
      : backend_([this](Poco::Net::StreamSocket& socket, const std::string& request) {
          gateway::test::say(socket, answerTo(request));
          return true;
        }) {}
  SocketAddress address() const { return backend_.address(); }
  /// Rejects the next call for the page after that object.
  void rejectOnce(size_t after) { rejected_ = after; }
  void restoreFromCopy() { era_ = 2; }
  int calls() const { return backend_.requests(); }

 private:
  std::string answerTo(const std::string& request) {
    const size_t place = request.find("after=");
    const size_t after = place == std::string::npos ? 0 : std::stoul(request.substr(place + 6));
    if (after == rejected_) {
      rejected_ = kNone;
      return gateway::test::answer("429 Too Many Requests", "{}");
    }
    const std::string name = std::to_string(after + 1);
    return gateway::test::answer("200 OK",
                                 R"({"items":[{"meta":{"name":")" + name +
                                     R"(","rev":1},"spec":{}}],"more":)" +
                                     (after + 1 < kPages ? "true" : "false") + R"(,"at":)" +
                                     std::to_string(100 - after) + "}",
                                 "Store-Era: " + std::to_string(era_) + "\r\n");
  }

  static constexpr size_t kNone = 99;
  std::atomic<size_t> rejected_{kNone};
  std::atomic<int> era_{1};
  ScriptedBackend backend_;
};

struct World {
  PagedStore store;
  sim::VirtualClock clock;
  StoreClient client{store.address(), clock};
  ListReader reader{client, clock, "servers", ListFreshness::kNewest,
                    [](const StoreObject& object) {
                      return std::vector<peers::MirrorEntry>{
                          peers::MirrorEntry{object.name, object.revision, false, ""}};
                    }};
};

}  // namespace

TEST_CASE("a page that fails is requested again, not the pages before it") {
  World world;
  world.store.rejectOnce(2);
  CHECK(errorOf(world.reader.read(kPages)).kind == ErrorKind::kRateLimited);
  CHECK(world.store.calls() == 3);
  SUBCASE("soon after") {
    const Result<EntryList> list = world.reader.read(kPages);
    REQUIRE(isOk(list));
    CHECK(valueOf(list).entries.size() == kPages);
    CHECK(valueOf(list).revision == storeRevision(1, 97));  // Of its oldest page.
    CHECK(world.store.calls() == 5);
  }
  SUBCASE("but so late that a watch could not continue from the first page") {
    world.clock.advanceTo(world.clock.now() + ListReader::kMaxListDuration + Duration(1));
    const Result<EntryList> list = world.reader.read(kPages);
    REQUIRE(isOk(list));
    CHECK(valueOf(list).entries.size() == kPages);
    CHECK(world.store.calls() == 7);
  }
  SUBCASE("nor after a restore of the store, whose pages do not belong to them") {
    world.store.restoreFromCopy();
    CHECK(errorOf(world.reader.read(kPages)).kind == ErrorKind::kConflict);
    const Result<EntryList> list = world.reader.read(kPages);
    REQUIRE(isOk(list));
    CHECK(valueOf(list).entries.size() == kPages);
    CHECK(world.store.calls() == 8);
  }
}

TEST_CASE("a list of more pages than allowed is given up") {
  World world;
  CHECK(errorOf(world.reader.read(kPages - 1)).kind == ErrorKind::kTooLarge);
  CHECK(world.store.calls() == 3);
  CHECK(isOk(world.reader.read(kPages)));
}

}  // namespace fernmoor::platform
