/// @file
/// Tests of StoredLedger in platform/engine_protocol.h: the ledger of moves after the store was
/// restored from an old copy.
#include <doctest/doctest.h>

#include "common/store_revision.h"
#include "platform/engine_protocol.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::platform {

namespace {

using gateway::test::ScriptedBackend;

const std::string kWritten = R"({"meta":{"name":"ledger","rev":31},"spec":{"holder":"n1"}})";

/// A store in one era that either holds the ledger or has lost it.
struct LedgerWorld {
  LedgerWorld() { REQUIRE(isOk(ledger.read())); }

  std::string answerTo(const std::string& request) {
    const bool isFound = holdsLedger || request.rfind("POST ", 0) == 0;
    return gateway::test::answer(isFound ? "200 OK" : "404 Lost", isFound ? kWritten : "{}",
                                 "Store-Era: " + era.load() + "\r\n");
  }

  struct Text {
    std::string load() const { return number == 4 ? "4" : "5"; }
    std::atomic<int> number{4};
  };

  Text era;
  std::atomic<bool> holdsLedger{true};
  const SystemClock clock;
  ScriptedBackend backend{[this](Poco::Net::StreamSocket& socket, const std::string& request) {
    gateway::test::say(socket, answerTo(request));
    return true;
  }};
  StoreClient store{backend.address(), clock};
  StoredLedger ledger{store, clock};
};

}  // namespace

TEST_CASE("a ledger that the store lost is read as empty and is written again") {
  LedgerWorld world;
  weights::LedgerView view;
  REQUIRE(view.take(valueOf(world.ledger.read()), world.clock.now()));
  CHECK(view.holder() == "n1");
  world.era.number = 5;
  world.holdsLedger = false;
  REQUIRE_FALSE(
      isOk(world.store.get("weight-moves", "ledger")));  // The response names the next era.

  const Result<weights::LedgerOutcome> refused = world.ledger.write(view.seen().ledger);
  REQUIRE(isOk(refused));
  const weights::Ledger none = std::get<weights::LedgerChanged>(valueOf(refused)).current;
  CHECK(none.holder.empty());
  REQUIRE(view.take(none, world.clock.now()));
  CHECK(valueOf(world.ledger.read()).revision == none.revision);
  CHECK(world.ledger.wentBackBy(none).has_value());

  const Result<weights::LedgerOutcome> written = world.ledger.write(view.seen().ledger);
  REQUIRE(isOk(written));
  CHECK(std::get<weights::LedgerWritten>(valueOf(written)).revision == storeRevision(5, 31));
}

}  // namespace fernmoor::platform
