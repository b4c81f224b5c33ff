/// @file
/// State machines of a request and of its attempts, defined by charts/request.scxml and
/// charts/attempt.scxml.
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
using RequestStateMachine = TypedChartInstance<RequestState, RequestEvent>;
using AttemptStateMachine = TypedChartInstance<AttemptState, AttemptEvent>;

/// @return the chart that is compiled into the program; every call returns the same object.
const RequestChart& requestChart();
const AttemptChart& attemptChart();

}  // namespace fernmoor
