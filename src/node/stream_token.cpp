#include "node/stream_token.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include <sstream>
#include <utility>

#include "stream.pb.h"
#include "wire/message_tag.h"

namespace fernmoor {

namespace {

/// Keeps tokens apart from node-to-node messages, which are tagged with the same key.
constexpr const char* kPurpose = "stream token:";
constexpr int kUrlSafe = Poco::BASE64_URL_ENCODING | Poco::BASE64_NO_PADDING;

std::string encode(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out, kUrlSafe);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

/// @return empty where the text is no base64.
std::string decode(const std::string& text) {
  try {
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in, kUrlSafe);
    std::ostringstream out;
    out << decoder.rdbuf();
    return out.str();
  } catch (const Poco::Exception&) {
    return "";
  }
}

Error unknownStream() {
  return Error{ErrorKind::kNotFound,
               "there is no such stream for this key; send the request again.", RunState::kUnknown,
               std::nullopt};
}

}  // namespace

StreamTokenSealer::StreamTokenSealer(std::string clusterKey) : clusterKey_(std::move(clusterKey)) {}

std::string StreamTokenSealer::seal(const StreamToken& token) const {
  proto::StreamToken message;
  message.set_tenant(token.tenant.value());
  message.set_request(token.request.value());
  message.set_attempt(token.attempt.value());
  message.set_model(token.model);
  message.set_engine(token.placement.engine.value());
  message.set_host(token.placement.address.host);
  message.set_port(token.placement.address.port);
  message.set_incarnation(token.placement.incarnation.value());
  message.set_weights_version(token.placement.weightsVersion.value());
  proto::SealedStreamToken sealed;
  message.SerializeToString(sealed.mutable_token());
  sealed.set_tag(messageTag(clusterKey_, kPurpose + sealed.token()));
  return encode(sealed.SerializeAsString());
}

Result<StreamToken> StreamTokenSealer::open(const std::string& text, const TenantId& tenant) const {
  proto::SealedStreamToken sealed;
  if (!sealed.ParseFromString(decode(text)) ||
      !equalInConstantTime(sealed.tag(), messageTag(clusterKey_, kPurpose + sealed.token()))) {
    return unknownStream();
  }
  proto::StreamToken message;
  if (!message.ParseFromString(sealed.token()) || message.tenant() != tenant.value()) {
    return unknownStream();
  }
  StreamToken token;
  token.tenant = tenant;
  token.request = RequestId(message.request());
  token.attempt = AttemptId(message.attempt());
  token.model = message.model();
  token.placement.engine = EngineId(message.engine());
  token.placement.address = SocketAddress{message.host(), static_cast<uint16_t>(message.port())};
  token.placement.incarnation = Incarnation(message.incarnation());
  token.placement.weightsVersion = WeightsVersion(message.weights_version());
  return token;
}

}  // namespace fernmoor
