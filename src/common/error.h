/// @file
/// Typed errors. Functions that can fail return Result<T>, a std::variant of the value and an
/// Error.
#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <variant>

#include "common/time.h"

namespace fernmoor {

/// What went wrong; the kind decides the HTTP status (see node/http_reply.h).
enum class ErrorKind {
  kInvalidRequest,    ///< Malformed or incomplete input.
  kUnauthorized,      ///< No key, or an unknown one.
  kForbidden,         ///< The key is valid and may not do this.
  kNotFound,          ///< No such model, row, stream or request.
  kTimeout,           ///< The request's deadline passed.
  kCallerTooSlow,     ///< The caller did not send its request in time.
  kConflict,          ///< Another change or claim came first.
  kTooLarge,          ///< A bound on size, depth or count was passed.
  kRateLimited,       ///< The row's rate or concurrency limit is reached.
  kOverloaded,        ///< No engine can serve this in time.
  kDraining,          ///< This node is stopping and takes no new work.
  kUnavailable,       ///< A needed back end, replica group or the platform is away.
  kWrongIncarnation,  ///< The engine restarted since the request was placed.
  kWrongWeights,      ///< The engine serves other weights than the request was placed for.
  kOutcomeUnknown,    ///< A not-repeatable request may or may not have run.
  kQuarantined,       ///< The request crashed several engines and is not sent on.
  kInternal,          ///< A fault of this program.
};

/// Whether the request ran on a back end; kNotRun is said only when that is certain.
enum class RunState { kNotRun, kRan, kUnknown };

/// @return the kind's name as callers see it, e.g. "rate_limited".
const char* toString(ErrorKind kind);
/// @return "not_run", "ran" or "unknown".
const char* toString(RunState state);

/// A failure: its kind, a message that names the remedy, and what the caller may rely on.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;  ///< One sentence on what happened and one on what to do about it.
  RunState runState = RunState::kNotRun;
  std::optional<Duration> retryAfter;  ///< When to come back; none where retrying cannot help.
};

std::ostream& operator<<(std::ostream& out, const Error& error);

template <class T>
using Result = std::variant<T, Error>;

/// Value of a Result whose success carries nothing.
struct Done {};

template <class T>
bool isOk(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}
template <class T>
T& valueOf(Result<T>& result) {
  return std::get<T>(result);
}
template <class T>
const T& valueOf(const Result<T>& result) {
  return std::get<T>(result);
}
template <class T>
T&& valueOf(Result<T>&& result) {
  return std::get<T>(std::move(result));
}
template <class T>
const Error& errorOf(const Result<T>& result) {
  return std::get<Error>(result);
}

}  // namespace fernmoor
