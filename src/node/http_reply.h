/// @file
/// Answers that every HTTP handler of the node gives: errors of one shape, JSON, bounded bodies.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "common/error.h"
#include "common/ids.h"
#include "common/time.h"

namespace fernmoor {

/// Header names of the callers' API.
constexpr const char* kRequestIdHeader = "X-Request-Id";
constexpr const char* kEngineHeader = "X-Fernmoor-Engine";
constexpr const char* kPrefixBlocksHeader = "X-Fernmoor-Prefix-Blocks";
constexpr const char* kStreamHeader = "X-Fernmoor-Stream";

/// @return the HTTP status that stands for the kind of error.
int httpStatusOf(ErrorKind kind);

/// @return the error as callers see it: {"error":{"kind","message","run","request_id"}}.
std::string errorBody(const Error& error, const RequestId& request);

/// Sends an error with its status and, where it makes sense, Retry-After in whole seconds.
/// Closes the connection where the request's body may not have been read.
void sendError(Poco::Net::HTTPServerResponse& response, const Error& error,
               const RequestId& request);

/// Sends a JSON text.
void sendJson(Poco::Net::HTTPServerResponse& response, const std::string& body, int status = 200);

/// Reads a request's body.
/// @param maxBytes larger bodies are kTooLarge, told before they are read where the caller says
///                 the length.
/// @param timeout for the whole body; slower callers are kCallerTooSlow.
Result<std::string> readBody(Poco::Net::HTTPServerRequest& request, int64_t maxBytes,
                             Duration timeout, const Clock& clock);

/// @return the bearer key of the Authorization header; empty where there is none.
std::string bearerKeyOf(const Poco::Net::HTTPServerRequest& request);

}  // namespace fernmoor
