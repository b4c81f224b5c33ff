#include "wire/message_tag.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace fernmoor {

namespace {

/// 16 bytes leave a forger one chance in 2^128 a message.
constexpr size_t kTagBytes = 16;

class Sha256Engine : public Poco::SHA2Engine {
 public:
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };  // NOLINT: names that Poco::HMACEngine asks for
  Sha256Engine() : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256) {}
};

}  // namespace

std::string messageTag(const std::string& key, const std::string& bytes) {
  Poco::HMACEngine<Sha256Engine> engine(key);
  engine.update(bytes);
  const auto& digest = engine.digest();
  return std::string(digest.begin(), digest.begin() + kTagBytes);
}

bool equalInConstantTime(const std::string& a, const std::string& b) {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

}  // namespace fernmoor
