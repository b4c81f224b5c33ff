#include "relay/request_life.h"

namespace fernmoor {

const RequestChart& requestChart() {
  static const auto kChart = RequestChart::fromEmbedded(
      "request", {"placing", "attempting", "finished", "refused", "abandoned"},
      {"placed", "attempt_lost", "complete", "refuse", "caller_gone"});
  return kChart;
}

const AttemptChart& attemptChart() {
  static const auto kChart = AttemptChart::fromEmbedded(
      "attempt", {"dispatched", "streaming", "resuming", "ended", "failed", "given_up"},
      {"frame", "end", "interrupted", "refused", "give_up"});
  return kChart;
}

}  // namespace fernmoor
