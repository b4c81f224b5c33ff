#include "gateway/connection_pool.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// An idle connection is not reused this long (700 ms) before the back end may close it, so that a
/// request never races with the close.
constexpr Duration kCloseMargin{700000};
constexpr size_t kMaxIdlePerOwner = 32;
/// Interval for closing expired connections (1 s). Back ends close their side after some seconds,
/// but the descriptor on this side stays in use until it is closed too.
constexpr Duration kCloseExpiredInterval{1000000};
/// A port without a process refuses a connection within one round trip: 40 ms between regions of a
/// deployment (their site files), doubled to allow for load (80 ms).
constexpr Duration kProbeTimeout{80000};
/// Keep-alive time of a connection opened by a probe (3 s), as if the back end had stated none.
constexpr Duration kProbeKeepAlive{3000000};

}  // namespace

std::unique_ptr<ByteConnection> ConnectionPool::takeIdle(uint64_t owner, Time now) {
  while (true) {
    Idle idle;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto found = idle_.find(owner);
      if (found == idle_.end()) {
        return nullptr;
      }
      if (found->second.empty()) {
        idle_.erase(found);
        return nullptr;
      }
      idle = std::move(found->second.back());
      found->second.pop_back();
      --idleCount_;
    }
    const bool usable = now < idle.usableUntil && !idle.connection->hasBufferedBytes() &&
                        !idle.connection->socketReadable();
    if (usable) {
      return std::move(idle.connection);
    }
  }
}

std::unique_ptr<ByteConnection> ConnectionPool::borrow(uint64_t owner, const SocketAddress& address,
                                                       Time now) {
  std::unique_ptr<ByteConnection> idle = takeIdle(owner, now);
  return idle != nullptr ? std::move(idle) : open(address);
}

void ConnectionPool::giveBack(uint64_t owner, std::unique_ptr<ByteConnection> connection,
                              Duration keepFor, Time now) {
  if (keepFor <= kCloseMargin || connection->hasBufferedBytes() || connection->socketReadable()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  closeExpired(now);
  std::deque<Idle>& idle = idle_[owner];
  if (idle.size() >= kMaxIdlePerOwner) {
    return;
  }
  idle.push_back(Idle{std::move(connection), now + keepFor - kCloseMargin});
  if (++idleCount_ > mostIdle_) {
    closeEarliestExpiring();
  }
}

void ConnectionPool::closeExpired(Time now) {
  if (now - expiredClosedAt_ < kCloseExpiredInterval) {
    return;
  }
  expiredClosedAt_ = now;
  for (auto owner = idle_.begin(); owner != idle_.end();) {
    std::deque<Idle>& idle = owner->second;
    const auto expired = std::remove_if(
        idle.begin(), idle.end(), [now](const Idle& each) { return now >= each.usableUntil; });
    idleCount_ -= static_cast<size_t>(idle.end() - expired);
    idle.erase(expired, idle.end());
    owner = idle.empty() ? idle_.erase(owner) : std::next(owner);
  }
}

void ConnectionPool::closeEarliestExpiring() {
  auto first = idle_.end();
  for (auto owner = idle_.begin(); owner != idle_.end(); ++owner) {
    const bool isEarlier = !owner->second.empty() &&
                           (first == idle_.end() ||
                            owner->second.front().usableUntil < first->second.front().usableUntil);
    first = isEarlier ? owner : first;
  }
  first->second.pop_front();
  --idleCount_;
}

size_t ConnectionPool::idleCount() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return idleCount_;
}

bool ConnectionPool::stillAnswers(uint64_t owner, const SocketAddress& address, Time now) {
  ConnectOptions options = options_;
  options.connectTimeout = kProbeTimeout;
  std::unique_ptr<ByteConnection> connection = connectTo(address, options);
  if (connection == nullptr) {
    return false;
  }
  giveBack(owner, std::move(connection), kProbeKeepAlive, now);
  return true;
}

}  // namespace fernmoor::gateway
