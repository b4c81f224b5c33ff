/// @file
/// Life cycles of a request and of its attempts, as charts/request.scxml and charts/attempt.scxml
/// state them.
#pragma once

#include "chart/typed_chart.h"

namespace fernmoor {

/// States of charts/request.scxml.
enum class RequestState { kPlacing, kAttempting, kFinished, kRefused, kAbandoned };
/// Events of charts/request.scxml.
enum class RequestEvent { kPlaced, kAttemptLost, kComplete, kRefuse, kCallerGone };
/// States of charts/attempt.scxml.
enum class AttemptState { kDispatched, kStreaming, kResuming, kEnded, kFailed, kGivenUp };
/// Events of charts/attempt.scxml.
enum class AttemptEvent { kFrame, kEnd, kInterrupted, kRefused, kGiveUp };

using RequestChart = TypedChart<RequestState, RequestEvent>;
using AttemptChart = TypedChart<AttemptState, AttemptEvent>;
using RequestLife = TypedChartInstance<RequestState, RequestEvent>;
using AttemptLife = TypedChartInstance<AttemptState, AttemptEvent>;

/// @return the chart compiled into the program; the same object at every call.
const RequestChart& requestChart();
const AttemptChart& attemptChart();

}  // namespace fernmoor
