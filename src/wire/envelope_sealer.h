/// @file
/// Authentication of node-to-node messages: every message carries an HMAC with the cluster's key,
/// so that messages from strangers are refused before they are decoded.
#pragma once

#include <string>
#include <string_view>

#include "common/error.h"
#include "envelope.pb.h"

namespace fernmoor {

/// Seals and opens envelopes. Thread-safe: it holds nothing but the key.
class EnvelopeSealer {
 public:
  /// @param clusterKey secret shared by all nodes of a deployment.
  explicit EnvelopeSealer(std::string clusterKey);

  /// @return the bytes of a proto::SealedEnvelope.
  std::string seal(const proto::Envelope& envelope) const;

  /// @return the envelope, or kUnauthorized for a wrong tag, kInvalidRequest for bytes that are no
  ///         envelope. Never throws, whatever the bytes.
  Result<proto::Envelope> open(std::string_view bytes) const;

 private:
  std::string clusterKey_;
};

}  // namespace fernmoor
