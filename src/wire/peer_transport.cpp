#include "wire/peer_transport.h"

#include <Poco/ByteOrder.h>
#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <array>
#include <vector>

#include "common/log.h"

namespace fernmoor {

namespace {

constexpr long kPollMicroseconds = 250000;        ///< How soon stop() is noticed.
constexpr long kTcpTimeoutMicroseconds = 500000;  ///< A peer slower than this is skipped.
constexpr size_t kMaxDatagramBytes = 65536;
/// Bytes a second; a fifth of what the narrowest links carry.
constexpr double kSlowestTaking = 250000;
constexpr size_t kPieceBytes = 65536;  ///< After each the time is looked at.
constexpr int kSocketBufferBytes = 1 << 21;

Poco::Net::SocketAddress toPoco(const SocketAddress& address) {
  return Poco::Net::SocketAddress(address.host, address.port);
}

/// Reads exactly `size` bytes; false at the end of the connection.
bool receiveAll(Poco::Net::StreamSocket& socket, char* buffer, size_t size) {
  size_t received = 0;
  while (received < size) {
    const int count = socket.receiveBytes(buffer + received, static_cast<int>(size - received));
    if (count <= 0) {
      return false;
    }
    received += static_cast<size_t>(count);
  }
  return true;
}

/// Sends all bytes. Throws Poco::TimeoutException where the receiver takes them more slowly than
/// any link: one that trickles must not hold up what waits for the others.
void sendAll(Poco::Net::StreamSocket& socket, const char* buffer, size_t size) {
  const Poco::Timestamp start;
  const auto longest = static_cast<Poco::Timestamp::TimeDiff>(
      kTcpTimeoutMicroseconds + static_cast<double>(size) * 1e6 / kSlowestTaking);
  size_t sent = 0;
  while (sent < size) {
    const size_t piece = std::min(size - sent, kPieceBytes);
    sent += static_cast<size_t>(socket.sendBytes(buffer + sent, static_cast<int>(piece)));
    if (start.isElapsed(longest)) {
      throw Poco::TimeoutException("a node takes a message too slowly");
    }
  }
}

}  // namespace

PeerTransport::PeerTransport(const SocketAddress& listen, NodeLife self,
                             const std::string& clusterKey, const Knobs& knobs,
                             AddressLookup lookup)
    : self_(self),
      sealer_(clusterKey),
      knobs_(knobs),
      lookup_(std::move(lookup)),
      largeMessages_(static_cast<size_t>(knobs.peerQueueBytes)) {
  // Without port reuse: a second process on the address must fail, not share the messages.
  datagramSocket_.bind(toPoco(listen), true, false);
  datagramSocket_.setReceiveBufferSize(kSocketBufferBytes);
  serverSocket_.bind(toPoco(listen), true, false);
  serverSocket_.listen();
}

PeerTransport::~PeerTransport() {
  stop();
}

void PeerTransport::start(Handler handler) {
  handler_ = std::move(handler);
  threads_.emplace_back([this] { receiveDatagrams(); });
  threads_.emplace_back([this] { acceptConnections(); });
  threads_.emplace_back([this] { sendLargeMessages(); });
}

void PeerTransport::stop() {
  if (stopping_.exchange(true)) {
    return;
  }
  largeReady_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  datagramSocket_.close();
  serverSocket_.close();
}

void PeerTransport::send(NodeId to, const proto::Envelope& envelope) {
  const std::optional<SocketAddress> address = lookup_(to);
  if (!address) {
    ++counters_.dropped;
    return;
  }
  proto::Envelope signedEnvelope = envelope;
  signedEnvelope.mutable_sender()->set_node_id(self_.node.value());
  signedEnvelope.mutable_sender()->set_incarnation(self_.incarnation.value());
  std::string bytes = sealer_.seal(signedEnvelope);
  ++counters_.messagesSent;
  counters_.bytesSent += bytes.size();
  if (static_cast<int64_t>(bytes.size()) > knobs_.maxPeerMessageBytes) {
    // The receiver would refuse it, after it has crossed both links.
    ++counters_.dropped;
    logWarning(
        "peers: a message is longer than nodes take from each other; raise "
        "maxPeerMessageBytes on all nodes");
    return;
  }
  if (static_cast<int64_t>(bytes.size()) > knobs_.maxDatagramBytes) {
    enqueueLarge(LargeMessage{to, *address, std::move(bytes)});
    return;
  }
  try {
    datagramSocket_.sendTo(bytes.data(), static_cast<int>(bytes.size()), toPoco(*address));
  } catch (const Poco::Exception&) {
    ++counters_.dropped;
  }
}

void PeerTransport::enqueueLarge(LargeMessage message) {
  {
    const std::lock_guard<std::mutex> lock(largeMutex_);
    counters_.dropped += largeMessages_.push(std::move(message));
  }
  largeReady_.notify_one();
}

std::optional<LargeMessage> PeerTransport::nextLarge() {
  std::unique_lock<std::mutex> lock(largeMutex_);
  largeReady_.wait_for(lock, std::chrono::microseconds(kPollMicroseconds),
                       [this] { return stopping_ || !largeMessages_.empty(); });
  std::optional<LargeMessage> message = largeMessages_.pop();
  if (message) {
    sendingTo_ = message->to;
    sendingBytes_ = message->bytes.size();
  }
  return message;
}

/// A receiver that takes nothing would hold up the others once for each message to it.
void PeerTransport::noteSent(NodeId to, bool isSent) {
  const std::lock_guard<std::mutex> lock(largeMutex_);
  sendingBytes_ = 0;
  if (isSent) {
    failed_.erase(to);
    return;
  }
  const bool isFirst = failed_.insert(to).second;
  counters_.dropped += 1 + (isFirst ? largeMessages_.dropLongTo(to) : largeMessages_.dropAllTo(to));
}

size_t PeerTransport::waitingBytes(NodeId to) const {
  const std::lock_guard<std::mutex> lock(largeMutex_);
  return largeMessages_.bytesTo(to) + (sendingTo_ == to ? sendingBytes_ : 0);
}

size_t PeerTransport::waitingBytes() const {
  const std::lock_guard<std::mutex> lock(largeMutex_);
  return largeMessages_.bytes() + sendingBytes_;
}

void PeerTransport::sendLargeMessages() {
  while (!stopping_) {
    const std::optional<LargeMessage> message = nextLarge();
    if (message) {
      noteSent(message->to, sendOverTcp(*message));
    }
  }
}

bool PeerTransport::sendOverTcp(const LargeMessage& message) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(toPoco(message.address), Poco::Timespan(kTcpTimeoutMicroseconds));
    socket.setSendTimeout(Poco::Timespan(kTcpTimeoutMicroseconds));
    const auto size = Poco::ByteOrder::toNetwork(static_cast<Poco::UInt32>(message.bytes.size()));
    sendAll(socket, reinterpret_cast<const char*>(&size), sizeof(size));
    sendAll(socket, message.bytes.data(), message.bytes.size());
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

void PeerTransport::receiveDatagrams() {
  std::vector<char> buffer(kMaxDatagramBytes);
  while (!stopping_) {
    try {
      if (!datagramSocket_.poll(Poco::Timespan(kPollMicroseconds),
                                Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      Poco::Net::SocketAddress sender;
      const int size =
          datagramSocket_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
      deliver(buffer.data(), static_cast<size_t>(std::max(size, 0)));
    } catch (const Poco::Exception&) {
      // A port-unreachable answer to an earlier send ends up here; the next message may be fine.
      ++counters_.dropped;
    }
  }
}

void PeerTransport::acceptConnections() {
  while (!stopping_) {
    try {
      if (!serverSocket_.poll(Poco::Timespan(kPollMicroseconds), Poco::Net::Socket::SELECT_READ)) {
        continue;
      }
      receiveConnection(serverSocket_.acceptConnection());
    } catch (const Poco::Exception&) {
      ++counters_.dropped;
    }
  }
}

void PeerTransport::receiveConnection(Poco::Net::StreamSocket socket) {
  socket.setReceiveTimeout(Poco::Timespan(kTcpTimeoutMicroseconds));
  Poco::UInt32 size = 0;
  if (!receiveAll(socket, reinterpret_cast<char*>(&size), sizeof(size))) {
    return;
  }
  size = Poco::ByteOrder::fromNetwork(size);
  if (static_cast<int64_t>(size) > knobs_.maxPeerMessageBytes) {
    ++counters_.refused;
    return;
  }
  std::vector<char> bytes(size);
  if (receiveAll(socket, bytes.data(), bytes.size())) {
    deliver(bytes.data(), bytes.size());
  }
}

void PeerTransport::deliver(const char* bytes, size_t size) {
  const auto opened = sealer_.open(std::string_view(bytes, size));
  if (!isOk(opened)) {
    ++counters_.refused;
    return;
  }
  ++counters_.messagesReceived;
  counters_.bytesReceived += size;
  const proto::Envelope& envelope = valueOf(opened);
  handler_(
      NodeLife{NodeId(envelope.sender().node_id()), Incarnation(envelope.sender().incarnation())},
      envelope);
}

}  // namespace fernmoor
