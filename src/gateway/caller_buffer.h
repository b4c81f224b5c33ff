/// @file
/// Writes one answer to its caller without blocking, and keeps the part that the caller has not
/// taken yet, so that the engine never waits for a caller that reads slowly.
#pragma once

#include <array>
#include <memory>
#include <string_view>
#include <vector>

#include "common/metrics.h"
#include "common/time.h"
#include "gateway/byte_budget.h"
#include "http/byte_connection.h"

namespace fernmoor::gateway {

/// A caller that takes no data for this long is given up if memory is short, and one that
/// acknowledges none for this long is treated as disconnected (4 s).
inline constexpr Duration kUnresponsiveCallerTimeout{4000000};

/// Not thread-safe; used for one answer. While it keeps bytes, each wait for another connection
/// that watches this one also writes them: see ByteConnection::waitReadable().
class CallerBuffer : public PendingOutput {
 public:
  /// Most bytes that are kept for one answer.
  static constexpr size_t kMaxBytes = 256U << 10U;
  /// Memory is taken in blocks of this size. The first one is not charged to the budget.
  static constexpr size_t kBlockBytes = 8U << 10U;

  /// All parameters outlive the buffer.
  CallerBuffer(ByteConnection& connection, ByteBudget& budget, Metrics& metrics,
               const Clock& clock);
  ~CallerBuffer() override;
  CallerBuffer(const CallerBuffer&) = delete;
  CallerBuffer& operator=(const CallerBuffer&) = delete;

  /// Sets how long a caller may leave the answer unread; to be called before the first write().
  void setDeadline(Time deadline) { deadline_ = deadline; }
  /// Writes what the connection accepts and keeps the rest.
  /// @return false if the connection is broken, or if the bytes exceed a bound and the caller is
  ///         given up.
  bool write(std::string_view bytes);
  /// Writes what the connection accepts of the kept bytes. @return false if it is broken.
  bool flush() override;
  /// Waits until the connection accepts bytes, and writes them.
  /// @return false if the connection is broken or was closed by the caller.
  bool flushWithin(Duration time);
  /// To be called at least once a second while the answer is under way.
  /// @return false if the caller has disconnected, or does not read while memory is short and is
  ///         given up.
  bool mayGoOn();
  /// Drops the kept bytes; nothing can be written any more.
  void giveUp();
  /// Releases the memory.
  void clear();

  size_t size() const { return size_; }
  /// @return how long the caller has taken none of the kept bytes; 0 if none are kept.
  Duration stalledFor() const;
  bool isGivenUp() const { return state_ == State::kGivenUp; }

 private:
  enum class State { kOpen, kBroken, kGivenUp };
  using Block = std::array<char, kBlockBytes>;

  /// Writes without blocking and advances `bytes`. @return false if the connection is broken.
  bool send(std::string_view& bytes);
  bool keep(std::string_view bytes);
  void dropSent(size_t count);
  void changeSize(size_t size);
  bool fail();

  ByteConnection& connection_;
  Metrics& metrics_;
  const Clock& clock_;
  ByteBudget& budget_;
  HeldBytes held_;
  std::vector<std::unique_ptr<Block>> blocks_;
  size_t begin_ = 0;  ///< Offset of the first kept byte in the first block.
  size_t size_ = 0;
  State state_ = State::kOpen;
  bool hasWritten_ = false;
  Time deadline_{};
  Time progressAt_{};  ///< When the caller last took kept bytes, or when the first was kept.
  Time nextLossCheck_{};
};

}  // namespace fernmoor::gateway
