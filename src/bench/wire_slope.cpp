/// @file
/// Cost of a node-to-node message beyond its role: sealing and opening, and the two system calls of
/// a datagram on the loopback interface.
#include <Poco/Net/DatagramSocket.h>

#include <string>

#include "bench/slopes.h"
#include "wire/envelope_sealer.h"

namespace fernmoor::bench {

namespace {

proto::Envelope envelopeOf(size_t bytes) {
  proto::Envelope envelope;
  envelope.mutable_sender()->set_node_id(1);
  envelope.mutable_sender()->set_incarnation(1);
  auto* query = envelope.mutable_probe()->mutable_query();
  while (envelope.ByteSizeLong() + sizeof(uint64_t) < bytes) {
    query->add_hashes(query->hashes_size() * 0x9e3779b97f4a7c15U);
  }
  return envelope;
}

double secondsPerSealing(size_t bytes) {
  const EnvelopeSealer sealer("cluster key of the benchmark");
  const proto::Envelope envelope = envelopeOf(bytes);
  return secondsPerCall([&] {
    const std::string sealed = sealer.seal(envelope);
    sealer.open(sealed);
  });
}

double secondsPerDatagram(size_t bytes) {
  Poco::Net::DatagramSocket receiver(Poco::Net::SocketAddress("127.0.0.1", 0), false);
  Poco::Net::DatagramSocket sender(Poco::Net::SocketAddress("127.0.0.1", 0), false);
  const std::string message(bytes, 'm');
  std::string buffer(2 * bytes, ' ');
  return secondsPerCall([&] {
    sender.sendTo(message.data(), static_cast<int>(message.size()), receiver.address());
    receiver.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  });
}

}  // namespace

std::vector<Slope> measureWire() {
  Slope sealing{"seal-time",
                "processor time of serializing, sealing, opening and parsing one message",
                "bytes of the envelope",
                "us",
                "EnvelopeSealer (src/wire/envelope_sealer.cpp)",
                {},
                250};
  Slope datagram = sealing;
  datagram.name = "datagram-time";
  datagram.what = "processor time of sending and receiving one datagram on loopback";
  datagram.mechanism = "PeerTransport (src/wire/peer_transport.cpp)";
  for (const size_t bytes : {64U, 128U, 256U, 512U, 1024U}) {
    sealing.points.push_back(Point{static_cast<double>(bytes), secondsPerSealing(bytes) * 1e6});
    datagram.points.push_back(Point{static_cast<double>(bytes), secondsPerDatagram(bytes) * 1e6});
  }
  return {sealing, datagram};
}

}  // namespace fernmoor::bench
