/// @file
/// Calls to a node's operator endpoints.
#pragma once

#include <Poco/JSON/Object.h>

#include <string>
#include <variant>

#include "http/http_client.h"
#include "operator_client/client_options.h"

namespace fernmoor {

/// A call that did not succeed.
struct OperatorFailure {
  ExitCode exitCode = ExitCode::kRefused;
  std::string message;             ///< What happened and what to do.
  Poco::JSON::Object::Ptr detail;  ///< The node's error object; null where no node answered.
};

/// The node's answer or the failure.
using OperatorOutcome = std::variant<Poco::JSON::Object::Ptr, OperatorFailure>;

/// Talks to one node. Not thread-safe.
class OperatorConnection {
 public:
  explicit OperatorConnection(const ClientOptions& options) : options_(options) {}

  OperatorOutcome get(const std::string& path);
  OperatorOutcome post(const std::string& path, const Poco::JSON::Object& body);

 private:
  OperatorOutcome call(const std::string& method, const std::string& path, const std::string& body);
  OperatorFailure unreachable(const HttpFailure& failure) const;

  ClientOptions options_;
  HttpClient client_;
};

}  // namespace fernmoor
