/// @file
/// Calls from one stand-in to another: JSON over HTTP, one connection a call.
#pragma once

#include <string>

#include "common/error.h"
#include "common/time.h"
#include "membership/member.h"
#include "standin/json.h"

namespace fernmoor::standin {

/// One call. Both IP number and port of the address must be given.
struct JsonCall {
  SocketAddress address;
  std::string method = "POST";
  std::string path;
  JsonObject::Ptr body;  ///< Null: none.
  Duration timeout{5000000};
};

/// An answer of any status.
struct JsonAnswer {
  int status = 0;
  JsonObject::Ptr body;
};

/// Blocks until the answer is there. @return kUnavailable where no answer came in time.
Result<JsonAnswer> call(const JsonCall& request);

/// @return the address of "http://127.0.0.1:8000" or "127.0.0.1:8000", or kInvalidRequest.
Result<SocketAddress> parseAddress(const std::string& text);

}  // namespace fernmoor::standin
