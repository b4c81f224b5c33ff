/// @file
/// Short authentication tags: the first 16 bytes of HMAC-SHA256.
#pragma once

#include <string>

namespace fernmoor {

/// @return the 16-byte tag of the bytes under the key.
std::string messageTag(const std::string& key, const std::string& bytes);

/// Compares without telling by its time where the first difference is.
bool equalInConstantTime(const std::string& a, const std::string& b);

}  // namespace fernmoor
