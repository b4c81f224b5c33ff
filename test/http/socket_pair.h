/// @file
/// Two ends of one loopback connection, for tests of what reads and writes bytes.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <string>

#include "http/byte_connection.h"

namespace fernmoor::test {

/// `near` is under test; the test plays the other side through `far`.
struct SocketPair {
  SocketPair() : SocketPair(makeEnds()) {}

  void farSends(const std::string& bytes) {
    far.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  /// Ends the far side in order.
  void farCloses() { far.shutdownSend(); }
  /// Ends the far side by a reset.
  void farResets() {
    far.setLinger(true, 0);
    far.close();
  }
  /// Reads what the near side sent until it closes.
  std::string farReadsAll() {
    std::string all;
    char buffer[4096];
    int count = 0;
    while ((count = far.receiveBytes(buffer, sizeof(buffer))) > 0) {
      all.append(buffer, static_cast<size_t>(count));
    }
    return all;
  }

  Poco::Net::StreamSocket far;
  ByteConnection near;

 private:
  struct Ends {
    Poco::Net::StreamSocket far;
    Poco::Net::StreamSocket near;
  };
  static Ends makeEnds() {
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    Ends ends;
    ends.far.connect(server.address());
    ends.near = server.acceptConnection();
    return ends;
  }
  explicit SocketPair(Ends ends) : far(ends.far), near(ends.near) {
    near.setIoTimeout(std::chrono::seconds(5));
  }
};

}  // namespace fernmoor::test
