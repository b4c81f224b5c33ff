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
  /// Each takes a descriptor and about what an idle caller's connection does (10.6 KB measured,
  /// with its thread): 512 take at most 5.5 MB of 88 and an eighth of 4,100 descriptors.
  static constexpr size_t kMostIdle = 512;

  /// @param mostIdle connections that are kept, to all back ends.
  explicit ConnectionPool(ConnectOptions options, size_t mostIdle = kMostIdle)
      : options_(options), mostIdle_(mostIdle) {}

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
  size_t idleCount() const;

 private:
  struct Idle {
    std::unique_ptr<ByteConnection> connection;
    Time usableUntil;
  };

  /// Closes what is kept too long, of back ends too that nobody asks any more.
  void closeExpired(Time now);
  /// Closes the connection whose time ends first.
  void closeOne();

  const ConnectOptions options_;
  const size_t mostIdle_;
  mutable std::mutex mutex_;
  std::map<uint64_t, std::deque<Idle>> idle_;  ///< By owner; in the order of their coming.
  size_t idleCount_ = 0;
  Time expiredClosedAt_;
};

}  // namespace fernmoor::gateway
