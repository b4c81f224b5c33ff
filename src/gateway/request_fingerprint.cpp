#include "gateway/request_fingerprint.h"

#include <xxhash.h>

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Hashes one field with the hash of the previous ones as its seed, so that moving bytes across the
/// boundary between two fields changes the result.
uint64_t hashInto(uint64_t seed, const std::string& text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Parts of one prompt, from its beginning, that are watched.
constexpr size_t kMaxWatchedParts = 64;

}  // namespace

uint64_t fingerprintOf(const IncomingRequest& request) {
  uint64_t hash = hashInto(0, request.tenant ? request.tenant->name : "");
  for (const std::string& field :
       {request.method, request.headers.get("Host", ""), request.target, request.body}) {
    hash = hashInto(hash, field);
  }
  return std::max<uint64_t>(hash & ~quarantine::kPartMark, 1);
}

Suspects suspectsOf(const IncomingRequest& request) {
  Suspects suspects(fingerprintOf(request));
  const size_t count = std::min(request.sharedPartCount(), kMaxWatchedParts);
  for (size_t index = 0; index < count; ++index) {
    suspects.parts.push_back(hashInto(0, request.parts[index].id) | quarantine::kPartMark);
  }
  return suspects;
}

}  // namespace fernmoor::gateway
