/// @file
/// Tests of src/gateway/connection_pool.h: which connections are kept and for how long. Times are
/// passed in, so the tests do not wait.
#include "gateway/connection_pool.h"

#include <doctest/doctest.h>

#include <vector>

#include "test/http/socket_pair.h"

namespace fernmoor::gateway {

namespace {

constexpr Duration kKept = std::chrono::seconds(5);

Time at(int64_t milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

/// The back ends' sides of connections that are handed to a pool.
class FarEnds {
 public:
  std::unique_ptr<ByteConnection> open() {
    Poco::Net::StreamSocket far;
    far.connect(server_.address());
    far_.push_back(far);
    return std::make_unique<ByteConnection>(server_.acceptConnection());
  }

 private:
  Poco::Net::ServerSocket server_{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::vector<Poco::Net::StreamSocket> far_;
};

}  // namespace

TEST_CASE(
    "connections to back ends that are not asked any more are closed when their time is over") {
  FarEnds ends;
  ConnectionPool pool{ConnectOptions{}};
  for (uint64_t replaced = 1; replaced <= 20; ++replaced) {
    pool.giveBack(replaced, ends.open(), kKept, at(0));
  }
  CHECK(pool.idleCount() == 20);
  pool.giveBack(100, ends.open(), kKept, at(4000));
  CHECK(pool.idleCount() == 21);
  pool.giveBack(100, ends.open(), kKept, at(6000));
  CHECK(pool.idleCount() == 2);
}

TEST_CASE("beyond the limit for all back ends, the connection that expires first is closed") {
  FarEnds ends;
  ConnectionPool pool{ConnectOptions{}, 10};
  for (uint64_t backend = 1; backend <= 8; ++backend) {
    for (int each = 0; each < 2; ++each) {
      pool.giveBack(backend, ends.open(), kKept, at(static_cast<int64_t>(backend)));
    }
  }
  CHECK(pool.idleCount() == 10);
  const SocketAddress nowhere{"127.0.0.1", 1};
  CHECK(pool.borrow(8, nowhere, at(10)) != nullptr);
  CHECK(pool.borrow(8, nowhere, at(10)) != nullptr);
  CHECK(pool.borrow(1, nowhere, at(10)) == nullptr);
  CHECK(pool.idleCount() == 8);
}

}  // namespace fernmoor::gateway
