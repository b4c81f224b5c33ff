/// @file
/// Takes the header of one HTTP message off a connection, with bounds on its size and on the time
/// that it may take in all, and refuses what two readers could understand differently (bare line
/// feeds, folded lines). Poco then parses the text.
#pragma once

#include <string>

#include "common/time.h"
#include "http/byte_connection.h"

namespace fernmoor {

/// How taking a header ended.
enum class HeaderOutcome {
  kWhole,       ///< The text holds the header with its empty line.
  kNothing,     ///< The connection ended, or the time was over, before the first byte.
  kTimeout,     ///< The time was over in the middle of the header.
  kTooLarge,    ///< Longer than allowed.
  kMalformed,   ///< Bare line feed, folded line or control characters.
  kBroken,      ///< The connection ended in the middle of the header.
  kOtherClosed  ///< The other connection was closed while we waited.
};

/// Bounds of taking a header.
struct HeaderBounds {
  size_t maxBytes = 16384;
  Time firstByteBy;        ///< When to give up if nothing came.
  Duration wholeWithin{};  ///< Time from the first byte to the last.
};

/// @param text replaced; holds the bytes read, also after a failure.
/// @param firstByteAt set when the first byte was seen.
/// @param other connection whose end ends the wait, or null.
HeaderOutcome takeHeader(ByteConnection& connection, const HeaderBounds& bounds, const Clock& clock,
                         ByteConnection* other, std::string& text, Time& firstByteAt);

}  // namespace fernmoor
