/// @file
/// Cuts the bytes of an event stream (text/event-stream) into whole events without changing them,
/// so that a stream which breaks off in the middle of an event can go on after the last whole one.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fernmoor::gateway {

/// One whole event as it came.
struct RawEvent {
  std::string bytes;  ///< Includes the empty line that ends it.
  std::string id;     ///< Empty where the event has none.
};

/// Not thread-safe.
class EventSplitter {
 public:
  void add(std::string_view bytes) { waiting_.append(bytes); }
  /// @return the next whole event, or nothing until more bytes come.
  std::optional<RawEvent> next();
  /// @return whether bytes of an event that is not whole wait.
  bool hasPartialEvent() const { return partialBytes() > 0; }
  /// Of the event that is not whole.
  size_t partialBytes() const { return waiting_.size() - start_; }

 private:
  std::string waiting_;
  size_t start_ = 0;    ///< Where the current event begins.
  size_t scanned_ = 0;  ///< Where the first line that was not yet looked at begins.
  std::string id_;
};

}  // namespace fernmoor::gateway
