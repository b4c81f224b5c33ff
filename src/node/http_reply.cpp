#include "node/http_reply.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <istream>
#include <vector>

#include "http/json_text.h"

namespace fernmoor {

namespace {

using Poco::Net::HTTPResponse;

constexpr int64_t kMicrosecondsPerSecond = 1000000;
constexpr std::string_view kBearerPrefix = "Bearer ";

Error tooLarge(int64_t maxBytes) {
  return Error{ErrorKind::kTooLarge,
               "the body is larger than " + std::to_string(maxBytes) +
                   " bytes; shorten the prompt or raise the knob maxBodyBytes.",
               RunState::kNotRun, std::nullopt};
}

Error tooSlow() {
  return Error{ErrorKind::kCallerTooSlow,
               "the body did not arrive in time; send the request again over a faster connection.",
               RunState::kNotRun, std::nullopt};
}

Error brokenBody() {
  return Error{ErrorKind::kInvalidRequest,
               "the body ended before its announced length; send the request again.",
               RunState::kNotRun, std::nullopt};
}

}  // namespace

int httpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
      return HTTPResponse::HTTP_BAD_REQUEST;
    case ErrorKind::kUnauthorized:
      return HTTPResponse::HTTP_UNAUTHORIZED;
    case ErrorKind::kForbidden:
      return HTTPResponse::HTTP_FORBIDDEN;
    case ErrorKind::kNotFound:
      return HTTPResponse::HTTP_NOT_FOUND;
    case ErrorKind::kCallerTooSlow:
      return HTTPResponse::HTTP_REQUEST_TIMEOUT;
    case ErrorKind::kConflict:
      return HTTPResponse::HTTP_CONFLICT;
    case ErrorKind::kTooLarge:
      return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case ErrorKind::kRateLimited:
      return HTTPResponse::HTTP_TOO_MANY_REQUESTS;
    case ErrorKind::kTimeout:
    case ErrorKind::kOverloaded:
    case ErrorKind::kDraining:
    case ErrorKind::kUnavailable:
    case ErrorKind::kWrongIncarnation:
    case ErrorKind::kWrongWeights:
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kQuarantined:
      return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    case ErrorKind::kInternal:
      return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
  }
  return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
}

std::string errorBody(const Error& error, const RequestId& request) {
  std::string body = "{\"error\":{\"kind\":";
  appendJsonString(body, toString(error.kind));
  body += ",\"message\":";
  appendJsonString(body, error.message);
  body += ",\"run\":";
  appendJsonString(body, toString(error.runState));
  body += ",\"request_id\":";
  appendJsonString(body, request.value());
  if (error.retryAfter) {
    body += ",\"retry_after_ms\":" + std::to_string(error.retryAfter->count() / 1000);
  }
  body += "}}";
  return body;
}

void sendError(Poco::Net::HTTPServerResponse& response, const Error& error,
               const RequestId& request) {
  if (!request.empty()) {
    response.set(kRequestIdHeader, request.value());
  }
  if (error.retryAfter) {
    const int64_t seconds =
        (error.retryAfter->count() + kMicrosecondsPerSecond - 1) / kMicrosecondsPerSecond;
    response.set("Retry-After", std::to_string(std::max<int64_t>(1, seconds)));
  }
  if (error.kind == ErrorKind::kUnauthorized) {
    response.set("WWW-Authenticate", "Bearer");
  }
  if (error.kind == ErrorKind::kTooLarge || error.kind == ErrorKind::kCallerTooSlow) {
    response.setKeepAlive(false);
  }
  sendJson(response, errorBody(error, request), httpStatusOf(error.kind));
}

void sendJson(Poco::Net::HTTPServerResponse& response, const std::string& body, int status) {
  response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

Result<std::string> readBody(Poco::Net::HTTPServerRequest& request, int64_t maxBytes,
                             Duration timeout, const Clock& clock) {
  const int64_t announced = request.getContentLength64();
  if (announced > maxBytes) {
    return tooLarge(maxBytes);
  }
  const Time end = clock.now() + timeout;
  std::string body;
  std::vector<char> buffer(16384);
  std::istream& in = request.stream();
  try {
    while (in.good()) {
      in.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
      body.append(buffer.data(), static_cast<size_t>(in.gcount()));
      if (static_cast<int64_t>(body.size()) > maxBytes) {
        return tooLarge(maxBytes);
      }
      if (clock.now() > end) {
        return tooSlow();
      }
    }
  } catch (const Poco::TimeoutException&) {
    return tooSlow();
  } catch (const Poco::Exception&) {
    return brokenBody();
  }
  if (in.bad()) {
    return tooSlow();
  }
  if (announced >= 0 && static_cast<int64_t>(body.size()) < announced) {
    return brokenBody();
  }
  return body;
}

std::string bearerKeyOf(const Poco::Net::HTTPServerRequest& request) {
  const std::string header = request.get("Authorization", "");
  if (header.compare(0, kBearerPrefix.size(), kBearerPrefix) != 0) {
    return "";
  }
  return header.substr(kBearerPrefix.size());
}

}  // namespace fernmoor
