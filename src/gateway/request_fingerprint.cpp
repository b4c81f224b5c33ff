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

}  // namespace

uint64_t fingerprintOf(const IncomingRequest& request) {
  uint64_t hash = hashInto(0, request.tenant ? request.tenant->name : "");
  for (const std::string& field :
       {request.method, request.headers.get("Host", ""), request.target, request.body}) {
    hash = hashInto(hash, field);
  }
  return std::max<uint64_t>(hash, 1);
}

}  // namespace fernmoor::gateway
