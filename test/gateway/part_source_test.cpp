/// @file
/// Tests of src/gateway/part_source.h.
#include "gateway/part_source.h"

#include <doctest/doctest.h>

#include <map>

namespace fernmoor::gateway {

namespace {

const SocketAddress kStore{"10.0.0.1", 1};
const SocketAddress kEngine{"10.0.0.2", 2};
const Time kNow{std::chrono::seconds(1000)};

PartHint hint(Duration readAge, std::optional<Duration> storedAge) {
  PartHint made;
  made.engine = 7;
  made.readAt = kNow - readAge;
  made.isStored = storedAge.has_value();
  made.storedAt = kNow - storedAge.value_or(Duration(0));
  return made;
}

}  // namespace

TEST_CASE("the source of a request's shared parts and the store that they are saved to") {
  constexpr std::chrono::milliseconds kRecent(300);
  constexpr std::chrono::seconds kAWhile(3);
  constexpr std::chrono::minutes kLongAgo(1);

  SUBCASE("with an engine that read them 300 ms ago") {
    SUBCASE("that engine is the source, and what the store holds is not saved again") {
      const PartTransfer transfer = planTransfer({hint(kRecent, kAWhile), hint(kRecent, kAWhile)},
                                                 {kStore, kEngine}, false, kNow);
      CHECK(transfer.fetchFrom == kEngine);
      CHECK_FALSE(transfer.saveTo);
    }
    SUBCASE("what the store lacks is saved, also if that is only one of the parts") {
      const PartTransfer transfer = planTransfer(
          {hint(kRecent, std::nullopt), hint(kRecent, kAWhile)}, {kStore, kEngine}, false, kNow);
      CHECK(transfer.fetchFrom == kEngine);
      CHECK(transfer.saveTo == kStore);
    }
  }
  SUBCASE("with an engine that read them some seconds ago and may have dropped them") {
    SUBCASE("the store is the source where it holds them") {
      const PartTransfer transfer =
          planTransfer({hint(kAWhile, kAWhile)}, {kStore, kEngine}, false, kNow);
      CHECK(transfer.fetchFrom == kStore);
    }
    SUBCASE("the engine is asked where the store does not hold them any more") {
      const PartTransfer transfer =
          planTransfer({hint(kAWhile, kLongAgo)}, {kStore, kEngine}, false, kNow);
      CHECK(transfer.fetchFrom == kEngine);
      CHECK(transfer.saveTo == kStore);
    }
    SUBCASE("the engine is asked where there is no store") {
      const PartTransfer transfer =
          planTransfer({hint(kAWhile, kAWhile)}, {std::nullopt, kEngine}, false, kNow);
      CHECK(transfer.fetchFrom == kEngine);
      CHECK_FALSE(transfer.saveTo);
    }
  }
  SUBCASE("while the store is slow") {
    SUBCASE("an engine that may have dropped them is still the source") {
      const PartTransfer transfer =
          planTransfer({hint(kAWhile, kAWhile)}, {kStore, kEngine}, true, kNow);
      CHECK(transfer.fetchFrom == kEngine);
      CHECK(transfer.source == PartSource::kUncertain);
    }
    SUBCASE("the store is asked where no engine is known") {
      const PartTransfer transfer =
          planTransfer({hint(kAWhile, kAWhile)}, {kStore, std::nullopt}, true, kNow);
      CHECK(transfer.fetchFrom == kStore);
      CHECK(transfer.source == PartSource::kStore);
    }
  }
  SUBCASE("an engine that read them long ago is not asked") {
    const PartTransfer transfer =
        planTransfer({hint(kLongAgo, std::nullopt)}, {kStore, kEngine}, false, kNow);
    CHECK(transfer.fetchFrom == kStore);
  }
}

TEST_CASE("the choice of a store for a prompt") {
  constexpr size_t kPrompts = 600;
  const std::vector<CacheStore> stores = {CacheStore{SocketAddress{"10.0.0.1", 1}},
                                          CacheStore{SocketAddress{"10.0.0.2", 1}},
                                          CacheStore{SocketAddress{"10.0.0.3", 1}}};
  const auto storeOfPrompt = [](size_t prompt, const std::vector<CacheStore>& among) {
    return *storeOf(partKeyOf("shared.v1", std::to_string(prompt)), among);
  };

  SUBCASE("each store keeps its share of them") {
    std::map<std::string, size_t> kept;
    for (size_t prompt = 0; prompt < kPrompts; ++prompt) {
      ++kept[storeOfPrompt(prompt, stores).host];
    }
    REQUIRE(kept.size() == stores.size());
    for (const auto& [host, count] : kept) {
      CHECK(count > kPrompts / stores.size() / 2);
    }
  }
  SUBCASE("a node that reads the stores in another order finds the same one") {
    const std::vector<CacheStore> reversed(stores.rbegin(), stores.rend());
    for (size_t prompt = 0; prompt < kPrompts; ++prompt) {
      CHECK(storeOfPrompt(prompt, stores) == storeOfPrompt(prompt, reversed));
    }
  }
  SUBCASE("removing a store moves only the prompts that it kept") {
    const std::vector<CacheStore> fewer(stores.begin(), stores.end() - 1);
    for (size_t prompt = 0; prompt < kPrompts; ++prompt) {
      if (storeOfPrompt(prompt, stores) != stores.back().address) {
        CHECK(storeOfPrompt(prompt, stores) == storeOfPrompt(prompt, fewer));
      }
    }
  }
  SUBCASE("no store is chosen if there is none") {
    CHECK_FALSE(storeOf(partKeyOf("shared.v1", "1"), {}));
  }
}

}  // namespace fernmoor::gateway
