/// @file
/// Tests of src/gateway/forwarder.h with slow consumers: callers that do not read their answers,
/// and engines that cut off answers or do not read requests.
#include <doctest/doctest.h>

#include "test/gateway/slow_caller.h"

namespace fernmoor::gateway {

using namespace test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr size_t kLongEventBytes = 4000;

/// An event of a fixed length, so that a few fill the system's buffers.
std::string longEvent(int id) {
  std::string text = "id: " + std::to_string(id) + "\ndata: ";
  text.resize(kLongEventBytes - 2, 'e');
  return text + "\n\n";
}

std::string longEvents(int first, int last) {
  std::string all;
  for (int id = first; id <= last; ++id) {
    all += longEvent(id);
  }
  return all;
}

struct SlowWorld : ForwarderWorld {
  SlowWorld() : slow(*this) {
    row.isStream = true;
    row.isResumable = true;
  }
  void serveSlow(Duration timeLimit = std::chrono::seconds(20)) {
    IncomingRequest made = request();
    made.deadline = made.arrivedAt + timeLimit;
    forwarder.serve(std::move(made), slow);
  }
  /// Reads an answer of this many bytes, once `when` holds.
  std::thread readLate(size_t bytes, const std::function<bool()>& when, std::string& got) {
    return std::thread([this, bytes, when, &got] {
      while (!when()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
      char buffer[4096];
      int count = 1;
      while (got.size() < bytes && count > 0) {
        count = slow.socket.far.receiveBytes(buffer, sizeof(buffer));
        got.append(buffer, static_cast<size_t>(std::max(0, count)));
      }
    });
  }
  bool countsSlow(int callers) const {
    return holdsText(metrics.serialize(),
                     "fernmoor_slow_callers_total " + std::to_string(callers) + "\n");
  }
  int totalRequests() const {
    int sum = 0;
    for (const auto& each : scripted) {
      sum += each->requests();
    }
    return sum;
  }

  SlowCaller slow;
};

}  // namespace

TEST_CASE("an engine is finished and its connection is free before a slow caller has its answer") {
  // Guards against an engine that waits for the caller, and against an answer lost to a pause.
  SlowWorld world;
  const std::string events = longEvents(1, 40);
  ScriptedBackend& engine =
      world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
        say(socket, streamHead() + chunk(events) + "0\r\n\r\n");
        return true;
      });
  std::string got;
  const auto isEngineFree = [&] { return world.connections.idleCount() == 1; };
  std::thread reader = world.readLate(events.size(), isEngineFree, got);
  world.serveSlow();
  reader.join();
  CHECK(got == events);
  CHECK(world.slow.finished);
  CHECK_FALSE(world.slow.broken);
  CHECK(engine.requests() == 1);
  CHECK(world.heldBytes.held() == 0);
  CHECK(world.countsSlow(0));
}

TEST_CASE("a stream for a caller that never reads is cancelled at the bound") {
  // Guards against an engine that works on for nobody, and against unbounded memory.
  SlowWorld world;
  std::atomic<bool> isCancelled{false};
  world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
    say(socket, streamHead());
    try {
      for (int id = 1; id < 10000; ++id) {
        say(socket, chunk(longEvent(id)));
      }
    } catch (const Poco::Exception&) {
      isCancelled = true;
    }
    return false;
  });
  const Time start = world.clock.now();
  world.serveSlow();
  CHECK(world.clock.now() - start < std::chrono::seconds(3));
  CHECK(world.slow.broken);
  CHECK_FALSE(world.slow.finished);
  CHECK(world.countsSlow(1));
  CHECK(world.heldBytes.held() == 0);
  world.scripted.clear();  // Waits for the script.
  CHECK(isCancelled);
  CHECK(world.quarantine.crashes.empty());
}

TEST_CASE("an answer is kept for its caller until the deadline of the request") {
  // Guards against memory and threads that a caller holds for ever.
  SlowWorld world;
  world.add("a", always(streamHead() + chunk(longEvents(1, 40)) + "0\r\n\r\n"));
  const Time start = world.clock.now();
  world.serveSlow(std::chrono::milliseconds(400));
  CHECK(world.clock.now() - start >= std::chrono::milliseconds(400));
  CHECK(world.slow.broken);
  CHECK(world.countsSlow(1));
  CHECK(world.heldBytes.held() == 0);
}

TEST_CASE("a long answer that is no stream is not cancelled while its caller reads") {
  // Guards against answers beyond the bound that no caller slower than the engine ever gets.
  SlowWorld world;
  world.row.isStream = false;
  const std::string body(3 * CallerBuffer::kMaxBytes, 'b');
  world.add("a", always(answer("200 OK", body)));
  std::string got;
  std::thread reader = world.readLate(
      body.size(), [] { return true; }, got);
  world.serveSlow();
  reader.join();
  CHECK(got == body);
  CHECK(world.slow.finished);
  CHECK(world.heldBytes.held() == 0);
}

TEST_CASE("a stream that is cut off while its caller does not read ends without a second engine") {
  // Guards against crashes ascribed to the engine, and against work for a caller that fetches none.
  SlowWorld world;
  const Script script = [&](Poco::Net::StreamSocket& socket, const std::string&) {
    say(socket, streamHead() + chunk(longEvents(1, 40)));
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    socket.setLinger(true, 0);
    socket.close();
    return false;
  };
  world.add("a", script);
  world.add("b", script);
  world.serveSlow();
  CHECK(world.totalRequests() == 1);
  CHECK(world.slow.broken);
  CHECK_FALSE(world.slow.finished);
  CHECK(world.quarantine.crashes.empty());
  CHECK(world.cutOffRuns.size() == 0);
  CHECK(world.countsSlow(1));
}

TEST_CASE("a stream that this node left unread is resumed, and its engine is not blamed") {
  // Guards against a suspended node that takes the cut-off of its streams for crashes.
  ForwarderWorld world;
  world.row.isStream = true;
  world.row.isResumable = true;
  std::atomic<int> turn{0};
  const Script script = [&](Poco::Net::StreamSocket& socket, const std::string&) {
    if (turn++ > 0) {
      say(socket, streamHead() + chunk(event(2)) + "0\r\n\r\n");
      return true;
    }
    say(socket, streamHead() + chunk(event(1)));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    socket.setLinger(true, 0);
    socket.close();
    return false;
  };
  world.add("a", script);
  world.add("b", script);
  world.caller.onBody = [&] { world.clock.leap = std::chrono::seconds(2); };
  world.serve();
  CHECK(world.caller.body == event(1) + event(2));
  CHECK(world.caller.finished);
  CHECK(world.quarantine.crashes.empty());
  CHECK(world.cutOffRuns.size() == 0);
}

TEST_CASE("an engine that ends while its answer is unread counts as crashed") {
  // Guards against crashes that stay unnoticed because the answer was read late.
  SlowWorld world;
  world.witness = std::make_unique<ScriptedBackend>(always(""));
  BackendListing other;
  other.id = "other";
  other.pool = "other pool";
  other.address = world.witness->address();
  world.backends.update(other, world.clock.now());
  world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
    say(socket, streamHead() + chunk(longEvents(1, 40)));
    std::this_thread::sleep_for(std::chrono::milliseconds(1300));
    world.scripted.front()->stopListening();
    socket.setLinger(true, 0);
    socket.close();
    return false;
  });
  world.serveSlow();
  CHECK(world.slow.broken);
  CHECK(world.quarantine.crashes.size() == 1);
}

}  // namespace fernmoor::gateway
