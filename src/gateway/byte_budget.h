/// @file
/// A budget in bytes for what callers and engines make this process hold: the bodies of all
/// requests under way, and answers that are held until they are whole. Each is bounded for itself
/// already; their number times that bound is far more than a machine has.
#pragma once

#include <atomic>
#include <cstddef>

namespace fernmoor::gateway {

/// Thread-safe; without locks, since each piece that is read asks it.
class ByteBudget {
 public:
  /// @param mostBytes that may be held, in all; 0: unknown, any number may.
  explicit ByteBudget(size_t mostBytes) : mostBytes_(mostBytes) {}

  /// Takes all of the bytes or none. @return whether there was room.
  bool take(size_t bytes);
  void giveBack(size_t bytes) { held_ -= bytes; }
  /// @return whether so many more would find room now; nothing is taken.
  bool hasRoom(size_t bytes) const;
  size_t held() const { return held_; }

 private:
  const size_t mostBytes_;
  std::atomic<size_t> held_{0};
};

/// What one request holds of a budget; given back when it is destroyed. Not thread-safe.
class HeldBytes {
 public:
  explicit HeldBytes(ByteBudget& budget) : budget_(budget) {}
  ~HeldBytes() { clear(); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  /// @return whether there was room for so many more.
  bool add(size_t bytes);
  void clear();
  /// Holds so many instead of what is held now. @return false, with no change, without room.
  bool resize(size_t bytes);

 private:
  ByteBudget& budget_;
  size_t bytes_ = 0;
};

/// @return what bodies and held answers may take of a machine's memory; 0 where that is 0.
size_t callersShare(size_t limitBytes);

}  // namespace fernmoor::gateway
