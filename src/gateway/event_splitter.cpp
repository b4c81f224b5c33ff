#include "gateway/event_splitter.h"

namespace fernmoor::gateway {

namespace {

constexpr std::string_view kIdField = "id:";

std::string_view trimmedLine(std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

std::string idOf(std::string_view line) {
  line.remove_prefix(kIdField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  return std::string(line);
}

}  // namespace

std::optional<RawEvent> EventSplitter::next() {
  while (true) {
    const size_t end = buffer_.find('\n', scanned_);
    if (end == std::string::npos) {
      if (start_ > 0) {
        buffer_.erase(0, start_);
        scanned_ -= start_;
        start_ = 0;
      }
      return std::nullopt;
    }
    const std::string_view line =
        trimmedLine(std::string_view(buffer_).substr(scanned_, end - scanned_));
    scanned_ = end + 1;
    if (line.substr(0, kIdField.size()) == kIdField) {
      id_ = idOf(line);
    }
    if (line.empty()) {
      RawEvent event{buffer_.substr(start_, scanned_ - start_), std::move(id_)};
      id_.clear();
      start_ = scanned_;
      return event;
    }
  }
}

}  // namespace fernmoor::gateway
