#include "gateway/connection_pool.h"

namespace fernmoor::gateway {

namespace {

/// A connection is left alone for the last part of the time that the back end keeps it, so that
/// its closing never crosses a request.
constexpr Duration kClosingMargin{700000};
constexpr size_t kMostIdlePerOwner = 32;
/// A port without a process refuses within one trip and back: 40 ms between regions of a
/// deployment (their site files), twice that beside load.
constexpr Duration kEndedCheck{80000};
/// How long a connection that was opened to look is kept: as one whose back end states nothing.
constexpr Duration kKeptAfterCheck{3000000};

}  // namespace

std::unique_ptr<ByteConnection> ConnectionPool::borrow(uint64_t owner, const SocketAddress& address,
                                                       Time now) {
  while (true) {
    Idle idle;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto found = idle_.find(owner);
      if (found == idle_.end()) {
        break;
      }
      if (found->second.empty()) {
        idle_.erase(found);
        break;
      }
      idle = std::move(found->second.back());
      found->second.pop_back();
    }
    const bool usable = now < idle.usableUntil && !idle.connection->hasBufferedBytes() &&
                        !idle.connection->socketReadable();
    if (usable) {
      return std::move(idle.connection);
    }
  }
  return connectTo(address, options_);
}

void ConnectionPool::giveBack(uint64_t owner, std::unique_ptr<ByteConnection> connection,
                              Duration keepFor, Time now) {
  if (keepFor <= kClosingMargin || connection->hasBufferedBytes() || connection->socketReadable()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::deque<Idle>& idle = idle_[owner];
  while (!idle.empty() && now >= idle.front().usableUntil) {
    idle.pop_front();
  }
  if (idle.size() < kMostIdlePerOwner) {
    idle.push_back(Idle{std::move(connection), now + keepFor - kClosingMargin});
  }
}

bool ConnectionPool::stillAnswers(uint64_t owner, const SocketAddress& address, Time now) {
  ConnectOptions options = options_;
  options.connectTimeout = kEndedCheck;
  std::unique_ptr<ByteConnection> connection = connectTo(address, options);
  if (connection == nullptr) {
    return false;
  }
  giveBack(owner, std::move(connection), kKeptAfterCheck, now);
  return true;
}

}  // namespace fernmoor::gateway
