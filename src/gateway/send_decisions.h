/// @file
/// What is decided about a request around its sends, as functions of what is known then: whether it
/// is sent at all, how long its back end may be silent, and what its caller is told in the end.
#pragma once

#include <optional>

#include "common/error.h"
#include "common/time.h"
#include "gateway/backend_choice.h"
#include "gateway/incoming_request.h"

namespace fernmoor::gateway {

/// @return whether a request that was not sent yet can be in time at a back end of which that is
///         expected. One that can't would only make others late that can.
bool canBeInTime(const IncomingRequest& request, const ExpectedTimes& expected, Time now);

/// @param urgency 0 is the most urgent; each step halves the time, so that the more urgent ones
/// find
///        the shorter queue.
/// @param mayBeRefused no back end has it yet: it is to be in time.
/// @return how long a request may wait for an engine that is at the limit that it states.
Duration longestPermitWait(const IncomingRequest& request, int urgency, bool mayBeRefused,
                           Time now);

/// @param expectedFirstEvent from the send; nothing where it is not known or has come.
/// @param most of a back end of which nothing is expected.
/// @return how long a back end may be silent before the request goes elsewhere, if it may.
Duration patienceWith(const IncomingRequest& request, std::optional<Duration> expectedFirstEvent,
                      Duration most);

/// How a request stands that no back end may be tried for any more.
struct GivenUp {
  bool mayHaveRun = false;
  bool isLate = false;  ///< Its deadline has come.
  /// Until its first event, where it was not sent for that wait.
  std::optional<Duration> expectedFirstEvent;
};

/// @return what its caller is told. Only a request that has not run is promised that, with the time
///         to come back.
Error givenUpError(const GivenUp& request);

/// @param comeBack when its caller is to ask again.
/// @return what the caller of a request is told where all engines are at the limits that they
///         state, or rest.
Error unpermittedError(Duration comeBack);

/// @param left for which the request is not sent on.
/// @return what the caller of a request that crashes engines is told.
Error quarantinedError(Duration left);

/// @return what a caller is told whose key this node can't prove to be valid still.
Error unprovenKeyError(bool mayHaveRun);

}  // namespace fernmoor::gateway
