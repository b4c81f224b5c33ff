/// @file
/// Pool of idle connections to back ends. A connection is returned only after a complete answer
/// with no data behind it, and is checked again before it is reused.
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
  /// Each connection takes a descriptor and about as much memory as an idle connection of a caller
  /// (10.6 KB measured, with its thread): 512 take at most 5.5 MB of 88 MB and an eighth of 4,100
  /// descriptors.
  static constexpr size_t kMostIdle = 512;

  /// @param mostIdle maximum number of idle connections to all back ends together.
  explicit ConnectionPool(ConnectOptions options, size_t mostIdle = kMostIdle)
      : options_(options), mostIdle_(mostIdle) {}

  /// @return a usable idle connection; nullptr if there is none.
  std::unique_ptr<ByteConnection> takeIdle(uint64_t owner, Time now);
  /// Opens a new connection. @return nullptr if it could not be opened.
  std::unique_ptr<ByteConnection> open(const SocketAddress& address) const {
    return connectTo(address, options_);
  }

  /// Returns a usable idle connection or opens a new one.
  /// @param owner incarnation of the back end; connections are never shared between two.
  /// @return nullptr if no connection could be opened; nothing was sent then.
  std::unique_ptr<ByteConnection> borrow(uint64_t owner, const SocketAddress& address, Time now);
  /// Keeps a connection for reuse, or closes it if it is unusable or the pool is full.
  /// @param keepFor how long the back end keeps an idle connection.
  void giveBack(uint64_t owner, std::unique_ptr<ByteConnection> connection, Duration keepFor,
                Time now);
  /// Opens a connection to a back end that broke one off, and keeps it for the next request.
  /// @return false if none could be opened within two round trips between regions: the process at
  ///         the address, or its machine, has ended.
  bool stillAnswers(uint64_t owner, const SocketAddress& address, Time now);
  size_t idleCount() const;

 private:
  struct Idle {
    std::unique_ptr<ByteConnection> connection;
    Time usableUntil;
  };

  /// Closes expired connections, also those to back ends that receive no more requests.
  void closeExpired(Time now);
  /// Closes the idle connection that would expire first, among the oldest of each owner.
  void closeEarliestExpiring();

  const ConnectOptions options_;
  const size_t mostIdle_;
  mutable std::mutex mutex_;
  std::map<uint64_t, std::deque<Idle>> idle_;  ///< By owner, in the order of their return.
  size_t idleCount_ = 0;
  Time expiredClosedAt_;
};

}  // namespace fernmoor::gateway
