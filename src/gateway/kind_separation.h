/// @file
/// Keeps streams with a maximum gap and short prompts apart from long prompts. Reading a long
/// prompt delays all streams of its engine, so the first k engines of an order that all nodes share
/// serve the rows with short prompts, and the others the rows with long ones. A row is long if its
/// mean prompt takes a sixth of the shortest maximum gap of the pool's rows or more to read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/decay.h"
#include "common/time.h"

namespace fernmoor::gateway {

/// What the number of engines for short rows depends on, besides the observed requests.
struct PoolCapacity {
  uint32_t slotsPerEngine = 0;  ///< 0: unknown.
  size_t usableEngines = 0;
  size_t liveNodes = 1;  ///< Nodes that send requests to the pool, this one included.
};

/// A prompt that was sent to an engine.
struct SentPrompt {
  uint64_t toRead = 0;         ///< Tokens that the engine has to read; if unknown, all of them.
  uint64_t whole = 0;          ///< Tokens, cached ones included.
  double tokensPerSecond = 0;  ///< Speed of its engine; 0: unknown.
};

/// The rule for one pool, from the requests that this node sent to its engines. Nodes may come to
/// different results: an engine near the border then serves both kinds. Not thread-safe.
class KindSeparation {
 public:
  /// A request of the row was sent to an engine.
  /// @param longestPause the row's maximum gap; 0: none.
  void noteSent(const std::string& row, Duration longestPause, const SentPrompt& prompt, Time now);
  /// @param took time from the send to the first event.
  void noteFirstEvent(const std::string& row, uint64_t tokens, Duration took, Time now);
  /// The request left its engine.
  void noteEnded(const std::string& row, Time now);

  /// Computes the result anew. Rows without recent requests are forgotten.
  /// @return whether the number of engines for short rows changed.
  bool update(const PoolCapacity& capacity, Time now);

  /// @return how many engines serve the short rows; nothing: all engines serve all rows.
  std::optional<size_t> shortEngines() const { return shortEngines_; }
  /// @return whether the row was long at the last update; nothing if it was not known then.
  std::optional<bool> isLong(const std::string& row) const;

 private:
  /// Sums over the recent requests of one row; they decay with the same half-life.
  struct RowUse {
    Duration longestPause{0};
    int running = 0;
    double requests = 0;
    double tokens = 0;            ///< To be read.
    double wholeTokens = 0;       ///< Cached ones included.
    double statedTokens = 0;      ///< Of the prompts whose engine's speed was known.
    double statedSeconds = 0;     ///< That these take to read.
    double runningSeconds = 0;    ///< Running requests, integrated over time.
    double firstEventTokens = 0;  ///< Of the requests whose first event arrived.
    double firstEventSeconds = 0;
    std::optional<bool> isLong;
    Time at;

    void fadeTo(Time now);
  };

  /// What the rows need, over all nodes.
  struct Demand {
    double shortSlots = 0;   ///< That streams of short rows occupy.
    double longEngines = 0;  ///< Engines that do nothing but read prompts of long rows.
    double requests = 0;     ///< Of this node.
    bool hasShort = false;
    bool hasLong = false;
  };

  void fadeAll(Time now);
  /// @return the prompt tokens that an engine reads in a second; 0: unknown.
  double tokensPerSecond() const;
  void classifyRows(double tokensPerSecond);
  Demand demand(double tokensPerSecond, size_t nodes) const;
  /// @return whether both sides have enough engines if that many serve the short rows.
  bool isEnough(size_t shortEngines, const Demand& needed, size_t engines) const;
  /// @return the number of engines for short rows from now on; nothing: no separation.
  std::optional<size_t> newShortEngines(const PoolCapacity& capacity) const;

  std::unordered_map<std::string, RowUse> rows_;
  double observedSeconds_ = 0;  ///< Length of the observation; decays as the sums do.
  Time observedTo_;
  bool isObserving_ = false;
  std::optional<size_t> shortEngines_;
};

/// @return the weight of an engine in its pool's order, the greatest first. One multiplication is
///         enough, since incarnations are hashes; it is done for each engine and request.
inline uint64_t orderWeight(uint64_t orderKey, uint64_t engine) {
  return (orderKey ^ engine) * 0x9E3779B97F4A7C15U;
}

/// The engines that serve one of the two kinds of rows.
struct EngineSide {
  uint64_t orderKey = 0;     ///< Hash of the pool's name.
  uint64_t leastWeight = 0;  ///< Of the engines for short rows, by orderWeight().
  bool isShort = false;

  /// @param engine its incarnation.
  bool contains(uint64_t engine) const {
    return (orderWeight(orderKey, engine) >= leastWeight) == isShort;
  }
};

/// @return the weight of the last of the first `count` engines in the pool's order; `count` must be
///         between 1 and the number of engines. Weighs each engine once, without sorting.
uint64_t leastWeightOfFirst(uint64_t orderKey, const std::vector<uint64_t>& engines, size_t count);

}  // namespace fernmoor::gateway
