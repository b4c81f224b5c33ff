/// @file
/// Sockets of node-to-node messages: UDP for small messages, one short TCP connection for larger
/// ones, on the same port number. Delivery is best effort; the roles bring their own retries.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "common/knobs.h"
#include "common/message_sender.h"
#include "common/role.h"
#include "common/socket_address.h"
#include "wire/envelope_sealer.h"
#include "wire/large_message_queue.h"

namespace fernmoor {

/// Bytes and messages that control has cost this node.
struct TransportCounters {
  std::atomic<uint64_t> messagesSent{0};
  std::atomic<uint64_t> bytesSent{0};
  std::atomic<uint64_t> messagesReceived{0};
  std::atomic<uint64_t> bytesReceived{0};
  std::atomic<uint64_t> refused{0};  ///< Wrong tag, malformed or too large.
  std::atomic<uint64_t> dropped{0};  ///< Unknown receiver, full queue or failed connection.
};

/// Sends to and receives from other nodes. send() is thread-safe and never blocks.
class PeerTransport : public MessageSender {
 public:
  /// Where a node listens; none where it is unknown.
  using AddressLookup = std::function<std::optional<SocketAddress>(NodeId)>;
  /// Called on a receiving thread with each authentic message.
  using Handler = std::function<void(NodeLife, const proto::Envelope&)>;

  /// Binds both sockets. Throws Poco::Net::NetException where the address is in use.
  PeerTransport(const SocketAddress& listen, NodeLife self, const std::string& clusterKey,
                const Knobs& knobs, AddressLookup lookup);
  ~PeerTransport() override;

  /// Starts the receiving threads.
  void start(Handler handler);
  /// Stops and joins the threads. Idempotent.
  void stop();

  void send(NodeId to, const proto::Envelope& envelope) override;
  size_t waitingBytes(NodeId to) const override;
  size_t waitingBytes() const override;

  const TransportCounters& counters() const { return counters_; }

 private:
  void receiveDatagrams();
  void acceptConnections();
  void sendLargeMessages();
  void receiveConnection(Poco::Net::StreamSocket socket);
  void deliver(const char* bytes, size_t size);
  void enqueueLarge(LargeMessage message);
  /// @return the message to be sent next, or nothing after a short wait.
  std::optional<LargeMessage> nextLarge();
  void noteSent(NodeId to, bool isSent);
  bool sendOverTcp(const LargeMessage& message);

  NodeLife self_;
  EnvelopeSealer sealer_;
  Knobs knobs_;
  AddressLookup lookup_;
  Handler handler_;
  Poco::Net::DatagramSocket datagramSocket_;
  Poco::Net::ServerSocket serverSocket_;
  TransportCounters counters_;
  std::atomic<bool> stopping_{false};
  mutable std::mutex largeMutex_;
  std::condition_variable largeReady_;
  LargeMessageQueue largeMessages_;  ///< Guarded by largeMutex_.
  std::set<NodeId>
      failed_;        ///< Receivers to which the last large message was not sent; the same lock.
  NodeId sendingTo_;  ///< Receiver of the message that is being sent; the same lock.
  size_t sendingBytes_ = 0;  ///< Its bytes; 0: none is being sent; the same lock.
  std::vector<std::thread> threads_;
};

}  // namespace fernmoor
