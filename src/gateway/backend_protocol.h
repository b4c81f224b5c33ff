/// @file
/// Interface of the request path to an adapter for a back end's protocol.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <optional>
#include <string>

#include "backends/backend_set.h"
#include "gateway/incoming_request.h"
#include "gateway/part_source.h"

namespace fernmoor::gateway {

/// What is sent to a back end in addition to the caller's request.
struct SendPlan {
  BackendListing backend;
  uint64_t weightsVersion = 0;  ///< The back end must hold this version; 0: unknown.
  std::string cacheScope;       ///< Cached prompts are shared within one scope only.
  PartTransfer transfer;        ///< Where its shared parts are fetched from and saved to.
  int urgency = 0;              ///< 0 is the most urgent.
  std::string resumeAfter;      ///< Id of the last event delivered; empty: start of stream.
  int earlierRuns = 0;          ///< Back ends that may have run the request before.
  /// For another node: the software version that the stream is bound to; nothing: not bound yet.
  std::optional<std::string> boundSoftware;
};

/// How the head of an answer states a number that concerns all nodes: the limit of its back end, in
/// requests per second, or the rejections per second that it survives.
enum class LimitMention {
  kUntold,      ///< Nothing: another incarnation answered, or none is named where it is optional.
  kNone,        ///< There is no such number.
  kStated,      ///< It is given.
  kUnreadable,  ///< Not a number of the expected form; neither sets nor clears it.
};

/// Contents of the head of an answer.
struct AnswerFacts {
  bool isOurs = false;              ///< It answers the request that was sent.
  bool didNotRun = false;           ///< The back end states that the request did not run.
  bool lackedRoom = false;          ///< It did not run because the back end was full.
  bool isWrongIncarnation = false;  ///< Answered by another incarnation, or with other weights.
  uint64_t weightsVersion = 0;      ///< 0: not stated.
  LimitMention limitMention = LimitMention::kUntold;
  double limit = 0;  ///< Requests per second, 0 or more.
  /// Whether it states how many rejections per second it survives, and how many.
  LimitMention brittlenessMention = LimitMention::kUntold;
  double survivedRejections = 0;
  bool leaves = false;  ///< The back end announces that it is shutting down.
  Duration rest{0};     ///< Time for which it wants no request from this node; 0: none.
  /// Software version that the stream is bound to, as another node states it.
  std::optional<std::string> software;
  bool hasUnreadableWithdrawal = false;  ///< Its shutdown notice or rest cannot be parsed.
};

class BackendProtocol {
 public:
  virtual ~BackendProtocol() = default;
  /// @param timeLeft time until the request's deadline when the head is sent.
  virtual void addHeaders(const IncomingRequest& request, const SendPlan& plan, Duration timeLeft,
                          Poco::Net::HTTPRequest& head) const = 0;
  virtual AnswerFacts readAnswer(const IncomingRequest& request,
                                 const Poco::Net::HTTPResponse& answer) const = 0;
};

}  // namespace fernmoor::gateway
