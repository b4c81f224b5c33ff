#include "claim/claim_key.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <optional>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

constexpr size_t kMaximumKeyBytes = 128;
constexpr size_t kUuidLength = 36;
constexpr size_t kUuidVersionPosition = 14;
constexpr size_t kUlidLength = 26;
constexpr size_t kUlidTimeLength = 10;
constexpr size_t kSecondsDigits = 10;
constexpr size_t kMillisecondsDigits = 13;
constexpr int64_t kMicrosecondsPerMillisecond = 1000;
constexpr int64_t kMicrosecondsPerSecond = 1000000;
constexpr const char* kCrockfordDigits = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";

bool isPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char character) { return character > 0x20 && character < 0x7f; });
}

std::optional<int64_t> uuidBirth(const std::string& text) {
  if (text.size() != kUuidLength || text[kUuidVersionPosition] != '7') {
    return std::nullopt;
  }
  std::string digits;
  for (size_t position = 0; position < kUuidLength; ++position) {
    const bool wantsDash = position == 8 || position == 13 || position == 18 || position == 23;
    const bool isHex = std::isxdigit(static_cast<unsigned char>(text[position])) != 0;
    if (wantsDash ? text[position] != '-' : !isHex) {
      return std::nullopt;
    }
    if (!wantsDash) {
      digits.push_back(text[position]);
    }
  }
  constexpr size_t kTimeDigits = 12;
  return std::stoll(digits.substr(0, kTimeDigits), nullptr, 16) * kMicrosecondsPerMillisecond;
}

std::optional<int64_t> ulidBirth(const std::string& text) {
  if (text.size() != kUlidLength || text[0] > '7') {
    return std::nullopt;
  }
  const std::string digits = kCrockfordDigits;
  int64_t milliseconds = 0;
  for (size_t position = 0; position < kUlidLength; ++position) {
    const int upper = std::toupper(static_cast<unsigned char>(text[position]));
    const size_t value = digits.find(static_cast<char>(upper));
    if (value == std::string::npos) {
      return std::nullopt;
    }
    if (position < kUlidTimeLength) {
      milliseconds = milliseconds * 32 + static_cast<int64_t>(value);
    }
  }
  return milliseconds * kMicrosecondsPerMillisecond;
}

std::optional<int64_t> decimalBirth(const std::string& text) {
  const size_t dash = text.find('-');
  if ((dash != kSecondsDigits && dash != kMillisecondsDigits) || dash + 1 == text.size()) {
    return std::nullopt;
  }
  const std::string digits = text.substr(0, dash);
  if (!std::all_of(digits.begin(), digits.end(),
                   [](unsigned char character) { return std::isdigit(character) != 0; })) {
    return std::nullopt;
  }
  const int64_t unit =
      dash == kSecondsDigits ? kMicrosecondsPerSecond : kMicrosecondsPerMillisecond;
  return std::stoll(digits) * unit;
}

std::optional<int64_t> birthOf(const std::string& text) {
  if (const auto birth = uuidBirth(text)) {
    return birth;
  }
  if (const auto birth = ulidBirth(text)) {
    return birth;
  }
  return decimalBirth(text);
}

}  // namespace

Result<ClaimKey> parseClaimKey(const TenantId& tenant, const ServiceId& service,
                               const std::string& text) {
  if (text.empty() || text.size() > kMaximumKeyBytes || !isPrintable(text)) {
    return Error{ErrorKind::kInvalidRequest,
                 "The idempotency key is empty, longer than 128 bytes, or not printable ASCII. "
                 "Send a UUID version 7, a ULID, or <unix seconds>-<unique text>.",
                 RunState::kNotRun, std::nullopt};
  }
  const std::optional<int64_t> birth = birthOf(text);
  if (!birth) {
    return Error{
        ErrorKind::kInvalidRequest,
        "The idempotency key does not contain its creation time, so a lost record could not "
        "be distinguished from a new request. Send a UUID version 7, a ULID, or "
        "<unix seconds>-<unique text>.",
        RunState::kNotRun, std::nullopt};
  }
  return ClaimKey{tenant, service, text, *birth};
}

std::string mintClaimKeyText(int64_t wallMicroseconds, uint64_t randomBits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%013lld-%016llx",
                static_cast<long long>(wallMicroseconds / kMicrosecondsPerMillisecond),
                static_cast<unsigned long long>(randomBits));
  return text;
}

uint64_t claimKeyHash(const ClaimKey& key) {
  std::string joined = key.tenant.value();
  joined.push_back('\0');
  joined += key.service.value();
  joined.push_back('\0');
  joined += key.text;
  return stableHash(joined);
}

uint64_t claimDigest(const std::string& content) {
  return stableHash(content);
}

}  // namespace fernmoor
