#include "http/byte_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <memory>

namespace fernmoor {

namespace {

constexpr int kKeepAliveProbes = 2;
/// Repetitions in a row after which a missing acknowledgement is not just late: three take at least
/// 1.4 s.
constexpr int kRepeatsOfLostBytes = 3;
constexpr short kClosedEvents = POLLRDHUP | POLLHUP | POLLERR;

int toPollMilliseconds(Duration timeout) {
  const int64_t rounded = (timeout.count() + 999) / 1000;
  return static_cast<int>(std::max<int64_t>(0, rounded));
}

}  // namespace

ByteConnection::ByteConnection(const Poco::Net::StreamSocket& socket)
    : Poco::Net::HTTPSession(socket, true) {}

void ByteConnection::setIoTimeout(Duration timeout) {
  const Poco::Timespan span(timeout.count());
  socket().setReceiveTimeout(span);
  socket().setSendTimeout(span);
  ioTimeout_ = timeout;
}

void ByteConnection::setWaitBound(std::optional<Duration> time) {
  waitUntil_.reset();
  if (time) {
    waitUntil_ = std::chrono::steady_clock::now() + *time;
  }
}

bool ByteConnection::awaitInput() {
  if (!waitUntil_) {
    return true;  // The socket's own time limit holds.
  }
  const auto left = std::max(Duration(0), std::chrono::duration_cast<Duration>(
                                              *waitUntil_ - std::chrono::steady_clock::now()));
  pollfd entry{socket().impl()->sockfd(), POLLIN, 0};
  return ::poll(&entry, 1, toPollMilliseconds(std::min(left, ioTimeout_))) > 0;
}

bool ByteConnection::socketReadable() {
  pollfd entry{socket().impl()->sockfd(), POLLIN, 0};
  return ::poll(&entry, 1, 0) != 0;
}

short ByteConnection::watchedEvents() const {
  return pendingOutput_ == nullptr ? POLLRDHUP : POLLRDHUP | POLLOUT;
}

bool ByteConnection::handleWatched(short events) {
  if ((events & kClosedEvents) != 0) {
    return true;
  }
  return (events & POLLOUT) != 0 && !pendingOutput_->flush();
}

bool ByteConnection::closedByPeer() {
  return leftWithin(Duration(0));
}

bool ByteConnection::leftWithin(Duration time) {
  pollfd entry{socket().impl()->sockfd(), watchedEvents(), 0};
  if (::poll(&entry, 1, toPollMilliseconds(time)) <= 0) {
    return false;
  }
  return handleWatched(entry.revents);
}

WaitOutcome ByteConnection::waitReadable(Duration timeout, ByteConnection* other) {
  if (hasBufferedBytes()) {
    return WaitOutcome::kReadable;
  }
  const auto end = std::chrono::steady_clock::now() + timeout;
  Duration left = timeout;
  while (true) {
    pollfd entries[2] = {{socket().impl()->sockfd(), POLLIN, 0}, {-1, 0, 0}};
    if (other != nullptr) {
      entries[1] = {other->socket().impl()->sockfd(), other->watchedEvents(), 0};
    }
    if (::poll(entries, other == nullptr ? 1 : 2, toPollMilliseconds(left)) <= 0) {
      return WaitOutcome::kTimeout;
    }
    if (other != nullptr && other->handleWatched(entries[1].revents)) {
      return WaitOutcome::kOtherClosed;
    }
    if (entries[0].revents != 0) {
      return WaitOutcome::kReadable;
    }
    left = std::chrono::duration_cast<Duration>(end - std::chrono::steady_clock::now());
    if (left <= Duration(0)) {
      return WaitOutcome::kTimeout;
    }
  }
}

ReadOutcome ByteConnection::readSome(char* buffer, size_t capacity, size_t& count) {
  count = 0;
  try {
    if (!hasBufferedBytes() && !awaitInput()) {
      return ReadOutcome::kBroken;
    }
    const int received = read(buffer, static_cast<std::streamsize>(capacity));
    if (received > 0) {
      count = static_cast<size_t>(received);
      return ReadOutcome::kBytes;
    }
    return received == 0 ? endOutcome() : ReadOutcome::kBroken;
  } catch (const Poco::Exception&) {
    hasFailed_ = true;
    return ReadOutcome::kBroken;
  }
}

ReadOutcome ByteConnection::readByte(char& byte) {
  if (!hasBufferedBytes()) {
    try {
      if (!awaitInput()) {
        return ReadOutcome::kBroken;
      }
      refill();
    } catch (const Poco::Exception&) {
      hasFailed_ = true;
      return ReadOutcome::kBroken;
    }
    if (!hasBufferedBytes()) {
      return endOutcome();
    }
  }
  byte = static_cast<char>(get());
  return ReadOutcome::kBytes;
}

WriteOutcome ByteConnection::writeSome(std::string_view bytes, size_t& count) {
  count = 0;
  const int descriptor = socket().impl()->sockfd();
  ssize_t sent = 0;
  do {
    sent = ::send(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  if (sent > 0) {
    count = static_cast<size_t>(sent);
    return WriteOutcome::kWritten;
  }
  if (sent < 0 && errno == EAGAIN) {
    return WriteOutcome::kFull;
  }
  hasFailed_ = true;
  return WriteOutcome::kBroken;
}

bool ByteConnection::writeAll(std::string_view bytes) {
  try {
    while (!bytes.empty()) {
      const int sent = socket().sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      if (sent <= 0) {
        hasFailed_ = true;
        return false;
      }
      bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
  } catch (const Poco::Exception&) {
    hasFailed_ = true;
    return false;
  }
}

void ByteConnection::reset() {
  try {
    socket().setLinger(true, 0);
    socket().close();
  } catch (const Poco::Exception&) {
    // The socket is closed already.
  }
}

void ByteConnection::setSilenceTimeout(Duration timeout) {
  const auto milliseconds =
      static_cast<int>(std::min<int64_t>(timeout.count() / 1000, std::numeric_limits<int>::max()));
  ::setsockopt(socket().impl()->sockfd(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
               sizeof(milliseconds));
}

void ByteConnection::setMaxUnsentBytes(int bytes) {
  ::setsockopt(socket().impl()->sockfd(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof(bytes));
}

bool ByteConnection::isUnacknowledgedFor(Duration time) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket().impl()->sockfd(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return false;
  }
  return info.tcpi_unacked > 0 && info.tcpi_retransmits >= kRepeatsOfLostBytes &&
         info.tcpi_last_ack_recv >= time.count() / 1000;
}

void guardAgainstSilence(Poco::Net::StreamSocket& socket, Duration silence) {
  const int milliseconds = static_cast<int>(silence.count() / 1000);
  const int seconds = std::max(1, milliseconds / 1000);
  socket.setNoDelay(true);
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

std::unique_ptr<ByteConnection> connectTo(const SocketAddress& address,
                                          const ConnectOptions& options) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address.host, address.port),
                   Poco::Timespan(options.connectTimeout.count()));
    guardAgainstSilence(socket, options.silenceTimeout);
    auto connection = std::make_unique<ByteConnection>(socket);
    connection->setIoTimeout(options.ioTimeout);
    return connection;
  } catch (const Poco::Exception&) {
    return nullptr;
  }
}

PortState lookAtPort(const SocketAddress& address, Duration timeout) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address.host, address.port),
                   Poco::Timespan(timeout.count()));
    return PortState::kTakesConnections;
  } catch (const Poco::Net::ConnectionRefusedException&) {
    return PortState::kRefuses;
  } catch (const Poco::Exception&) {
    return PortState::kNotReached;
  }
}

}  // namespace fernmoor
