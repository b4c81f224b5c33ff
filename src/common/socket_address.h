/// @file
/// Addresses of processes: IP numbers and ports. Names are never resolved.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace fernmoor {

/// An IP number and a port.
struct SocketAddress {
  std::string host;  ///< IPv4 or IPv6 number, the latter without brackets.
  uint16_t port = 0;
  friend bool operator==(const SocketAddress& a, const SocketAddress& b) {
    return a.host == b.host && a.port == b.port;
  }
  friend bool operator!=(const SocketAddress& a, const SocketAddress& b) { return !(a == b); }
};

/// Parses "127.0.0.1:7100" or "[::1]:7100".
/// @return nothing where the host is no IP number or the port is not within 1 to 65535.
std::optional<SocketAddress> parseSocketAddress(const std::string& text);

/// @return the address in the form that parseSocketAddress() reads.
std::string formatSocketAddress(const SocketAddress& address);

}  // namespace fernmoor
