/// @file
/// Preload library for the gateways of a soak. Binds their connections to engines to the node's own
/// address, so that the stand-ins know which node calls, and fails new ones while the soak has
/// partitioned the node from all engines. FERNMOOR_ENGINE_LINK holds
/// "ENGINES' ADDRESS,NODE'S ADDRESS,STATE FILE,REFUSING PORT,HANGING PORT"; without it nothing
/// changes. The first byte of the state file says what becomes of new connections: 'r' they are
/// refused, 'h' they hang, anything else: they succeed. Ports that follow it, each after a comma,
/// name the only engines that this concerns.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace {

using Connect = int (*)(int, const sockaddr*, socklen_t);

struct EngineLink {
  in_addr engines{};
  in_addr node{};
  int state = -1;
  unsigned refusingPort = 0;
  unsigned hangingPort = 0;
};

EngineLink readLink() {
  EngineLink link;
  char engines[32] = "";
  char node[32] = "";
  char path[512] = "";
  const char* text = std::getenv("FERNMOOR_ENGINE_LINK");
  if (text == nullptr || std::sscanf(text, "%31[^,],%31[^,],%511[^,],%u,%u", engines, node, path,
                                     &link.refusingPort, &link.hangingPort) != 5) {
    return EngineLink{};
  }
  inet_aton(engines, &link.engines);
  inet_aton(node, &link.node);
  link.state = open(path, O_RDONLY | O_CLOEXEC);
  return link;
}

bool isStream(int socket) {
  int type = 0;
  socklen_t size = sizeof(type);
  return getsockopt(socket, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

/// @return the state of new connections to the engine at that port.
char stateOf(const EngineLink& link, unsigned port) {
  char text[512] = "";
  const ssize_t size = pread(link.state, text, sizeof(text) - 1, 0);
  if (size <= 0) {
    return '\0';
  }
  if (size == 1) {
    return text[0];
  }
  for (const char* at = std::strchr(text, ','); at != nullptr; at = std::strchr(at + 1, ',')) {
    if (std::strtoul(at + 1, nullptr, 10) == port) {
      return text[0];
    }
  }
  return '\0';
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size) {
  static const auto next = reinterpret_cast<Connect>(dlsym(RTLD_NEXT, "connect"));
  static const EngineLink link = readLink();
  if (link.state < 0 || address->sa_family != AF_INET || size < sizeof(sockaddr_in)) {
    return next(socket, address, size);
  }
  sockaddr_in target = *reinterpret_cast<const sockaddr_in*>(address);
  if (target.sin_addr.s_addr != link.engines.s_addr || !isStream(socket)) {
    return next(socket, address, size);
  }
  sockaddr_in own{};
  own.sin_family = AF_INET;
  own.sin_addr = link.node;
  const int late = 1;
  setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &late, sizeof(late));
  if (bind(socket, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0) {
    return -1;
  }
  const char state = stateOf(link, ntohs(target.sin_port));
  if (state == 'r' || state == 'h') {
    target.sin_port =
        htons(static_cast<uint16_t>(state == 'r' ? link.refusingPort : link.hangingPort));
  }
  return next(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}
