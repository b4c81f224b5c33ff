/// @file
/// Keys of non-repeatable requests. The text of a key contains its creation time (birth), so every
/// node reads the same birth from a resend without having seen the first send (see docs/CLAIMS.md).
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "common/error.h"
#include "common/ids.h"

namespace fernmoor {

/// Identifies one non-repeatable request across all its resends.
struct ClaimKey {
  TenantId tenant;
  ServiceId service;
  std::string text;               ///< As the caller sent it, e.g. in Idempotency-Key.
  int64_t birthMicroseconds = 0;  ///< Wall clock, since 1970; read from the text.

  friend bool operator==(const ClaimKey& a, const ClaimKey& b) {
    return std::tie(a.tenant, a.service, a.text) == std::tie(b.tenant, b.service, b.text);
  }
  friend bool operator<(const ClaimKey& a, const ClaimKey& b) {
    return std::tie(a.tenant, a.service, a.text) < std::tie(b.tenant, b.service, b.text);
  }
};

/// Parses a caller's key. Accepted forms, each containing a birth: UUID version 7, ULID, and
/// `<unix seconds>-<any>` or `<unix milliseconds>-<any>` (10 or 13 digits).
/// @return an error of kind kInvalidRequest (kNotRun: no node accepts such a key) that names the
/// accepted forms.
Result<ClaimKey> parseClaimKey(const TenantId& tenant, const ServiceId& service,
                               const std::string& text);

/// @return a new key text with the given creation time, for callers without a usable clock.
/// @param randomBits distinguishes keys of the same millisecond.
std::string mintClaimKeyText(int64_t wallMicroseconds, uint64_t randomBits);

/// @return a stable hash of the key, equal on every machine.
uint64_t claimKeyHash(const ClaimKey& key);

/// @return a digest of a request's content, used to detect that a key is reused for another
/// request.
uint64_t claimDigest(const std::string& content);

}  // namespace fernmoor
