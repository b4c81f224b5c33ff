/// @file
/// Where a process listens.
#pragma once

#include <cstdint>
#include <string>

namespace fernmoor {

/// An IP number and a port. Names are never resolved.
struct SocketAddress {
  std::string host;
  uint16_t port = 0;
  friend bool operator==(const SocketAddress& a, const SocketAddress& b) {
    return a.host == b.host && a.port == b.port;
  }
};

}  // namespace fernmoor
