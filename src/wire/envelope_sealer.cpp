#include "wire/envelope_sealer.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

#include <utility>

namespace fernmoor {

namespace {

/// 16 bytes leave a forger one chance in 2^128 a message.
constexpr size_t kTagBytes = 16;

class Sha256Engine : public Poco::SHA2Engine {
 public:
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
  Sha256Engine() : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256) {}
};

/// Takes the same time wherever the first difference is.
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

Error stranger() {
  return Error{ErrorKind::kUnauthorized,
               "a message's tag does not fit the cluster key; give all nodes the same cluster_key.",
               RunState::kNotRun, std::nullopt};
}

Error malformed() {
  return Error{ErrorKind::kInvalidRequest,
               "a message is no envelope of this protocol; run the same version on all nodes.",
               RunState::kNotRun, std::nullopt};
}

}  // namespace

EnvelopeSealer::EnvelopeSealer(std::string clusterKey) : clusterKey_(std::move(clusterKey)) {}

std::string EnvelopeSealer::tagOf(const std::string& bytes) const {
  Poco::HMACEngine<Sha256Engine> engine(clusterKey_);
  engine.update(bytes);
  const auto& digest = engine.digest();
  return std::string(digest.begin(), digest.begin() + kTagBytes);
}

std::string EnvelopeSealer::seal(const proto::Envelope& envelope) const {
  proto::SealedEnvelope sealed;
  envelope.SerializeToString(sealed.mutable_envelope());
  sealed.set_tag(tagOf(sealed.envelope()));
  return sealed.SerializeAsString();
}

Result<proto::Envelope> EnvelopeSealer::open(std::string_view bytes) const {
  proto::SealedEnvelope sealed;
  if (!sealed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return malformed();
  }
  if (!equalInConstantTime(sealed.tag(), tagOf(sealed.envelope()))) {
    return stranger();
  }
  proto::Envelope envelope;
  if (!envelope.ParseFromString(sealed.envelope())) {
    return malformed();
  }
  return envelope;
}

}  // namespace fernmoor
