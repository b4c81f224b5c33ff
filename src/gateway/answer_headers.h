/// @file
/// Selects the headers of an answer that are forwarded: all but the connection-specific ones
/// (RFC 9110, section 7.6.1) and those for the framing, which the front end sets itself.
#pragma once

#include <Poco/Net/HTTPResponse.h>

#include <string>

#include "gateway/caller_channel.h"

namespace fernmoor::gateway {

/// @return whether a header is specific to one connection or defines the framing of the body.
bool isConnectionHeader(const std::string& name);

/// @param method of the request; decides whether the answer has a body.
AnswerHead answerHeadOf(const Poco::Net::HTTPResponse& answer, const std::string& method);

}  // namespace fernmoor::gateway
