#include "operator_client/operator_connection.h"

#include <Poco/Net/HTTPResponse.h>

#include "http/json_text.h"

namespace fernmoor {

namespace {

using Poco::JSON::Object;

constexpr size_t kMaximumShownBytes = 200;
/// A whole table of tens of thousands of rows.
constexpr size_t kMaxAnswerBytes = 64U << 20U;

/// Errors come as {"error": {...}} or, with more detail, as the object itself.
Object::Ptr errorObject(const Object::Ptr& body) {
  const Object::Ptr inner = body->getObject("error");
  return inner.isNull() ? body : inner;
}

OperatorFailure refusal(const HttpAnswer& answer) {
  OperatorFailure failure;
  failure.exitCode = answer.status == Poco::Net::HTTPResponse::HTTP_CONFLICT ? ExitCode::kConflict
                                                                             : ExitCode::kRefused;
  failure.message = "the node answered status " + std::to_string(answer.status) + ": " +
                    answer.body.substr(0, kMaximumShownBytes);
  const auto parsed = parseJsonObject(answer.body);
  if (isOk(parsed)) {
    failure.detail = errorObject(valueOf(parsed));
    const std::string kind = stringMember(*failure.detail, "kind", "error");
    failure.message = kind + ": " + stringMember(*failure.detail, "message", failure.message);
  }
  return failure;
}

}  // namespace

OperatorOutcome OperatorConnection::get(const std::string& path) {
  return call("GET", path, "");
}

OperatorOutcome OperatorConnection::post(const std::string& path, const Object& body) {
  return call("POST", path, toText(body));
}

OperatorOutcome OperatorConnection::call(const std::string& method, const std::string& path,
                                         const std::string& body) {
  HttpCall request;
  request.address = options_.node;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers = {{"Authorization", "Bearer " + options_.operatorKey}};
  request.timeout = options_.timeout;
  request.mostAnswerBytes = kMaxAnswerBytes;
  const HttpOutcome outcome = client_.call(request);
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    return unreachable(*failure);
  }
  const auto& answer = std::get<HttpAnswer>(outcome);
  if (answer.status != Poco::Net::HTTPResponse::HTTP_OK) {
    return refusal(answer);
  }
  const auto parsed = parseJsonObject(answer.body);
  if (!isOk(parsed)) {
    return OperatorFailure{ExitCode::kRefused,
                           "the node's answer is no JSON object; check that --node is a fernmoord.",
                           nullptr};
  }
  return valueOf(parsed);
}

OperatorFailure OperatorConnection::unreachable(const HttpFailure& failure) const {
  const std::string state = failure.progress == CallProgress::kNotSent
                                ? "; nothing was sent. Check --node, or name another node."
                                : "; the call was sent and its outcome is unknown.";
  return OperatorFailure{
      ExitCode::kUnreachable,
      "no answer from " + formatSocketAddress(options_.node) + " (" + failure.detail + ")" + state,
      nullptr};
}

}  // namespace fernmoor
