#include "measure_engine_model.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

#include "common/random.h"
#include "standin/engine_model.h"

namespace fernmoor::standin {

namespace {

constexpr int64_t kRequests = 20000;
constexpr int64_t kPromptBlocks = 64;
constexpr int64_t kSharedBlocks = 48;  ///< Of each prompt, drawn from a few prefixes.
constexpr uint64_t kPrefixes = 200;
constexpr int64_t kAnswerTokens = 235;
constexpr double kRequestsPerSecond = 4;
constexpr uint64_t kSeed = 1;

struct Costs {
  double submitSeconds = 0;
  double advanceSeconds = 0;
  int64_t advances = 0;
  int64_t frames = 0;
};

double secondsSince(std::chrono::steady_clock::time_point begin) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

std::string makePrompt(Random& random, int64_t number) {
  std::string prefix = "prefix " + std::to_string(random.below(kPrefixes));
  prefix.resize(static_cast<size_t>(kSharedBlocks * kBytesPerBlock), '.');
  prefix += "request " + std::to_string(number);
  prefix.resize(static_cast<size_t>(kPromptBlocks * kBytesPerBlock), '.');
  return prefix;
}

void advanceTo(EngineModel& engine, Time time, Costs& costs) {
  const auto begin = std::chrono::steady_clock::now();
  while (const auto next = engine.nextChange()) {
    if (*next > time) {
      break;
    }
    costs.frames += static_cast<int64_t>(engine.advance(*next).size());
    ++costs.advances;
  }
  costs.advanceSeconds += secondsSince(begin);
}

Costs measure(int64_t tokensPerFrame, bool emitText) {
  EngineOptions options;
  options.model = ModelId("m");
  options.tokensPerFrame = tokensPerFrame;
  options.emitText = emitText;
  EngineModel engine(options);
  Random random(kSeed);
  Costs costs;
  Time now;
  for (int64_t number = 0; number < kRequests; ++number) {
    now += fromSeconds(random.exponential(1 / kRequestsPerSecond));
    EngineRequest request;
    request.attempt = AttemptId(std::to_string(number));
    request.tenant = TenantId("t");
    request.model = options.model;
    request.prompt = makePrompt(random, number);
    request.maxTokens = kAnswerTokens;
    advanceTo(engine, now, costs);
    const auto begin = std::chrono::steady_clock::now();
    engine.submit(request, now);
    costs.submitSeconds += secondsSince(begin);
  }
  advanceTo(engine, now + Duration(3600000000LL), costs);
  return costs;
}

void print(const char* name, const Costs& costs) {
  const auto requests = static_cast<double>(kRequests);
  std::printf("%-34s %8.2f %12.2f %10.2f %11.1f %9.1f\n", name,
              costs.submitSeconds / requests * 1e6, costs.advanceSeconds / requests * 1e6,
              costs.advanceSeconds / static_cast<double>(costs.advances) * 1e6,
              static_cast<double>(costs.advances) / requests,
              static_cast<double>(costs.frames) / requests);
}

}  // namespace

int measureEngineModel() {
  std::printf(
      "%lld requests of %lld prompt blocks (%lld shared) and %lld tokens, %.0f a second, seed "
      "%llu\n",
      static_cast<long long>(kRequests), static_cast<long long>(kPromptBlocks),
      static_cast<long long>(kSharedBlocks), static_cast<long long>(kAnswerTokens),
      kRequestsPerSecond, static_cast<unsigned long long>(kSeed));
  std::printf("%-34s %8s %12s %10s %11s %9s\n", "", "submit", "advance per", "advance", "advances",
              "frames");
  std::printf("%-34s %8s %12s %10s %11s %9s\n", "", "us", "request us", "us a call", "a request",
              "a request");
  print("a frame a token, with text", measure(1, true));
  print("a frame for 16 tokens, with text", measure(16, true));
  print("first and last frame, with text", measure(0, true));
  print("first and last frame, no text", measure(0, false));
  return 0;
}

}  // namespace fernmoor::standin
