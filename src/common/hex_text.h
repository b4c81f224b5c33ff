/// @file
/// The form in which 64-bit hashes are written to logs and to names in the store.
#pragma once

#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <string>

namespace fernmoor {

/// Length of hexText().
inline constexpr size_t kHexTextLength = 16;

/// @return the value as 16 hex digits in lower case.
inline std::string hexText(uint64_t value) {
  char text[kHexTextLength + 1];
  std::snprintf(text, sizeof(text), "%016" PRIx64, value);
  return text;
}

}  // namespace fernmoor
