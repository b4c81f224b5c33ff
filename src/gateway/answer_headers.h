/// @file
/// Which headers of an answer are passed on: all but those that concern one connection only
/// (RFC 9110, section 7.6.1) and the framing, which the front end states anew.
#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <string>

#include "gateway/caller_channel.h"

namespace fernmoor::gateway {

/// @return whether a header concerns one connection only or frames the body.
bool isConnectionHeader(const std::string& name);

/// @param method of the request; decides whether the answer has a body.
AnswerHead answerHeadOf(const Poco::Net::HTTPResponse& answer, const std::string& method);

}  // namespace fernmoor::gateway
