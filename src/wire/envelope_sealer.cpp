#include "wire/envelope_sealer.h"

#include <utility>

#include "wire/message_tag.h"

namespace fernmoor {

namespace {

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

std::string EnvelopeSealer::seal(const proto::Envelope& envelope) const {
  proto::SealedEnvelope sealed;
  envelope.SerializeToString(sealed.mutable_envelope());
  sealed.set_tag(messageTag(clusterKey_, sealed.envelope()));
  return sealed.SerializeAsString();
}

Result<proto::Envelope> EnvelopeSealer::open(std::string_view bytes) const {
  proto::SealedEnvelope sealed;
  if (!sealed.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return malformed();
  }
  if (!equalInConstantTime(sealed.tag(), messageTag(clusterKey_, sealed.envelope()))) {
    return stranger();
  }
  proto::Envelope envelope;
  if (!envelope.ParseFromString(sealed.envelope())) {
    return malformed();
  }
  return envelope;
}

}  // namespace fernmoor
