#include "standin/engine_streams.h"

#include <algorithm>

namespace fernmoor::standin {

namespace {
constexpr size_t kKeptRuns = 200000;
}  // namespace

void EngineStreams::recordRun(const EngineRequest& request, Incarnation incarnation) {
  EngineRun run;
  run.attempt = request.attempt;
  run.request = request.request;
  run.tenant = request.tenant;
  run.incarnation = incarnation;
  run.firstPosition = request.firstPosition;
  runNumbers_[run.attempt] = firstRun_ + runs_.size();
  runs_.push_back(std::move(run));
  if (runs_.size() > kKeptRuns) {
    const auto oldest = runNumbers_.find(runs_.front().attempt);
    if (oldest != runNumbers_.end() && oldest->second == firstRun_) {
      runNumbers_.erase(oldest);
    }
    runs_.pop_front();
    ++firstRun_;
  }
}

void EngineStreams::forgetLastRun() {
  runNumbers_.erase(runs_.back().attempt);
  runs_.pop_back();
}

EngineRun* EngineStreams::findRun(const AttemptId& attempt) {
  const auto found = runNumbers_.find(attempt);
  return found == runNumbers_.end() ? nullptr : &runs_[found->second - firstRun_];
}

EngineStreams::Reader EngineStreams::attach(const AttemptId& attempt) {
  Stream& stream = streams_[attempt];
  if (!stream.channel) {
    stream.channel = std::make_shared<FrameChannel>();
    ++unread_;
  }
  unread_ -= stream.hasReader ? 0 : 1;
  stream.hasReader = true;
  stream.reader = stream.channel->newReader();
  return Reader{attempt, stream.channel, stream.reader};
}

void EngineStreams::detach(const Reader& reader, Time now) {
  const auto found = streams_.find(reader.attempt);
  if (found == streams_.end() || found->second.channel != reader.channel ||
      found->second.reader != reader.number) {
    return;  // Another reader has taken over, or the stream is broken off.
  }
  found->second.hasReader = false;
  found->second.readerLeftAt = now;
  found->second.channel->clear();
  ++unread_;
}

void EngineStreams::deliver(EngineFrame frame) {
  if (EngineRun* run = findRun(frame.attempt)) {
    run->tokens = std::max(run->tokens, frame.position + frame.tokens - run->firstPosition);
    run->promptTokens = frame.promptTokens;
    run->cachedTokens = frame.cachedTokens;
    run->ended = run->ended || frame.end;
  }
  const auto stream = streams_.find(frame.attempt);
  if (stream == streams_.end() || !stream->second.hasReader) {
    return;  // A later reader gets it by resuming.
  }
  stream->second.channel->push(std::move(frame));
}

std::vector<AttemptId> EngineStreams::takeAbandoned(Duration grace, Time now) {
  std::vector<AttemptId> abandoned;
  if (unread_ == 0) {
    return abandoned;
  }
  for (auto stream = streams_.begin(); stream != streams_.end();) {
    if (stream->second.hasReader || now < stream->second.readerLeftAt + grace) {
      ++stream;
      continue;
    }
    abandoned.push_back(stream->first);
    stream = streams_.erase(stream);
    --unread_;
  }
  return abandoned;
}

std::optional<Time> EngineStreams::nextAbandoned(Duration grace) const {
  std::optional<Time> next;
  if (unread_ == 0) {
    return next;
  }
  for (const auto& [attempt, stream] : streams_) {
    if (!stream.hasReader && (!next || stream.readerLeftAt + grace < *next)) {
      next = stream.readerLeftAt + grace;
    }
  }
  return next;
}

void EngineStreams::breakOne(const AttemptId& attempt) {
  const auto found = streams_.find(attempt);
  if (found == streams_.end()) {
    return;
  }
  found->second.channel->breakOff();
  unread_ -= found->second.hasReader ? 0 : 1;
  streams_.erase(found);
}

void EngineStreams::breakAll() {
  for (const auto& [attempt, stream] : streams_) {
    stream.channel->breakOff();
  }
  streams_.clear();
  unread_ = 0;
}

}  // namespace fernmoor::standin
