/// @file
/// Tests of src/gateway/forwarder.h with engines that send bytes without end, until the other side
/// closes.
#include <doctest/doctest.h>

#include <atomic>

#include "gateway/request_run.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway {

using namespace test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kTimeLimit = std::chrono::milliseconds(300);
/// What a request may take beyond its deadline, and the machine's own delays.
constexpr Duration kMostTime = kTimeLimit + kAnswerGrace + std::chrono::seconds(2);
constexpr size_t kBurstBytes = 65536;

std::string burstOf(const std::string& piece) {
  std::string burst = piece;
  while (burst.size() < kBurstBytes) {
    burst += piece;
  }
  return burst;
}

/// Sends `start`, then `piece` again and again until the other side closes.
/// @param pause between two pieces; without one they are sent in bursts.
Script sendWithoutEnd(const std::string& start, const std::string& piece, Duration pause,
                      std::atomic<int>& open) {
  return [=, &open](Poco::Net::StreamSocket& socket, const std::string&) {
    ++open;
    try {
      say(socket, start);
      const std::string bytes = pause.count() == 0 ? burstOf(piece) : piece;
      while (true) {
        say(socket, bytes);
        std::this_thread::sleep_for(pause);
      }
    } catch (const Poco::Exception&) {
      --open;
    }
    return false;
  };
}

struct EndlessForm {
  std::string name;
  std::string start;
  std::string piece;
};

std::vector<EndlessForm> endlessForms() {
  const std::string head = "HTTP/1.1 200 OK\r\nId: r1\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string stream = head + "Content-Type: text/event-stream\r\n";
  const std::string chunkedStream = stream + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"a status line", "HTTP/1.1 200 ", "x"},
      {"fields", head, "X-A: 1\r\n"},
      {"one field", head + "X-A: ", "x"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"a body without a length", head + "\r\n", "x"},
      {"chunks", chunked, "4\r\ndata\r\n"},
      {"a chunk's extension", chunked + "4;", "x"},
      {"digits of a chunk's size", chunked, "0"},
      {"trailers", chunked + "0\r\n", "X-A: 1\r\n"},
      {"an event", stream + "\r\n", "x"},
      {"an event in chunks", chunkedStream, "4\r\ndata\r\n"},
      {"events", stream + "\r\n", "data: 1\n\n"},
      {"blank lines of a stream", stream + "\r\n", "\n"},
  };
}

struct EndlessWorld : ForwarderWorld {
  EndlessWorld() {
    caller.onBody = [this] { caller.body.clear(); };
  }
  /// @return how long it took.
  Duration serveOnce() {
    IncomingRequest made = request();
    made.deadline = made.arrivedAt + kTimeLimit;
    const Time start = clock.now();
    forwarder.serve(std::move(made), caller);
    return clock.now() - start;
  }
};

}  // namespace

TEST_CASE("an answer without end is given up at the deadline and its connection is closed") {
  for (const EndlessForm& form : endlessForms()) {
    for (const Duration pause : {Duration(0), Duration(30000)}) {
      for (const bool isStream : {false, true}) {
        CAPTURE(form.name);
        CAPTURE(pause.count());
        CAPTURE(isStream);
        std::atomic<int> open{0};
        EndlessWorld world;
        world.row.isStream = isStream;
        world.add("a", sendWithoutEnd(form.start, form.piece, pause, open));
        CHECK(world.serveOnce() < kMostTime);
        CHECK_FALSE(world.caller.finished);
        CHECK(world.heldBytes.held() == 0);
        world.scripted.clear();  // Waits for the script.
        CHECK(open == 0);
      }
    }
  }
}

TEST_CASE("an engine whose answers never end is avoided like one whose answers break") {
  for (const EndlessForm& form : endlessForms()) {
    CAPTURE(form.name);
    std::atomic<int> open{0};
    EndlessWorld world;
    world.row.repetition = Repetition::kRepeatable;
    ScriptedBackend& endless =
        world.add("endless", sendWithoutEnd(form.start, form.piece, Duration(0), open));
    world.add("sound", always(answer("200 OK", "the answer")));
    for (int number = 0; number < 24; ++number) {
      world.serveOnce();
    }
    CHECK(endless.requests() >= 1);
    CHECK(endless.requests() <= 6);
    world.scripted.clear();
    CHECK(open == 0);
  }
}

TEST_CASE("an answer that was ready at the deadline is delivered by a process that slept") {
  ForwarderWorld world;
  const std::string body(100000, 'b');
  world.add("a", [&](Poco::Net::StreamSocket& socket, const std::string&) {
    say(socket, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 100000\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    world.clock.leap = Duration(std::chrono::seconds(60));
    say(socket, body);
    return true;
  });
  world.serve();
  CHECK(world.caller.finished);
  CHECK(world.caller.body == body);
}

}  // namespace fernmoor::gateway
