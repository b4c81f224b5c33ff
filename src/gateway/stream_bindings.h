/// @file
/// Interface of the request path to the records of which software version each stream is bound to.
/// A stream that is resumed goes on only at the version that began it, since the events of two
/// versions do not fit together and engines do not check this (version skew).
#pragma once

#include <optional>
#include <string>

#include "common/time.h"

namespace fernmoor::gateway {

/// Where a stream began.
struct StreamBinding {
  std::string pool;      ///< Its engine's.
  std::string software;  ///< Version of its engine's software.
};

/// Streams are named by the id of the request whose caller received the first event. Thread-safe.
class StreamBindings {
 public:
  virtual ~StreamBindings() = default;
  /// Blocks for a tenth of a second at most.
  /// @return nothing if no node that answered has a record of the stream.
  virtual std::optional<StreamBinding> find(const std::string& stream) = 0;
  /// Records the binding before the first event is sent to the caller, and again when the stream is
  /// taken up. Does not block.
  /// @param keep how long callers may still take the stream up.
  virtual void note(const std::string& stream, const StreamBinding& binding, Duration keep) = 0;
};

}  // namespace fernmoor::gateway
