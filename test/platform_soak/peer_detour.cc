/// @file
/// Preload library for the gateways of a soak. Redirects their large messages to each other, which
/// are TCP connections to the port that all nodes listen on, to a proxy of the soak on the same
/// host, without changes to the gateway. FERNMOOR_PEER_DETOUR holds "PORT,PROXY_PORT"; without it
/// nothing is redirected. Datagrams are not redirected.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdio>
#include <cstdlib>

namespace {

using Connect = int (*)(int, const sockaddr*, socklen_t);

/// Send buffer size. Loopback would accept megabytes from the sender at once, unlike a narrow link
/// with its small window. Linux doubles the value.
constexpr int kSendBufferBytes = 32768;

struct Detour {
  unsigned from = 0;
  unsigned to = 0;
};

Detour readDetour() {
  Detour detour;
  const char* text = std::getenv("FERNMOOR_PEER_DETOUR");
  if (text == nullptr || std::sscanf(text, "%u,%u", &detour.from, &detour.to) != 2) {
    return Detour{};
  }
  return detour;
}

bool isStream(int socket) {
  int type = 0;
  socklen_t size = sizeof(type);
  return getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size) {
  static const auto next = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  static const Detour detour = readDetour();
  if (detour.from == 0 || address->sa_family != AF_INET || size < sizeof(sockaddr_in)) {
    return next(socket, address, size);
  }
  sockaddr_in target = *reinterpret_cast<const sockaddr_in*>(address);
  if (ntohs(target.sin_port) != detour.from || !isStream(socket)) {
    return next(socket, address, size);
  }
  setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
  target.sin_port = htons(static_cast<uint16_t>(detour.to));
  return next(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}
