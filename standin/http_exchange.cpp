#include "standin/http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <ostream>

namespace fernmoor::standin {

namespace {

constexpr size_t kMaximumBodyBytes = size_t{64} << 20U;
constexpr size_t kReadBytes = size_t{1} << 16U;

Poco::Net::StreamSocket& socketOf(Poco::Net::HTTPServerRequest& request) {
  return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

}  // namespace

int httpStatus(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
      return 400;
    case ErrorKind::kUnauthorized:
      return 401;
    case ErrorKind::kForbidden:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kTimeout:
      return 408;
    case ErrorKind::kConflict:
    case ErrorKind::kWrongIncarnation:
    case ErrorKind::kWrongWeights:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kRateLimited:
      return 429;
    case ErrorKind::kInternal:
      return 500;
    default:
      return 503;
  }
}

JsonObject::Ptr toJson(const Error& error) {
  JsonObject::Ptr body = newObject();
  body->set("kind", std::string(toString(error.kind)));
  body->set("message", error.message);
  body->set("run", std::string(toString(error.runState)));
  return body;
}

HttpExchange::HttpExchange(Poco::Net::HTTPServerRequest& request,
                           Poco::Net::HTTPServerResponse& response)
    : request_(request), response_(response) {
  const Poco::URI uri(request.getURI());
  path_ = uri.getPath();
  uri.getPathSegments(segments_);
  query_ = uri.getQueryParameters();
  readBody();
}

void HttpExchange::readBody() {
  std::string buffer(kReadBytes, '\0');
  std::istream& stream = request_.stream();
  while (stream.good() && body_.size() <= kMaximumBodyBytes) {
    stream.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    body_.append(buffer, 0, static_cast<size_t>(stream.gcount()));
  }
  if (body_.size() > kMaximumBodyBytes) {
    throw Poco::RangeException("The body is larger than a stand-in takes");
  }
}

bool HttpExchange::is(const char* method, const char* path) const {
  return request_.getMethod() == method && path_ == path;
}

std::string HttpExchange::query(const std::string& name) const {
  for (const auto& parameter : query_) {
    if (parameter.first == name) {
      return parameter.second;
    }
  }
  return "";
}

int64_t HttpExchange::queryNumber(const std::string& name, int64_t otherwise) const {
  Poco::Int64 number = otherwise;
  return Poco::NumberParser::tryParse64(query(name), number) ? number : otherwise;
}

Duration HttpExchange::queryWait(const std::string& name, Duration longest) const {
  const std::chrono::milliseconds most = duration_cast<std::chrono::milliseconds>(longest);
  return std::chrono::milliseconds(
      std::clamp<int64_t>(queryNumber(name, 0), 0, static_cast<int64_t>(most.count())));
}

JsonObject::Ptr HttpExchange::jsonBody() {
  const auto parsed = parseObject(body_);
  if (isOk(parsed)) {
    return valueOf(parsed);
  }
  respond(errorOf(parsed));
  return nullptr;
}

void HttpExchange::respond(int status, const JsonObject::Ptr& body) {
  responded_ = true;
  const std::string text = toText(body);
  response_.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response_.setContentType("application/json");
  response_.setContentLength(static_cast<std::streamsize>(text.size()));
  // Flushed here, since Poco's sendBuffer() leaves that to the end of the request, when a crash
  // asked for by this very request may have cut the connection.
  response_.send() << text << std::flush;
}

void HttpExchange::respond(const Error& error) {
  respond(httpStatus(error.kind), toJson(error));
}

void HttpExchange::respond(const Result<Done>& result) {
  if (isOk(result)) {
    respond(newObject());
  } else {
    respond(errorOf(result));
  }
}

void HttpExchange::startEvents() {
  responded_ = true;
  response_.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_OK);
  response_.setContentType("text/event-stream");
  response_.set("Cache-Control", "no-store");
  response_.setChunkedTransferEncoding(true);
  events_ = &response_.send();
}

bool HttpExchange::sendEvent(const JsonObject::Ptr& data) {
  *events_ << "data: ";
  data->stringify(*events_);
  *events_ << "\n\n" << std::flush;
  return events_->good();
}

bool HttpExchange::peerClosed() {
  try {
    Poco::Net::StreamSocket& socket = socketOf(request_);
    return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           socket.available() == 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

void HttpExchange::cut() {
  responded_ = true;
  response_.setKeepAlive(false);
  try {
    socketOf(request_).shutdown();
  } catch (const Poco::Exception&) {
    return;  // The other side was faster.
  }
}

}  // namespace fernmoor::standin
