#include "standin/frame_channel.h"

#include "standin/http_service.h"

namespace fernmoor::standin {

uint64_t FrameChannel::newReader() {
  const std::lock_guard<std::mutex> lock(mutex_);
  frames_.clear();
  changed_.notify_all();
  return ++lastReader_;
}

void FrameChannel::push(EngineFrame frame) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    frames_.push_back(std::move(frame));
  }
  changed_.notify_all();
}

void FrameChannel::clear() {
  const std::lock_guard<std::mutex> lock(mutex_);
  frames_.clear();
}

void FrameChannel::breakOff() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    broken_ = true;
  }
  changed_.notify_all();
}

FrameChannel::Batch FrameChannel::take(uint64_t reader, Time until) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto mustLeave = [&] { return broken_ || reader != lastReader_; };
  changed_.wait_until(lock, toSteady(until), [&] { return mustLeave() || !frames_.empty(); });
  Batch batch;
  batch.mustLeave = mustLeave();
  if (!batch.mustLeave) {
    batch.frames.swap(frames_);
  }
  return batch;
}

}  // namespace fernmoor::standin
