/// @file
/// How a back end is spoken to: what the request path needs of an adapter.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <optional>
#include <string>

#include "backends/backend_set.h"
#include "gateway/incoming_request.h"
#include "gateway/part_source.h"

namespace fernmoor::gateway {

/// What is said to a back end beside the caller's own request.
struct SendPlan {
  BackendListing backend;
  uint64_t weightsVersion = 0;  ///< The back end must hold these; 0: unknown.
  std::string cacheScope;       ///< Requests share cached prompts only within one scope.
  PartTransfer transfer;        ///< Where its shared parts are taken from and left.
  int urgency = 0;              ///< 0 is the most urgent.
  std::string resumeAfter;      ///< Id of the last event delivered; empty: from the start.
};

/// What an answer's head tells of the requests a second that its back end takes from all nodes.
enum class LimitMention {
  kUntold,  ///< Nothing: another incarnation answered, or none is named where one may be left out.
  kNone,    ///< There is no limit.
  kStated,  ///< It is AnswerFacts::limit.
  kUnreadable,  ///< It is no decimal number; it neither states nor ends a limit.
};

/// What an answer's head tells.
struct AnswerFacts {
  bool isOurs = false;          ///< It answers the request that was sent.
  bool didNotRun = false;       ///< The back end vouches that the request did not run.
  bool isWrongLife = false;     ///< Another life of the back end, or other weights.
  uint64_t weightsVersion = 0;  ///< 0: not told.
  LimitMention limitMention = LimitMention::kUntold;
  double limit = 0;     ///< Requests a second, 0 or more.
  bool leaves = false;  ///< The back end says that it leaves.
  Duration rest{0};     ///< For which it wants no request of this node; 0: it asks for none.
  bool hasOddWithdrawal = false;  ///< What it says of leaving or rest can't be read.
};

class BackendProtocol {
 public:
  virtual ~BackendProtocol() = default;
  /// @param timeLeft until the request's deadline, from the instant at which the head is sent.
  virtual void addHeaders(const IncomingRequest& request, const SendPlan& plan, Duration timeLeft,
                          Poco::Net::HTTPRequest& head) const = 0;
  virtual AnswerFacts readAnswer(const IncomingRequest& request,
                                 const Poco::Net::HTTPResponse& answer) const = 0;
};

}  // namespace fernmoor::gateway
