#include "gateway/request_trail.h"

namespace fernmoor::gateway {

namespace {

const char* phraseOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kUnderWay:
      return "was under way";
    case AttemptEnd::kServed:
      return "served it";
    case AttemptEnd::kFailed:
      return "answered with a failure";
    case AttemptEnd::kRejected:
      return "turned it away";
    case AttemptEnd::kNotReached:
      return "was not reached";
    case AttemptEnd::kTooLate:
      return "was reached too late";
    case AttemptEnd::kUnwanted:
      return "was not sent it, as it leaves or rests";
    case AttemptEnd::kUnsendable:
      return "was not sent it, as its name or the tenant's has bytes that no header may have";
    case AttemptEnd::kBroken:
      return "broke off";
    case AttemptEnd::kCrashed:
      return "broke off and takes no connections";
    case AttemptEnd::kNotReachable:
      return "broke off and is not reached, nor are others";
    case AttemptEnd::kSilent:
      return "fell silent";
    case AttemptEnd::kOtherSoftware:
      return "was left, as it may run other software than began the stream";
    case AttemptEnd::kWithdrawn:
      return "had not begun it near the end of the bound and was left";
    case AttemptEnd::kCallerLeft:
      return "was left, as the caller left";
    case AttemptEnd::kNotRead:
      return "was left, as the caller does not read the answer";
    case AttemptEnd::kCutOff:
      return "broke off while its answer was unread";
  }
  return "";
}

std::string milliseconds(Duration time) {
  return std::to_string(time.count() / 1000) + " ms";
}

std::string softwareText(const TrailEntry& entry) {
  return entry.software.empty() ? "" : "software " + entry.software + ", ";
}

std::string weightsText(const TrailEntry& entry) {
  if (entry.weights == 0) {
    return "";
  }
  const std::string bound =
      entry.boundLeft ? "bound ends in " + milliseconds(*entry.boundLeft) + ", " : "";
  return "weights " + std::to_string(entry.weights) + ", lowest " +
         std::to_string(entry.lowestWeights) + ", " + bound;
}

std::string expectationText(const TrailEntry& entry) {
  return entry.expectedFirstEvent
             ? ", first event expected in " + milliseconds(*entry.expectedFirstEvent)
             : "";
}

std::string permitText(const TrailEntry& entry) {
  return entry.permitWait > Duration(0)
             ? ", waited " + milliseconds(entry.permitWait) + " for its permit"
             : "";
}

std::string urgencyText(const TrailEntry& entry) {
  return entry.isSentLate ? ", sent as the least urgent as it would be late" : "";
}

}  // namespace

void RequestTrail::noteTakeUp(const std::string& stream, const std::string& after) {
  takeUp_ =
      "takes up stream " + (stream.empty() ? "without a name" : stream) + " after event " + after;
}

void RequestTrail::end(AttemptEnd end, Duration after) {
  if (!entries_.empty() && entries_.back().end == AttemptEnd::kUnderWay) {
    entries_.back().end = end;
    entries_.back().endedAfter = after;
  }
}

void RequestTrail::noteStatus(int status) {
  if (!entries_.empty()) {
    entries_.back().status = status;
  }
}

void RequestTrail::noteRest(Duration rest) {
  if (!entries_.empty()) {
    entries_.back().rest = rest;
  }
}

void RequestTrail::noteRefusal(const WaitVerdict& verdict, Duration firstEvent) {
  const bool isHopeless = verdict.decision == WaitDecision::kRefuseHopeless;
  refusal_ = std::string("not sent, ") +
             (isHopeless ? "can't be served before its deadline" : "would wait too long") +
             ": first event expected in " + milliseconds(firstEvent) + ", told to return after " +
             milliseconds(verdict.returnAfter);
}

std::string RequestTrail::text() const {
  std::string text = takeUp_;
  for (const TrailEntry& entry : entries_) {
    text += text.empty() ? "" : "; ";
    text += entry.backend + " (" + softwareText(entry) + weightsText(entry) +
            std::to_string(entry.inFlight) + " running, " + std::to_string(entry.pendingTokens) +
            " tokens waiting" + expectationText(entry) + urgencyText(entry) + permitText(entry) +
            ") at " + milliseconds(entry.sentAfter) + " " + phraseOf(entry.end);
    if (entry.status != 0) {
      text += " with " + std::to_string(entry.status);
    }
    if (entry.rest > Duration(0)) {
      text += " and asked for " + milliseconds(entry.rest) + " of rest";
    }
    if (entry.end != AttemptEnd::kUnderWay) {
      text += " after " + milliseconds(entry.endedAfter);
    }
  }
  if (permitDue_) {
    text += std::string(text.empty() ? "" : "; ") + "all at their limits or at rest for " +
            milliseconds(*permitDue_);
  }
  if (!refusal_.empty()) {
    text += (text.empty() ? "" : "; ") + refusal_;
  }
  return text;
}

}  // namespace fernmoor::gateway
