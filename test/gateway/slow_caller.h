/// @file
/// A caller over loopback that reads only when the test does, for tests of unread answers.
#pragma once

#include "gateway/caller_buffer.h"
#include "test/gateway/forwarder_world.h"

namespace fernmoor::gateway::test {

/// Makes the system hold little of what `far` does not read.
inline void limitSystemBuffers(fernmoor::test::SocketPair& pair) {
  pair.near.socket().setSendBufferSize(16384);
  pair.far.setReceiveBufferSize(16384);
}

/// Sends bodies without framing through a CallerBuffer; `socket.far` is the caller.
class SlowCaller : public CallerChannel {
 public:
  explicit SlowCaller(ForwarderWorld& world)
      : kept(socket.near, world.heldBytes, world.metrics, world.clock) {
    limitSystemBuffers(socket);
  }
  bool sendHead(const AnswerHead&) override { return true; }
  bool sendBody(std::string_view bytes) override { return kept.write(bytes); }
  bool finish() override {
    finished = true;
    return true;
  }
  void breakOff() override {
    broken = true;
    kept.clear();
    socket.near.reset();
  }
  void refuse(const Error& error) override { refusals.push_back(error); }
  ByteConnection& connection() override { return socket.near; }
  CallerBuffer* buffer() override { return &kept; }

  fernmoor::test::SocketPair socket;
  CallerBuffer kept;
  bool finished = false;
  bool broken = false;
  std::vector<Error> refusals;
};

}  // namespace fernmoor::gateway::test
