/// @file
/// Kept connections to back ends. A connection comes back only after a whole answer of ours with
/// nothing after it, and is looked at again before it is used.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>

#include "common/time.h"
#include "http/byte_connection.h"

namespace fernmoor::gateway {

/// Thread-safe.
class ConnectionPool {
 public:
  explicit ConnectionPool(ConnectOptions options) : options_(options) {}

  /// @param owner incarnation of the back end; connections are never shared between two.
  /// @return no connection where none could be opened; nothing was sent then.
  std::unique_ptr<ByteConnection> borrow(uint64_t owner, const SocketAddress& address, Time now);
  /// @param keepFor how long the back end keeps an idle connection.
  void giveBack(uint64_t owner, std::unique_ptr<ByteConnection> connection, Duration keepFor,
                Time now);
  /// Opens a connection to a back end that broke one off, and keeps it for the next request.
  /// @return false where none could be opened within two trips between regions: the process behind
  ///         the address has ended, or its machine.
  bool stillAnswers(uint64_t owner, const SocketAddress& address, Time now);

 private:
  struct Idle {
    std::unique_ptr<ByteConnection> connection;
    Time usableUntil;
  };

  ConnectOptions options_;
  std::mutex mutex_;
  std::map<uint64_t, std::deque<Idle>> idle_;  ///< By owner.
};

}  // namespace fernmoor::gateway
