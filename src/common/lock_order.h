/// @file
/// The one place that states in which order locks are taken. A thread that holds a lock may only
/// take one of a higher rank; RankedMutex aborts the program otherwise (in every build but
/// Release). No lock is held across input or output.
#pragma once

#include <mutex>

namespace fernmoor {

/// Ranks, lowest first. Give a new shared table its rank here.
enum class LockRank : int {
  kNodeState = 10,   ///< Life cycle of the process (node/).
  kMembership = 20,  ///< Who is alive (membership/).
  kTable = 30,       ///< Rows in force and their version (table/).
  kClaims = 40,      ///< Claims of not-repeatable requests (claim/).
  kEngines = 50,     ///< Engine load, views and ownership (engine/).
  kAdmission = 60,   ///< Queues, rates and concurrency (admission/).
  kRouting = 70,     ///< Policies' own state (routing/).
  kRequests = 80,    ///< Requests in flight and their records (relay/).
  kTransport = 90,   ///< Connections and buffers (wire/).
  kMetrics = 100,    ///< Counters and logs; taken last.
};

/// A mutex that checks the order stated above. Satisfies BasicLockable.
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) : rank_(rank) {}
  void lock();
  void unlock();

 private:
  std::mutex mutex_;
  LockRank rank_;
};

using RankedLock = std::unique_lock<RankedMutex>;

}  // namespace fernmoor
