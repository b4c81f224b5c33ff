#include "http/unread_time.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fernmoor {

Duration unreadTime(const Poco::Net::StreamSocket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket.impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return Duration(0);
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace fernmoor
