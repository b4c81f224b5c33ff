#include "standin/json_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>

namespace fernmoor::standin {

namespace {
constexpr unsigned kHighestPort = 65535;
}  // namespace

Result<JsonAnswer> call(const JsonCall& request) {
  try {
    Poco::Net::HTTPClientSession session(request.address.host, request.address.port);
    session.setTimeout(Poco::Timespan(request.timeout.count()));
    Poco::Net::HTTPRequest head(request.method, request.path, "HTTP/1.1");
    const std::string text = request.body.isNull() ? "" : toText(request.body);
    head.setContentType("application/json");
    head.setContentLength(static_cast<std::streamsize>(text.size()));
    session.sendRequest(head) << text;
    Poco::Net::HTTPResponse response;
    std::string answerText;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), answerText);
    const auto body = parseObject(answerText);
    if (!isOk(body)) {
      return errorOf(body);
    }
    return JsonAnswer{static_cast<int>(response.getStatus()), valueOf(body)};
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kUnavailable,
                 request.address.host + ":" + std::to_string(request.address.port) +
                     " gave no answer (" + exception.displayText() + "). Try again later.",
                 RunState::kUnknown, std::nullopt};
  }
}

Result<SocketAddress> parseAddress(const std::string& text) {
  const std::string scheme = "http://";
  const std::string rest = text.rfind(scheme, 0) == 0 ? text.substr(scheme.size()) : text;
  const size_t colon = rest.rfind(':');
  unsigned port = 0;
  if (colon == std::string::npos || colon == 0 ||
      !Poco::NumberParser::tryParseUnsigned(rest.substr(colon + 1), port) || port > kHighestPort) {
    return Error{ErrorKind::kInvalidRequest,
                 "\"" + text + "\" is no address. Write it as 127.0.0.1:8000.", RunState::kNotRun,
                 std::nullopt};
  }
  return SocketAddress{rest.substr(0, colon), static_cast<uint16_t>(port)};
}

}  // namespace fernmoor::standin
