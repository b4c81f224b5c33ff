#include "node/caller_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <sys/socket.h>

namespace fernmoor {

CallerSocket::CallerSocket(Poco::Net::HTTPServerRequest& request)
    : socket_(static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket()) {}

bool CallerSocket::gone() {
  if (!watchable_) {
    return false;
  }
  try {
    if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      return false;
    }
    char byte = 0;
    const int received = socket_.receiveBytes(&byte, 1, MSG_PEEK);
    watchable_ = received <= 0;
    return received <= 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

}  // namespace fernmoor
