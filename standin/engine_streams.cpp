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
  std::shared_ptr<Channel>& channel = channels_[attempt];
  if (!channel) {
    channel = std::make_shared<Channel>();
    ++unread_;
  }
  unread_ -= channel->hasReader ? 0 : 1;
  channel->hasReader = true;
  channel->frames.clear();
  ++channel->generation;
  channel->changed.notify_all();
  return Reader{attempt, channel, channel->generation};
}

void EngineStreams::detach(const Reader& reader, Time now) {
  if (reader.mustLeave()) {
    return;
  }
  reader.channel->hasReader = false;
  reader.channel->readerLeftAt = now;
  reader.channel->frames.clear();
  ++unread_;
}

void EngineStreams::deliver(EngineFrame frame) {
  if (EngineRun* run = findRun(frame.attempt)) {
    run->tokens = std::max(run->tokens, frame.position + frame.tokens - run->firstPosition);
    run->promptTokens = frame.promptTokens;
    run->cachedTokens = frame.cachedTokens;
    run->ended = run->ended || frame.end;
  }
  const auto channel = channels_.find(frame.attempt);
  if (channel == channels_.end() || !channel->second->hasReader) {
    return;  // A later reader gets it by resuming.
  }
  channel->second->frames.push_back(std::move(frame));
  channel->second->changed.notify_all();
}

std::vector<AttemptId> EngineStreams::takeAbandoned(Duration grace, Time now) {
  std::vector<AttemptId> abandoned;
  if (unread_ == 0) {
    return abandoned;
  }
  for (auto channel = channels_.begin(); channel != channels_.end();) {
    if (channel->second->hasReader || now < channel->second->readerLeftAt + grace) {
      ++channel;
      continue;
    }
    abandoned.push_back(channel->first);
    channel = channels_.erase(channel);
    --unread_;
  }
  return abandoned;
}

std::optional<Time> EngineStreams::nextAbandoned(Duration grace) const {
  std::optional<Time> next;
  if (unread_ == 0) {
    return next;
  }
  for (const auto& [attempt, channel] : channels_) {
    if (!channel->hasReader && (!next || channel->readerLeftAt + grace < *next)) {
      next = channel->readerLeftAt + grace;
    }
  }
  return next;
}

void EngineStreams::breakOne(const AttemptId& attempt) {
  const auto found = channels_.find(attempt);
  if (found == channels_.end()) {
    return;
  }
  found->second->broken = true;
  found->second->changed.notify_all();
  unread_ -= found->second->hasReader ? 0 : 1;
  channels_.erase(found);
}

void EngineStreams::breakAll() {
  for (const auto& [attempt, channel] : channels_) {
    channel->broken = true;
    channel->changed.notify_all();
  }
  channels_.clear();
  unread_ = 0;
}

}  // namespace fernmoor::standin
