/// @file
/// Splits the bytes of an event stream (text/event-stream) into complete events without changing
/// them, so that a stream that breaks off inside an event can be resumed after the last complete
/// one.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fernmoor::gateway {

/// One complete event, unchanged.
struct RawEvent {
  std::string bytes;  ///< Includes the empty line that ends it.
  std::string id;     ///< Empty if the event has none.
};

/// Not thread-safe.
class EventSplitter {
 public:
  void add(std::string_view bytes) { buffer_.append(bytes); }
  /// @return the next complete event, or std::nullopt until more bytes are added.
  std::optional<RawEvent> next();
  /// @return whether bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return partialBytes() > 0; }
  /// @return the number of buffered bytes of the incomplete event.
  size_t partialBytes() const { return buffer_.size() - start_; }

 private:
  std::string buffer_;
  size_t start_ = 0;    ///< Offset of the current event in `buffer_`.
  size_t scanned_ = 0;  ///< Offset of the first line not scanned yet.
  std::string id_;
};

}  // namespace fernmoor::gateway
