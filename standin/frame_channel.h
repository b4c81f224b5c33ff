/// @file
/// Frames of one attempt on their way to the connection that reads it. Each channel has its own
/// mutex: with one for all, each step of the batch would wake hundreds of readers that then queue
/// for it. Thread-safe.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>

#include "standin/engine_model.h"

namespace fernmoor::standin {

class FrameChannel {
 public:
  /// What a reader gets.
  struct Batch {
    std::deque<EngineFrame> frames;
    bool mustLeave = false;  ///< Another reader came, or the engine crashed or stopped.
  };

  /// Makes the caller the only reader. @return its number, for take().
  uint64_t newReader();
  void push(EngineFrame frame);
  /// Drops the frames that nobody took.
  void clear();
  /// Sends the reader away, for ever.
  void breakOff();
  /// Waits for frames until the given time.
  Batch take(uint64_t reader, Time until);

 private:
  std::mutex mutex_;  ///< Taken after the server's mutex, where both are held.
  std::condition_variable changed_;
  std::deque<EngineFrame> frames_;
  uint64_t lastReader_ = 0;
  bool broken_ = false;
};

}  // namespace fernmoor::standin
