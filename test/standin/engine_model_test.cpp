/// @file
/// Tests of standin/engine_model.h on virtual time.
#include "standin/engine_model.h"

#include <doctest/doctest.h>

#include <map>

#include "standin/answer.h"

namespace fernmoor::standin {

namespace {

Time at(int64_t milliseconds) {
  return Time(Duration(milliseconds * 1000));
}

EngineOptions smallEngine() {
  EngineOptions options;
  options.id = EngineId("e1");
  options.model = ModelId("m");
  options.incarnation = Incarnation(7);
  options.prefillTokensPerSecond = 1000;
  options.tokenInterval = Duration(100000);
  options.eventDelay = Duration(50000);
  return options;
}

EngineRequest requestOf(const std::string& attempt, const std::string& prompt, int64_t maxTokens) {
  EngineRequest request;
  request.attempt = AttemptId(attempt);
  request.tenant = TenantId("ward");
  request.model = ModelId("m");
  request.prompt = prompt;
  request.maxTokens = maxTokens;
  return request;
}

std::string blocksOf(char letter, int64_t blocks) {
  return std::string(static_cast<size_t>(blocks * kBytesPerBlock), letter);
}

/// Runs the engine until it is idle.
std::vector<EngineFrame> finish(EngineModel& engine) {
  std::vector<EngineFrame> all;
  while (const auto next = engine.nextChange()) {
    for (EngineFrame& frame : engine.advance(*next)) {
      all.push_back(std::move(frame));
    }
  }
  return all;
}

std::string textOf(const std::vector<EngineFrame>& frames, const std::string& attempt) {
  std::string text;
  for (const EngineFrame& frame : frames) {
    text += frame.attempt == AttemptId(attempt) ? frame.text : "";
  }
  return text;
}

void expectKind(const Result<Done>& result, ErrorKind kind) {
  REQUIRE_FALSE(isOk(result));
  CHECK_MESSAGE((errorOf(result).kind == kind), errorOf(result));
}

}  // namespace

TEST_CASE("an answer is whole, in order, and ends once, at the rates of the options") {
  EngineModel engine(smallEngine());
  REQUIRE(isOk(engine.submit(requestOf("a", blocksOf('x', 4), 3), at(0))));
  const auto frames = finish(engine);
  REQUIRE(frames.size() == 3);
  CHECK(frames[0].at == at(64));  // 64 prompt tokens at 1000 a second
  CHECK(frames[1].at == at(164));
  CHECK(textOf(frames, "a") == answerText("m", blocksOf('x', 4), 3));
  CHECK_FALSE(frames[1].end);
  CHECK(frames[2].end);
  CHECK(frames[2].position == 2);
}

TEST_CASE("streams share decode steps, and long prefills are cut into chunks between them") {
  EngineModel engine(smallEngine());
  REQUIRE(isOk(engine.submit(requestOf("a", "short", 10), at(0))));
  engine.advance(at(50));
  REQUIRE(isOk(engine.submit(requestOf("b", blocksOf('y', 20), 2), at(50))));
  std::map<std::string, int64_t> count;
  for (const auto& frame : engine.advance(at(390))) {
    count[frame.attempt.value()] += frame.tokens;
  }
  CHECK(count["a"] == 3);  // b's 320 tokens take four steps, in each of which a decodes
  CHECK(count["b"] == 0);
  const auto frames = finish(engine);
  CHECK(textOf(frames, "b") == answerText("m", blocksOf('y', 20), 2));
}

TEST_CASE("more urgent requests overtake waiting ones and those in prefill") {
  auto options = smallEngine();
  options.batchSlots = 2;
  EngineModel engine(options);
  auto late = requestOf("late", blocksOf('z', 20), 1);
  auto urgent = requestOf("urgent", blocksOf('u', 4), 1);
  urgent.priority = 0;
  REQUIRE(isOk(engine.submit(late, at(0))));
  REQUIRE(isOk(engine.submit(urgent, at(1))));
  const auto frames = finish(engine);
  REQUIRE(frames.size() == 2);
  CHECK(frames[0].attempt == AttemptId("urgent"));
}

TEST_CASE("leading blocks that are cached are not computed again, for the same tenant only") {
  EngineModel engine(smallEngine());
  REQUIRE(isOk(engine.submit(requestOf("a", blocksOf('x', 4) + "tail", 1), at(0))));
  finish(engine);
  CHECK(engine.prefilledTokens() == 65);
  REQUIRE(isOk(engine.submit(requestOf("b", blocksOf('x', 4) + "other", 1), at(1000))));
  const auto hit = finish(engine);
  CHECK(hit[0].cachedTokens == 64);
  CHECK(hit[0].promptTokens == 66);
  CHECK(engine.prefilledTokens() == 67);
  auto foreign = requestOf("c", blocksOf('x', 4), 1);
  foreign.tenant = TenantId("other");
  REQUIRE(isOk(engine.submit(foreign, at(2000))));
  CHECK(finish(engine)[0].cachedTokens == 0);
}

TEST_CASE("least recently used blocks go first, a chain from its end, and events tell it late") {
  auto options = smallEngine();
  options.cacheBlocks = 4;
  EngineModel engine(options);
  const auto first = hashPrompt({TenantId("ward"), ModelId("m"), AdapterId(), WeightsVersion(1)},
                                blocksOf('x', 3));
  REQUIRE(isOk(engine.submit(requestOf("a", blocksOf('x', 3), 1), at(0))));
  finish(engine);  // at 48 ms
  CHECK(engine.events(0, at(97)).events.empty());
  CHECK(engine.nextEventVisible(0) == at(98));
  CHECK(engine.events(0, at(98)).events.size() == 3);
  REQUIRE(isOk(engine.submit(requestOf("b", blocksOf('y', 2), 1), at(100))));
  finish(engine);
  CHECK(engine.matchedBlocks(first.hashes) == 2);
  const auto batch = engine.events(3, at(1000));
  REQUIRE(batch.events.size() == 3);
  CHECK_FALSE(batch.gap);
  CHECK(batch.incarnation == Incarnation(7));
  CHECK(batch.events[0].kind == CacheEventKind::kRemoved);
  CHECK(batch.events[0].block == first.hashes[2]);
  CHECK(batch.events[2].kind == CacheEventKind::kStored);
  CHECK(batch.events[2].sequence == 6);
}

TEST_CASE("dropped events leave a gap that the next batch tells") {
  EngineModel engine(smallEngine());
  REQUIRE(isOk(engine.submit(requestOf("a", blocksOf('x', 2), 1), at(0))));
  finish(engine);
  engine.dropEvents(1);
  REQUIRE(isOk(engine.submit(requestOf("b", blocksOf('y', 2), 1), at(100))));
  finish(engine);
  const auto before = engine.events(0, at(1000));
  CHECK(before.events.size() == 2);
  CHECK_FALSE(before.gap);
  const auto after = engine.events(2, at(1000));
  REQUIRE(after.events.size() == 1);
  CHECK(after.gap);
  CHECK(after.events[0].sequence == 4);
}

TEST_CASE("requests for another incarnation, weights or model, and doubled attempts do not run") {
  EngineModel engine(smallEngine());
  auto request = requestOf("a", "p", 1);
  request.placedIncarnation = Incarnation(6);
  expectKind(engine.submit(request, at(0)), ErrorKind::kWrongIncarnation);
  request.placedIncarnation = Incarnation(7);
  request.placedWeights = WeightsVersion(2);
  expectKind(engine.submit(request, at(0)), ErrorKind::kWrongWeights);
  request.placedWeights = WeightsVersion(1);
  request.model = ModelId("n");
  expectKind(engine.submit(request, at(0)), ErrorKind::kNotFound);
  request.model = ModelId("m");
  REQUIRE(isOk(engine.submit(request, at(0))));
  expectKind(engine.submit(request, at(0)), ErrorKind::kConflict);
  CHECK(finish(engine).size() == 1);
}

TEST_CASE("orders with an older token are refused; a newer one loads for its time") {
  EngineModel engine(smallEngine());
  const auto order = [&](uint64_t token, uint64_t weights) {
    return engine.order(FencingToken(token), ModelId("m"), AdapterId("la"), WeightsVersion(weights),
                        EngineRole::kMixed, at(0));
  };
  REQUIRE(isOk(order(5, 2)));
  expectKind(order(4, 1), ErrorKind::kConflict);
  CHECK(engine.weightsVersion() == WeightsVersion(2));
  CHECK(engine.status(at(499)) == EngineStatus::kLoading);
  expectKind(engine.submit(requestOf("a", "p", 1), at(499)), ErrorKind::kUnavailable);
  CHECK(engine.status(at(500)) == EngineStatus::kLive);
  CHECK(isOk(engine.submit(requestOf("a", "p", 1), at(500))));
}

TEST_CASE("an attempt is repeated from a position while it runs and after its end") {
  EngineModel engine(smallEngine());
  const std::string whole = answerText("m", "p", 5);
  REQUIRE(isOk(engine.submit(requestOf("a", "p", 5), at(0))));
  engine.advance(at(201));  // three tokens
  REQUIRE(isOk(engine.resume(AttemptId("a"), 1, at(210))));
  const auto rest = finish(engine);
  CHECK(rest[0].position == 1);
  CHECK(rest[0].tokens == 2);
  CHECK(textOf(rest, "a") == whole.substr(9));
  REQUIRE(isOk(engine.resume(AttemptId("a"), 4, at(900))));
  const auto last = finish(engine);
  REQUIRE(last.size() == 1);
  CHECK(last[0].text == whole.substr(36));
  CHECK(last[0].end);
  expectKind(engine.resume(AttemptId("a"), 6, at(901)), ErrorKind::kInvalidRequest);
  expectKind(engine.resume(AttemptId("b"), 0, at(901)), ErrorKind::kNotFound);
}

TEST_CASE("another engine continues an answer at the delivered position") {
  EngineModel engine(smallEngine());
  auto request = requestOf("a2", "p", 5);
  request.firstPosition = 3;
  REQUIRE(isOk(engine.submit(request, at(0))));
  const auto frames = finish(engine);
  CHECK(frames[0].position == 3);
  CHECK(frames[0].promptTokens == 4);
  CHECK(textOf(frames, "a2") == answerText("m", "p", 5).substr(27));
}

TEST_CASE("a cancelled attempt frees its place at once and says nothing more") {
  auto options = smallEngine();
  options.batchSlots = 1;
  EngineModel engine(options);
  REQUIRE(isOk(engine.submit(requestOf("a", "p", 1000), at(0))));
  REQUIRE(isOk(engine.submit(requestOf("b", "q", 1), at(0))));
  engine.advance(at(150));
  engine.cancel(AttemptId("a"), at(150));
  CHECK_FALSE(engine.isRunning(AttemptId("a")));
  const auto frames = finish(engine);
  REQUIRE(frames.size() == 1);
  CHECK(frames[0].attempt == AttemptId("b"));
  expectKind(engine.resume(AttemptId("a"), 0, at(500)), ErrorKind::kNotFound);
}

TEST_CASE("a crash loses attempts, cache and events and begins a greater incarnation") {
  EngineModel engine(smallEngine());
  REQUIRE(isOk(engine.submit(requestOf("a", blocksOf('x', 2), 50), at(0))));
  engine.advance(at(500));
  engine.crash(at(500));
  CHECK(engine.incarnation() > Incarnation(7));
  CHECK_FALSE(engine.nextChange().has_value());
  const auto batch = engine.events(2, at(1000));
  CHECK(batch.gap);
  REQUIRE(batch.events.size() == 1);
  CHECK(batch.events[0].kind == CacheEventKind::kCleared);
  expectKind(engine.resume(AttemptId("a"), 0, at(500)), ErrorKind::kNotFound);
}

TEST_CASE("a frozen engine produces nothing until it thaws, and loses nothing") {
  EngineModel engine(smallEngine());
  REQUIRE(isOk(engine.submit(requestOf("a", "p", 4), at(0))));
  auto frames = engine.advance(at(110));
  engine.freezeUntil(at(5000));
  CHECK(engine.advance(at(4999)).empty());
  CHECK(engine.nextChange() == at(5000));
  for (auto& frame : finish(engine)) {
    frames.push_back(frame);
  }
  CHECK(textOf(frames, "a") == answerText("m", "p", 4));
}

TEST_CASE("reported load lags by its option") {
  EngineModel engine(smallEngine());
  REQUIRE(isOk(engine.submit(requestOf("a", blocksOf('x', 100), 10), at(1000))));
  CHECK(engine.load(at(1200)).queuedPrefillTokens == 0);
  CHECK(engine.load(at(1260)).queuedPrefillTokens == 1600);
  CHECK(engine.load(at(1260)).measuredAt == at(1010));
}

TEST_CASE("frames of many tokens carry the same answer in fewer frames and the same time") {
  auto options = smallEngine();
  options.tokensPerFrame = 0;
  EngineModel engine(options);
  REQUIRE(isOk(engine.submit(requestOf("a", "p", 40), at(0))));
  REQUIRE(isOk(engine.submit(requestOf("b", "q", 5), at(250))));
  const auto frames = finish(engine);
  CHECK(frames.size() == 4);
  CHECK(textOf(frames, "a") == answerText("m", "p", 40));
  CHECK(textOf(frames, "b") == answerText("m", "q", 5));
  CHECK(frames.back().at == at(3901));  // 1 ms of prefill and 39 steps of 100 ms
}

TEST_CASE("an imported chain is held, exported and matched like a computed one") {
  EngineModel engine(smallEngine());
  const auto chain = hashPrompt({TenantId("ward"), ModelId("m"), AdapterId(), WeightsVersion(1)},
                                blocksOf('x', 3));
  engine.importBlocks(chain.hashes, at(0));
  CHECK(engine.exportBlocks({chain.hashes[1], 42}) == std::vector<BlockHash>{chain.hashes[1]});
  REQUIRE(isOk(engine.submit(requestOf("a", blocksOf('x', 3), 1), at(0))));
  CHECK(finish(engine)[0].cachedTokens == 48);
}

}  // namespace fernmoor::standin
