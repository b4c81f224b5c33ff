/// @file
/// One HTTP request at a stand-in and its answer. Used by the one thread that serves it.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <string>
#include <vector>

#include "common/error.h"
#include "common/time.h"
#include "standin/json.h"

namespace fernmoor::standin {

class HttpExchange {
 public:
  HttpExchange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

  /// @return true for this method and path, e.g. is("GET", "/v1/state").
  bool is(const char* method, const char* path) const;
  const std::string& method() const { return request_.getMethod(); }
  const std::string& path() const { return path_; }
  /// @return the path's decoded parts, e.g. {"objects", "rows"}.
  const std::vector<std::string>& segments() const { return segments_; }
  std::string query(const std::string& name) const;
  int64_t queryNumber(const std::string& name, int64_t otherwise) const;
  /// @return a wait given in milliseconds, from 0 to the longest one; 0 where it is absent.
  Duration queryWait(const std::string& name, Duration longest) const;
  std::string header(const std::string& name) const { return request_.get(name, ""); }
  const std::string& body() const { return body_; }
  /// @return the body; null where it is no JSON object, which has then been answered.
  JsonObject::Ptr jsonBody();

  void respond(int status, const JsonObject::Ptr& body);
  void respond(const JsonObject::Ptr& body) { respond(200, body); }
  void respond(const Error& error);
  /// Answers {} or the error.
  void respond(const Result<Done>& result);
  bool responded() const { return responded_; }

  /// Begins an answer of server-sent events.
  void startEvents();
  /// Sends one event at once. @return false where the reader is gone.
  bool sendEvent(const JsonObject::Ptr& data);
  /// @return true where the other side has closed the connection.
  bool peerClosed();
  /// Breaks the connection off without a (further) byte.
  void cut();

 private:
  void readBody();

  Poco::Net::HTTPServerRequest& request_;
  Poco::Net::HTTPServerResponse& response_;
  std::string path_;
  std::vector<std::string> segments_;
  Poco::URI::QueryParameters query_;
  std::string body_;
  std::ostream* events_ = nullptr;
  bool responded_ = false;
};

/// @return the HTTP status of an error kind.
int httpStatus(ErrorKind kind);
/// @return the error as the body of an answer.
JsonObject::Ptr toJson(const Error& error);

}  // namespace fernmoor::standin
