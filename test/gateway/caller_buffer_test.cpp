/// @file
/// Tests of src/gateway/caller_buffer.h: answers that callers read late are kept within bounds.
#include "gateway/caller_buffer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "test/gateway/slow_caller.h"

namespace fernmoor::gateway {

using namespace test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kLittle{1000000};
/// The buffers are full if they are so at this many checks in a row.
constexpr int kFullChecks = 10;
constexpr Duration kBetweenChecks{5000};

std::string numbered(size_t size) {
  std::string text;
  for (int number = 0; text.size() < size; ++number) {
    text += std::to_string(number) + ' ';
  }
  text.resize(size);
  return text;
}

struct BufferWorld {
  explicit BufferWorld(size_t budgetBytes = 0)
      : budget(budgetBytes), buffer(pair.near, budget, metrics, clock) {
    limitSystemBuffers(pair);
  }
  /// Writes until the system's buffers are full and stay full: on a busy machine, the receiving
  /// side takes what it got only later. @return what was written.
  std::string fill() {
    std::string written;
    for (int checks = 0; checks < kFullChecks; ++checks) {
      std::this_thread::sleep_for(kBetweenChecks);
      REQUIRE(buffer.flush());
      while (buffer.size() == 0) {
        written += "x";
        REQUIRE(buffer.write("x"));
        checks = 0;
      }
    }
    return written;
  }
  std::string farReads(size_t count) {
    std::string all(count, ' ');
    size_t got = 0;
    while (got < count) {
      if (pair.far.poll(Poco::Timespan(1000), Poco::Net::Socket::SELECT_READ)) {
        const int some = pair.far.receiveBytes(all.data() + got, static_cast<int>(count - got));
        REQUIRE(some > 0);
        got += static_cast<size_t>(some);
      }
      REQUIRE(buffer.flush());
    }
    return all;
  }
  bool counts(const std::string& bytes) const {
    return holdsText(metrics.serialize(), "fernmoor_slow_caller_bytes " + bytes + "\n");
  }

  fernmoor::test::SocketPair pair;
  LeapingClock clock;
  Metrics metrics;
  ByteBudget budget;
  CallerBuffer buffer;
};

}  // namespace

TEST_CASE("nothing is kept for a caller that reads") {
  // Guards against a copy or a delay of answers that are read in time.
  BufferWorld world;
  REQUIRE(world.buffer.write("event"));
  CHECK(world.buffer.size() == 0);
  CHECK(world.farReads(5) == "event");
}

TEST_CASE("what a caller does not read is delivered whole and in order when it reads") {
  // Guards against blocking, and against lost or exchanged bytes where blocks meet.
  BufferWorld world;
  std::string written = world.fill();
  // The system takes some more after it was full, because it merges what it holds of many writes.
  const std::string more = numbered(200000);
  for (size_t start = 0; world.buffer.size() <= 90000 && start < more.size(); start += 997) {
    const std::string_view piece = std::string_view(more).substr(start, 997);
    REQUIRE(world.buffer.write(piece));
    written += piece;
  }
  CHECK(world.buffer.size() > 90000);
  CHECK(world.farReads(written.size()) == written);
  CHECK(world.buffer.size() == 0);
}

TEST_CASE("a caller beyond the bound of one answer is given up and its memory is released") {
  // Guards against memory that grows with what an engine sends, or that stays in use afterwards.
  BufferWorld world(10 * CallerBuffer::kMaxBytes);
  world.fill();
  const std::string piece(10000, 'y');
  size_t pieces = 0;
  while (world.buffer.write(piece)) {
    ++pieces;
  }
  CHECK(pieces == CallerBuffer::kMaxBytes / piece.size());
  CHECK(world.buffer.isGivenUp());
  CHECK_FALSE(world.buffer.mayGoOn());
  CHECK(world.budget.held() == 0);
  CHECK(world.counts("0"));
}

TEST_CASE("a caller is given up if the budget of the node is used up") {
  // Guards against many slow callers that use all memory together, each within its own bound.
  BufferWorld world(2 * CallerBuffer::kBlockBytes);
  world.fill();
  REQUIRE(world.buffer.write(std::string(2 * CallerBuffer::kBlockBytes, 'y')));
  CHECK(world.budget.held() == 2 * CallerBuffer::kBlockBytes);
  CHECK_FALSE(world.buffer.write(std::string(CallerBuffer::kBlockBytes, 'y')));
  CHECK(world.buffer.isGivenUp());
  CHECK(world.budget.held() == 0);
}

TEST_CASE("memory is released as the caller reads") {
  // Guards against a charge that lasts until the whole answer is read.
  BufferWorld world(CallerBuffer::kMaxBytes);
  const size_t filled = world.fill().size();
  REQUIRE(world.buffer.write(std::string(5 * CallerBuffer::kBlockBytes, 'y')));
  const size_t before = world.budget.held();
  CHECK(before >= 5 * CallerBuffer::kBlockBytes);
  CHECK(world.counts(std::to_string(world.buffer.size())));
  world.farReads(filled + 3 * CallerBuffer::kBlockBytes);
  CHECK(world.budget.held() <= before - 2 * CallerBuffer::kBlockBytes);
}

TEST_CASE("a caller that makes no progress is given up only if memory is short") {
  // Guards against both: memory blocked by idle callers, and answers dropped without need.
  BufferWorld world(10 * CallerBuffer::kBlockBytes);
  world.fill();
  world.clock.leap = kUnresponsiveCallerTimeout - kLittle;
  REQUIRE(world.budget.take(6 * CallerBuffer::kBlockBytes));
  CHECK(world.buffer.mayGoOn());
  world.clock.leap = kUnresponsiveCallerTimeout + kLittle;
  world.budget.giveBack(2 * CallerBuffer::kBlockBytes);
  CHECK(world.buffer.mayGoOn());
  REQUIRE(world.budget.take(2 * CallerBuffer::kBlockBytes));
  CHECK_FALSE(world.buffer.mayGoOn());
  CHECK(world.buffer.isGivenUp());
  world.budget.giveBack(6 * CallerBuffer::kBlockBytes);
}

TEST_CASE("kept bytes are written while another connection is waited for") {
  // Guards against a caller that reads again but gets nothing until its engine sends more.
  BufferWorld world;
  world.fill();
  std::string more = numbered(50000);
  REQUIRE(world.buffer.write(more));
  fernmoor::test::SocketPair engine;
  std::atomic<bool> isOver{false};
  std::thread reader([&] {
    char bytes[4096];
    while (!isOver) {
      if (world.pair.far.poll(Poco::Timespan(10000), Poco::Net::Socket::SELECT_READ)) {
        world.pair.far.receiveBytes(bytes, sizeof(bytes));
      }
    }
  });
  // The reader may be slow on a busy machine; only these waits write.
  for (int waits = 0; waits < 200 && world.buffer.size() > 0; ++waits) {
    const Time start = world.clock.now();
    CHECK(engine.near.waitReadable(kLittle, &world.pair.near) == WaitOutcome::kTimeout);
    CHECK(world.clock.now() - start >= kLittle);
  }
  CHECK(world.buffer.size() == 0);
  isOver = true;
  reader.join();
}

TEST_CASE("a caller that resets its connection ends the wait for another one") {
  // Guards against an engine that works on for a caller that has left while bytes are kept for it.
  BufferWorld world;
  world.fill();
  fernmoor::test::SocketPair engine;
  world.pair.farResets();
  CHECK(engine.near.waitReadable(kLittle, &world.pair.near) == WaitOutcome::kOtherClosed);
}

}  // namespace fernmoor::gateway
