#include "common/socket_address.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>

namespace fernmoor {

namespace {

constexpr unsigned kMaximumPort = 65535;

std::string withoutBrackets(const std::string& host) {
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  return bracketed ? host.substr(1, host.size() - 2) : host;
}

bool isIpv6(const std::string& host) {
  return host.find(':') != std::string::npos;
}

}  // namespace

std::optional<SocketAddress> parseSocketAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const std::string rawHost = text.substr(0, colon);
  const std::string host = withoutBrackets(rawHost);
  if (isIpv6(host) && host == rawHost) {
    return std::nullopt;  // An IPv6 number needs brackets, or its last group would be the port.
  }
  unsigned port = 0;
  Poco::Net::IPAddress parsed;
  const bool portParsed = Poco::NumberParser::tryParseUnsigned(text.substr(colon + 1), port);
  if (!portParsed || port == 0 || port > kMaximumPort) {
    return std::nullopt;
  }
  if (!Poco::Net::IPAddress::tryParse(host, parsed)) {
    return std::nullopt;
  }
  return SocketAddress{host, static_cast<uint16_t>(port)};
}

std::string formatSocketAddress(const SocketAddress& address) {
  const std::string host = isIpv6(address.host) ? "[" + address.host + "]" : address.host;
  return host + ":" + std::to_string(address.port);
}

}  // namespace fernmoor
