/// @file
/// Who reads which attempt of an emulated engine, and the record of what ran. Not thread-safe: the
/// server's mutex guards it.
#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "standin/engine_model.h"
#include "standin/frame_channel.h"

namespace fernmoor::standin {

/// One attempt as it ran, for tests. Written before the work starts.
struct EngineRun {
  AttemptId attempt;
  RequestId request;
  TenantId tenant;
  Incarnation incarnation;
  int64_t firstPosition = 0;
  int64_t tokens = 0;  ///< Produced so far.
  int64_t promptTokens = 0;
  int64_t cachedTokens = 0;
  bool ended = false;  ///< The last token was produced.
};

class EngineStreams {
 public:
  /// One connection's hold on an attempt.
  struct Reader {
    AttemptId attempt;
    std::shared_ptr<FrameChannel> channel;
    uint64_t number = 0;  ///< Among the channel's readers.
  };

  void recordRun(const EngineRequest& request, Incarnation incarnation);
  /// Takes back the run recorded last, which the engine refused.
  void forgetLastRun();
  const std::deque<EngineRun>& runs() const { return runs_; }

  bool hasReaders() const { return streams_.size() > unread_; }
  /// Makes the caller the attempt's only reader.
  Reader attach(const AttemptId& attempt);
  void detach(const Reader& reader, Time now);
  /// Notes a frame in the record and gives it to the reader, if there is one.
  void deliver(EngineFrame frame);
  /// Forgets the attempts that nobody has read for the given time. @return them.
  std::vector<AttemptId> takeAbandoned(Duration grace, Time now);
  /// @return when takeAbandoned() has something next.
  std::optional<Time> nextAbandoned(Duration grace) const;
  /// Sends an attempt's reader away.
  void breakOne(const AttemptId& attempt);
  /// Sends all readers away.
  void breakAll();

 private:
  struct Stream {
    std::shared_ptr<FrameChannel> channel;
    uint64_t reader = 0;  ///< The present one's or the last one's number.
    bool hasReader = false;
    Time readerLeftAt;
  };

  EngineRun* findRun(const AttemptId& attempt);

  std::deque<EngineRun> runs_;
  uint64_t firstRun_ = 0;  ///< Number of the oldest run kept.
  std::unordered_map<AttemptId, uint64_t> runNumbers_;
  std::unordered_map<AttemptId, Stream> streams_;
  size_t unread_ = 0;  ///< Streams without a reader.
};

}  // namespace fernmoor::standin
