#include "gateway/connection_pool.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// A connection is left alone for the last part of the time that the back end keeps it, so that
/// its closing never crosses a request.
constexpr Duration kClosingMargin{700000};
constexpr size_t kMostIdlePerOwner = 32;
/// Back ends close their ends after some seconds; until ours is closed it keeps its descriptor.
constexpr Duration kCloseExpiredEach{1000000};
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
      --idleCount_;
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
  closeExpired(now);
  std::deque<Idle>& idle = idle_[owner];
  if (idle.size() >= kMostIdlePerOwner) {
    return;
  }
  idle.push_back(Idle{std::move(connection), now + keepFor - kClosingMargin});
  if (++idleCount_ > mostIdle_) {
    closeOne();
  }
}

void ConnectionPool::closeExpired(Time now) {
  if (now - expiredClosedAt_ < kCloseExpiredEach) {
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

void ConnectionPool::closeOne() {
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
  options.connectTimeout = kEndedCheck;
  std::unique_ptr<ByteConnection> connection = connectTo(address, options);
  if (connection == nullptr) {
    return false;
  }
  giveBack(owner, std::move(connection), kKeptAfterCheck, now);
  return true;
}

}  // namespace fernmoor::gateway
