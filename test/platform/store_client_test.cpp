/// @file
/// Tests of platform/store_client.h over loopback.
#include "platform/store_client.h"

#include <doctest/doctest.h>

#include <atomic>

#include "common/store_revision.h"
#include "platform/list_reader.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::platform {

namespace {

using gateway::test::ScriptedBackend;

std::string page(const std::string& name, uint64_t at, bool hasMore) {
  const std::string items = R"({"items":[{"meta":{"name":")" + name + R"(","rev":1},"spec":{}}],)";
  return gateway::test::answer("200 OK", items + R"("more":)" + (hasMore ? "true" : "false") +
                                             R"(,"at":)" + std::to_string(at) + "}");
}

/// Serves the first page and the page after the entry "a".
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

std::vector<peers::MirrorEntry> toEntry(const StoreObject& object) {
  return {peers::MirrorEntry{object.name, object.revision, false, ""}};
}

Result<EntryList> listed(StoreClient& client, const Clock& clock, ListFreshness age) {
  return ListReader(client, clock, "servers", age, toEntry).read(2);
}

}  // namespace

TEST_CASE("a list of several pages has the revision of its oldest page") {
  const SystemClock clock;
  SUBCASE("if the store changed between pages") {
    PagedStore store(100, 103);
    StoreClient client(store.address(), clock);
    const Result<EntryList> list = listed(client, clock, ListFreshness::kNewest);
    REQUIRE(isOk(list));
    CHECK(valueOf(list).entries.size() == 2);
    CHECK(valueOf(list).revision == 100);
    REQUIRE(store.asked().size() == 2);
    CHECK(store.asked()[0] == "GET /fernmoor/objects/servers");
    CHECK(store.asked()[1] == "GET /fernmoor/objects/servers?after=a");
  }
  SUBCASE("if a later page comes from a staler replica") {
    PagedStore store(100, 90);
    StoreClient client(store.address(), clock);
    const Result<EntryList> list = listed(client, clock, ListFreshness::kMayBeStale);
    REQUIRE(isOk(list));
    CHECK(valueOf(list).revision == 90);
    REQUIRE(store.asked().size() == 2);
    CHECK(store.asked()[0] == "GET /fernmoor/objects/servers?stale=1");
    CHECK(store.asked()[1] == "GET /fernmoor/objects/servers?stale=1&after=a");
  }
}

namespace {

/// @return the list as a store client reads it.
Result<RawStoreList> listed(const std::string& body) {
  const SystemClock clock;
  ScriptedBackend store(gateway::test::always(gateway::test::answer("200 OK", body)));
  return StoreClient(store.address(), clock).listRaw("config");
}

const std::string kItems = R"({"items":[{"meta":{"name":"main","rev":7},"spec":{"at":5}}],)";

}  // namespace

TEST_CASE(
    "the revision of a raw list is separate from its items, which compare equal if unchanged") {
  const Result<RawStoreList> first = listed(kItems + R"("more":false,"at":530})");
  const Result<RawStoreList> second = listed(kItems + R"("more":false,"at": 531 })" + "\n");
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

TEST_CASE("a list whose revision is not its last member is read too") {
  const Result<RawStoreList> list = listed(R"({"at":530,)" + kItems.substr(1) + R"("more":false})");
  REQUIRE(isOk(list));
  CHECK(valueOf(list).revision == 530);
  CHECK(isOk(findObject(valueOf(list), "main")));
  CHECK_FALSE(isOk(listed("no list")));
}

namespace {

/// Gives the same response to all calls, in the era that the test sets.
class EraStore {
 public:
  SocketAddress address() const { return backend_.address(); }
  int calls() const { return backend_.requests(); }
  std::string lastCall() { return backend_.lastRequest(); }
  void answers(const std::string& status, const std::string& body, const std::string& era) {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer_ = gateway::test::answer(status, body, "Store-Era: " + era + "\r\n");
  }

 private:
  std::mutex mutex_;
  std::string answer_;
  ScriptedBackend backend_{[this](Poco::Net::StreamSocket& socket, const std::string&) {
    const std::lock_guard<std::mutex> lock(mutex_);
    gateway::test::say(socket, answer_);
    return true;
  }};
};

const std::string kList =
    R"({"items":[{"meta":{"name":"a","rev":7},"spec":{}}],"more":false,"at":30})";
const std::string kWritten = R"({"meta":{"name":"a","rev":31},"spec":{}})";

}  // namespace

TEST_CASE("revisions include the era of the response, and a later era makes a revision newer") {
  const SystemClock clock;
  EraStore store;
  StoreClient client(store.address(), clock);
  store.answers("200 OK", kList, "4");
  const uint64_t before = valueOf(client.listRaw("config")).revision;
  CHECK(before == storeRevision(4, 30));
  CHECK(client.era().number == 4);
  CHECK(valueOf(client.listPage("servers", ListFreshness::kNewest, "")).items[0].revision ==
        storeRevision(4, 7));
  SUBCASE("an error response names the era too") {
    store.answers("503 Away", "", "5");
    CHECK_FALSE(isOk(client.listRaw("config")));
    CHECK(client.era().number == 5);
  }
  SUBCASE("a watch from a revision of an earlier era reports lost history") {
    store.answers("200 OK", R"({"events":[],"at":35})", "5");
    CHECK(errorOf(client.watch("servers", before, Duration(0))).kind == ErrorKind::kConflict);
    CHECK(isOk(client.watch("servers", storeRevision(5, 30), Duration(0))));
    CHECK(store.lastCall().find("watch=30&") != std::string::npos);
  }
  SUBCASE("an invalid era fails the call") {
    for (const char* era : {"abc", "-1", "", "5.0", "9999999", "5 6"}) {
      store.answers("200 OK", kList, era);
      CHECK_MESSAGE(errorOf(client.listRaw("config")).kind == ErrorKind::kUnavailable, era);
    }
    CHECK(client.era().number == 4);
  }
}

TEST_CASE("a write conditional on a revision of an earlier era is not applied") {
  const SystemClock clock;
  EraStore store;
  StoreClient client(store.address(), clock);
  const Poco::JSON::Object::Ptr spec(new Poco::JSON::Object);
  store.answers("200 OK", kList, "4");
  REQUIRE(isOk(client.listRaw("config")));
  SUBCASE("it is a conflict if the new era is known") {
    store.answers("200 OK", kWritten, "5");
    REQUIRE(isOk(client.get("moves", "a")));
    const Result<WriteOutcome> outcome = client.replace("moves", "a", storeRevision(4, 31), spec);
    REQUIRE(isOk(outcome));
    CHECK(std::get<WriteConflict>(valueOf(outcome)).current.revision == storeRevision(5, 31));
    CHECK(store.lastCall().rfind("GET ", 0) == 0);
  }
  SUBCASE("its outcome is unknown if its own response is the first to name the new era") {
    store.answers("200 OK", kWritten, "5");
    CHECK(errorOf(client.replace("moves", "a", storeRevision(4, 31), spec)).kind ==
          ErrorKind::kUnavailable);
    CHECK(isOk(client.create("moves", "b", spec)));
  }
  SUBCASE("it is applied within one era") {
    store.answers("200 OK", kWritten, "4");
    CHECK(std::get<WriteDone>(valueOf(client.replace("moves", "a", storeRevision(4, 30), spec)))
              .revision == storeRevision(4, 31));
    CHECK(store.lastCall().find("\"rev\":30") != std::string::npos);
  }
}

namespace {

/// Texts in place of one field of an entry that a JSON parser may refuse.
std::vector<std::string> unreadableFields() {
  return {"100000000000000000000000000000",
          "-100000000000000000000000000000",
          "1e999",
          R"("\udcff")",
          R"("\ud800")",
          "\"\xff\xfe\"",
          std::string(40, '[') + std::string(40, ']'),
          "{\"a\":" + std::string(60, '[') + std::string(60, ']') + "}",
          std::string(20000, '[') + std::string(20000, ']'),
          "nonsense"};
}

std::string entry(const std::string& name, const std::string& spec) {
  return R"({"meta":{"name":")" + name + R"(","rev":5},"spec":)" + spec + "}";
}

std::vector<std::string> namesOf(const std::vector<StoreObject>& objects) {
  std::vector<std::string> names;
  names.reserve(objects.size());
  for (const StoreObject& object : objects) {
    names.push_back(object.name);
  }
  return names;
}

/// @return an entry with this text in one field, and with brackets and quotes in another.
std::string foreignEntry(const std::string& field) {
  return entry("b", R"({"text":"}],\"at\":1","service":)" + field + "}");
}

std::string listAnswer(const std::string& items) {
  return gateway::test::answer("200 OK", R"({"items":[)" + items + R"(],"more":true,"at":70})");
}

std::string watchAnswer(const std::string& foreign, const std::string& gone) {
  return gateway::test::answer("200 OK", R"({"events":[{"object":)" + foreign +
                                             R"(},{"gone":true,"object":)" + gone +
                                             R"(}],"at":71})");
}

/// @return items with the text as a revision, as a name, as metadata and in place of an item.
std::string itemsWithout(const std::string& field) {
  return R"({"meta":{"name":"b","rev":)" + field + R"(},"spec":{}},{"meta":{"name":)" + field +
         R"(,"rev":6}},{"meta":)" + field + "}," + field;
}

}  // namespace

TEST_CASE("an entry that no parser takes hides no other entry of a list") {
  const SystemClock clock;
  const std::string sound = entry("a", R"({"slots":4})") + ",";
  const std::string last = "," + entry("c", R"({"slots":6})");
  for (const std::string& field : unreadableFields()) {
    CAPTURE(field.substr(0, 60));
    std::string items = sound;
    items.append(foreignEntry(field)).append(last);
    ScriptedBackend store(gateway::test::always(listAnswer(items)));
    StoreClient client(store.address(), clock);
    const Result<StorePage> page = client.listPage("servers", ListFreshness::kNewest, "");
    REQUIRE(isOk(page));
    CHECK(namesOf(valueOf(page).items) == std::vector<std::string>{"a", "b", "c"});
    CHECK(valueOf(page).items.back().spec->getValue<int>("slots") == 6);
    CHECK(valueOf(page).items[1].revision == 5);
    CHECK(valueOf(page).revision == 70);
    CHECK(valueOf(page).hasMore);
    CHECK(valueOf(page).lastName == "c");
    const Result<RawStoreList> list = client.listRaw("servers");
    REQUIRE(isOk(list));
    CHECK(isOk(findObject(valueOf(list), "c")));
    CHECK(errorOf(findObject(valueOf(list), "b")).kind == ErrorKind::kInvalidRequest);
  }
}

TEST_CASE("an entry that no parser takes hides no other change, and the watch goes on behind it") {
  const SystemClock clock;
  const std::string gone = entry("c", "{}");
  for (const std::string& field : unreadableFields()) {
    CAPTURE(field.substr(0, 60));
    ScriptedBackend store(gateway::test::always(watchAnswer(foreignEntry(field), gone)));
    StoreClient client(store.address(), clock);
    const Result<StoreChanges> changes = client.watch("servers", 70, Duration(0));
    REQUIRE(isOk(changes));
    REQUIRE(valueOf(changes).events.size() == 2);
    CHECK(valueOf(changes).events[0].object.name == "b");
    CHECK_FALSE(valueOf(changes).events[0].isGone);
    CHECK(valueOf(changes).events[1].isGone);
    CHECK(valueOf(changes).revision == 71);
  }
}

TEST_CASE("an entry whose name or revision cannot be read hides no other entry") {
  const SystemClock clock;
  const std::string sound = entry("a", "{}") + ",";
  for (const std::string& field : unreadableFields()) {
    CAPTURE(field.substr(0, 60));
    std::string items = sound;
    items.append(itemsWithout(field));
    ScriptedBackend store(gateway::test::always(listAnswer(items)));
    StoreClient client(store.address(), clock);
    const Result<StorePage> page = client.listPage("servers", ListFreshness::kNewest, "");
    REQUIRE(isOk(page));
    CHECK(namesOf(valueOf(page).items) == std::vector<std::string>{"a", "b"});
    CHECK(valueOf(page).items[1].revision == 70);
  }
}

TEST_CASE("an unreadable entry is counted once for each of its revisions") {
  const SystemClock clock;
  const auto listOf = [](uint64_t revision, uint64_t at) {
    return gateway::test::answer(
        "200 OK", R"({"items":[{"meta":{"name":"b","rev":)" + std::to_string(revision) +
                      R"(},"spec":{"n":1e999}}],"more":false,"at":)" + std::to_string(at) + "}");
  };
  std::atomic<uint64_t> at{70};
  ScriptedBackend store([&](Poco::Net::StreamSocket& socket, const std::string&) {
    gateway::test::say(socket, listOf(at < 72 ? 5 : 72, at));
    return true;
  });
  StoreClient client(store.address(), clock);
  for (; at < 75; ++at) {
    const Result<StorePage> page = client.listPage("servers", ListFreshness::kNewest, "");
    REQUIRE(isOk(page));
    CHECK_FALSE(valueOf(page).items[0].isReadable);
  }
  CHECK(client.unreadableEntries() == 2);
}

}  // namespace fernmoor::platform
