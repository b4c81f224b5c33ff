#include "http/header_block.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// State of the line that is being read.
struct LineState {
  bool empty = true;
  bool first = true;
};

bool isForbidden(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  return code == 0 || (code < 0x20 && byte != '\t' && byte != '\r' && byte != '\n');
}

/// Adds a byte. @return kWhole at the empty line, kMalformed, or kNothing to go on.
HeaderOutcome addByte(char byte, LineState& line, std::string& text) {
  if (isForbidden(byte)) {
    return HeaderOutcome::kMalformed;
  }
  const bool afterReturn = !text.empty() && text.back() == '\r';
  if (afterReturn != (byte == '\n')) {
    return HeaderOutcome::kMalformed;
  }
  text += byte;
  if (byte == '\n') {
    const bool whole = line.empty;
    line = LineState{true, false};
    return whole ? HeaderOutcome::kWhole : HeaderOutcome::kNothing;
  }
  if (byte == '\r') {
    return HeaderOutcome::kNothing;
  }
  if (line.empty && !line.first && (byte == ' ' || byte == '\t')) {
    return HeaderOutcome::kMalformed;
  }
  line.empty = false;
  return HeaderOutcome::kNothing;
}

/// Waits until bytes are there. @return kWhole then.
HeaderOutcome awaitBytes(ByteConnection& connection, Time deadline, const Clock& clock,
                         ByteConnection* other, bool started) {
  while (!connection.hasBufferedBytes()) {
    const Time now = clock.now();
    if (now >= deadline) {
      return started ? HeaderOutcome::kTimeout : HeaderOutcome::kNothing;
    }
    // Without another connection it waits for a caller, who need not be told anything in time.
    const Duration left = deadline - now;
    const Duration piece = other == nullptr ? left : std::min(left, kLongestWaitPiece);
    const WaitOutcome waited = connection.waitReadable(piece, other);
    if (waited == WaitOutcome::kOtherClosed) {
      return HeaderOutcome::kOtherClosed;
    }
    if (waited == WaitOutcome::kReadable) {
      return HeaderOutcome::kWhole;
    }
  }
  return HeaderOutcome::kWhole;
}

}  // namespace

HeaderOutcome takeHeader(ByteConnection& connection, const HeaderBounds& bounds, const Clock& clock,
                         ByteConnection* other, std::string& text, Time& firstByteAt) {
  text.clear();
  LineState line;
  Time deadline = bounds.firstByteBy;
  while (text.size() < bounds.maxBytes) {
    const HeaderOutcome ready = awaitBytes(connection, deadline, clock, other, !text.empty());
    if (ready != HeaderOutcome::kWhole) {
      return ready;
    }
    char byte = 0;
    const ReadOutcome read = connection.readByte(byte);
    if (read != ReadOutcome::kBytes) {
      return text.empty() && read == ReadOutcome::kEnd ? HeaderOutcome::kNothing
                                                       : HeaderOutcome::kBroken;
    }
    if (text.empty()) {
      firstByteAt = clock.now();
      deadline = firstByteAt + bounds.wholeWithin;
      if (byte == '\r' || byte == '\n') {
        return HeaderOutcome::kMalformed;
      }
    }
    const HeaderOutcome outcome = addByte(byte, line, text);
    if (outcome != HeaderOutcome::kNothing) {
      return outcome;
    }
  }
  return HeaderOutcome::kTooLarge;
}

}  // namespace fernmoor
