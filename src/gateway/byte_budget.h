/// @file
/// A budget in bytes for memory that callers and engines make this process use: the bodies of all
/// requests in flight, and answers that are buffered until they are complete. The size of each is
/// limited, but their number times that limit far exceeds the memory of a machine.
#pragma once

#include <atomic>
#include <cstddef>

namespace fernmoor::gateway {

/// Thread-safe. Lock-free, since it is called for each chunk that is read.
class ByteBudget {
 public:
  /// @param mostBytes the total number of bytes that may be held; 0: unlimited.
  explicit ByteBudget(size_t mostBytes) : mostBytes_(mostBytes) {}

  /// Reserves all of the bytes or none. @return whether there was room.
  bool take(size_t bytes);
  void giveBack(size_t bytes) { held_ -= bytes; }
  /// @return whether that many more bytes would fit now; reserves nothing.
  bool hasRoom(size_t bytes) const;
  size_t held() const { return held_; }
  /// @return false if the budget is unlimited.
  bool isMoreThanHalfUsed() const { return mostBytes_ != 0 && held_ > mostBytes_ / 2; }

 private:
  const size_t mostBytes_;
  std::atomic<size_t> held_{0};
};

/// The share of a budget held by one request, released by the destructor. Not thread-safe.
class HeldBytes {
 public:
  explicit HeldBytes(ByteBudget& budget) : budget_(budget) {}
  ~HeldBytes() { clear(); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  /// Reserves that many more bytes. @return whether there was room.
  bool add(size_t bytes);
  void clear();
  /// Sets the number of bytes held. @return false, with no change, if there is no room.
  bool resize(size_t bytes);

 private:
  ByteBudget& budget_;
  size_t bytes_ = 0;
};

/// @return the bytes of a machine's memory that request bodies and buffered answers may use; 0 if
///         `limitBytes` is 0.
size_t callersShare(size_t limitBytes);

}  // namespace fernmoor::gateway
