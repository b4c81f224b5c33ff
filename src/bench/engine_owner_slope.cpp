/// @file
/// Cost of owning an engine: memory of its cache view, time of an event, of a question, and of
/// reading events as the engines send them.
#include <memory>
#include <string>

#include "bench/resource_usage.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "common/random.h"
#include "engine/cache_view.h"
#include "http/json_text.h"

namespace fernmoor::bench {

namespace {

constexpr int64_t kViewSizes[] = {1000, 10000, 50000, 100000, 200000};
constexpr size_t kEventsPerBatch = 100;
constexpr size_t kMeasuredBatches = 400;

/// An engine whose cache is full: each new block evicts the oldest one.
class FullCache {
 public:
  explicit FullCache(int64_t blocks) : blocks_(static_cast<uint64_t>(blocks)) {}

  /// @return the events that fill the cache.
  CacheEventBatch fill() {
    CacheEventBatch batch = emptyBatch();
    for (uint64_t block = 0; block < blocks_; ++block) {
      batch.events.push_back(event(CacheEventKind::kStored, next_++));
    }
    return batch;
  }

  /// @return events that replace half as many blocks.
  CacheEventBatch replace(size_t events) {
    CacheEventBatch batch = emptyBatch();
    for (size_t count = 0; count < events / 2; ++count) {
      batch.events.push_back(event(CacheEventKind::kRemoved, next_ - blocks_));
      batch.events.push_back(event(CacheEventKind::kStored, next_++));
    }
    return batch;
  }

  /// @return a chain of blocks that are held.
  BlockChain heldChain(size_t length) const {
    BlockChain chain;
    for (size_t index = 0; index < length; ++index) {
      chain.hashes.push_back(hashOf(next_ - 1 - index % blocks_));
    }
    chain.tokenCount = static_cast<int64_t>(length) * kTokensPerBlock;
    return chain;
  }

 private:
  static BlockHash hashOf(uint64_t number) { return Random(number).next(); }
  static CacheEventBatch emptyBatch() {
    CacheEventBatch batch;
    batch.incarnation = Incarnation(1);
    return batch;
  }
  CacheEvent event(CacheEventKind kind, uint64_t number) {
    return CacheEvent{++sequence_, kind, hashOf(number)};
  }

  uint64_t blocks_;
  uint64_t next_ = 0;
  uint64_t sequence_ = 0;
};

struct FilledView {
  explicit FilledView(int64_t blocks)
      : cache(blocks), view(Incarnation(1), WeightsVersion(1), Knobs()) {
    view.apply(cache.fill(), Time(Duration(1)));
  }
  FullCache cache;
  CacheView view;
};

double viewBytes(int64_t blocks) {
  const auto batch = std::make_unique<CacheEventBatch>(FullCache(blocks).fill());
  const int64_t before = heapBytes();
  CacheView view(Incarnation(1), WeightsVersion(1), Knobs());
  view.apply(*batch, Time(Duration(1)));
  return static_cast<double>(heapBytes() - before);
}

double secondsPerEvent(int64_t blocks) {
  FilledView filled(blocks);
  std::vector<CacheEventBatch> batches;
  batches.reserve(kMeasuredBatches);
  for (size_t count = 0; count < kMeasuredBatches; ++count) {
    batches.push_back(filled.cache.replace(kEventsPerBatch));
  }
  const double before = threadCpuSeconds();
  for (const CacheEventBatch& batch : batches) {
    filled.view.apply(batch, Time(Duration(2)));
  }
  return (threadCpuSeconds() - before) / static_cast<double>(batches.size() * kEventsPerBatch);
}

double secondsPerSampledMatch(int64_t blocks) {
  const FilledView filled(blocks);
  const ChainSample sample =
      sampleChain(filled.cache.heldChain(500), static_cast<size_t>(Knobs().sampledHashes));
  return secondsPerCall([&] { filled.view.match(sample); });
}

std::string eventJson(uint64_t sequence) {
  char text[128];
  std::snprintf(text, sizeof(text), R"({"sequence":%llu,"kind":"stored","block":"%016llx"})",
                static_cast<unsigned long long>(sequence),
                static_cast<unsigned long long>(Random(sequence).next()));
  return text;
}

std::string batchJson(size_t events) {
  std::string text = R"({"incarnation":1,"gap":false,"events":[)";
  for (size_t index = 0; index < events; ++index) {
    text += index > 0 ? "," : "";
    text += eventJson(1000000 + index);
  }
  return text + "]}";
}

/// Reads a batch as the engine client does.
uint64_t readBatch(const std::string& text) {
  const Result<Poco::JSON::Object::Ptr> object = parseJsonObject(text);
  const auto events = valueOf(object)->getArray("events");
  uint64_t sum = 0;
  for (size_t index = 0; index < events->size(); ++index) {
    const auto event = events->getObject(static_cast<unsigned>(index));
    sum += std::stoull(stringMember(*event, "block"), nullptr, 16);
    sum += static_cast<uint64_t>(integerMember(*event, "sequence"));
  }
  return sum;
}

Slope jsonSlope(const std::string& name, const std::string& what, const std::string& unit) {
  Slope slope;
  slope.name = name;
  slope.what = what;
  slope.sizeUnit = "cache events in one answer";
  slope.costUnit = unit;
  slope.mechanism = "EngineClient::events (src/engine/engine_client.cpp), JSON over HTTP";
  slope.targetSize = target::kCacheEventsPerNode;
  return slope;
}

}  // namespace

std::vector<Slope> measureEngineOwner() {
  Slope memory{"view-memory",
               "heap of one engine's cache view",
               "blocks cached by the engine",
               "bytes",
               "CacheView (src/engine/cache_view.cpp)",
               {},
               target::kBlocksPerEngine};
  Slope eventTime = memory;
  eventTime.name = "view-event-time";
  eventTime.what = "processor time of applying one cache event to a full view";
  eventTime.costUnit = "ns";
  Slope matchTime = memory;
  matchTime.name = "view-match-time";
  matchTime.what = "processor time of matching 16 sampled hashes against a view";
  matchTime.costUnit = "ns";
  for (const int64_t blocks : kViewSizes) {
    const auto size = static_cast<double>(blocks);
    memory.points.push_back(Point{size, viewBytes(blocks)});
    eventTime.points.push_back(Point{size, secondsPerEvent(blocks) * 1e9});
    matchTime.points.push_back(Point{size, secondsPerSampledMatch(blocks) * 1e9});
  }
  Slope jsonTime = jsonSlope("event-json-time", "processor time of reading events from JSON", "us");
  Slope jsonBytes = jsonSlope("event-json-bytes", "bytes of the events as JSON", "bytes");
  for (const size_t events : {10U, 100U, 500U, 1000U, 3000U}) {
    const std::string text = batchJson(events);
    const auto size = static_cast<double>(events);
    jsonTime.points.push_back(Point{size, secondsPerCall([&] { readBatch(text); }) * 1e6});
    jsonBytes.points.push_back(Point{size, static_cast<double>(text.size())});
  }
  return {memory, eventTime, matchTime, jsonTime, jsonBytes};
}

}  // namespace fernmoor::bench
