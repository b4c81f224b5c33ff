#include "operator_client/client_options.h"

namespace fernmoor {

namespace {
const std::string kScheme = "http://";
}  // namespace

Result<SocketAddress> parseNodeUrl(const std::string& text) {
  std::string address = text;
  if (address.compare(0, kScheme.size(), kScheme) == 0) {
    address.erase(0, kScheme.size());
  }
  if (!address.empty() && address.back() == '/') {
    address.pop_back();
  }
  const auto parsed = parseSocketAddress(address);
  if (!parsed) {
    return Error{ErrorKind::kInvalidRequest,
                 "--node is \"" + text + "\"; give http://IP-NUMBER:PORT of any node.",
                 RunState::kNotRun, std::nullopt};
  }
  return *parsed;
}

}  // namespace fernmoor
