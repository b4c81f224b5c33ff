/// @file
/// How fast an engine is now, compared with its own long-term mean, and how many prompt tokens it
/// may read while streams with a limit on their pauses run there.
///
/// The load it answers: engines that are slow for 0.6 s at a time, which estimates over several
/// seconds do not show, and prompts that delay the events of running streams.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

#include "common/time.h"
#include "gateway/engine_loads.h"

namespace fernmoor::gateway {

struct PaceStanding {
  double slowness = 1;     ///< Present times as a multiple of the usual ones; at least 1.
  bool isOutlier = false;  ///< It is clearly slower than usual.
};

/// Speed of one engine. Not thread-safe.
class EnginePace {
 public:
  static constexpr uint64_t kUnboundedReading = std::numeric_limits<uint64_t>::max();

  /// A stream ended.
  void noteStream(const StreamPace& stream, Time now);
  /// Prompts were read.
  /// @param tokens that the engine read in that time, those of prompts ahead included.
  void noteReading(uint64_t tokens, Duration time, Time now);

  PaceStanding standing(Time now) const;
  /// @return the present time for an event of a stream; 0: unknown.
  double secondsPerEvent(Time now) const;
  /// @return the present prefill speed; 0: unknown.
  double tokensPerSecond(Time now) const;
  /// Bounds the tokens in prefill, so that no event of a stream takes longer than its limit.
  /// @param shortestPause shortest limit of the streams that run there; 0: none has one.
  /// @param readingTokens that are in prefill there.
  /// @param promptTokens of the prompt to be added, less what is cached.
  /// @return the bound for readingTokens + promptTokens. It admits any prompt while none is read.
  uint64_t maxReadingTokens(Duration shortestPause, uint64_t readingTokens, uint64_t promptTokens,
                            Time now) const;

 private:
  /// Sums that fade alike.
  struct Sums {
    double units = 0;
    double seconds = 0;
    double observations = 0;
    Time at;

    void add(double newUnits, double newSeconds, Time now, Duration halfLife);
    Sums fadedTo(Time now, Duration halfLife) const;
    double secondsPerUnit() const { return units > 0 ? seconds / units : 0; }
  };

  /// One kind of measurement.
  struct Measure {
    Sums recent;
    Sums usual;

    double usualSeconds() const;
    double presentSeconds(Time now) const;
    double add(double units, double seconds, Time now);
  };

  void noteRatio(double ratio, double worst, double weight, Time now);
  double suspicionAt(Time now) const;

  Measure events_;
  Measure pauses_;
  Measure reading_;
  Sums ratios_;           ///< Observed times as multiples of the usual ones.
  double suspicion_ = 0;  ///< Statistic of the cumulative sum test.
  Sums run_;              ///< Ratios since the statistic left 0.
  Time suspectedAt_;
};

}  // namespace fernmoor::gateway
