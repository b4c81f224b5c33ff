#include "gateway/pending_work.h"

#include <algorithm>

namespace fernmoor::gateway {

namespace {

/// Prompts are read well within this; a longer wait means that its end was not told.
constexpr Duration kForgetAfter{3000000};

}  // namespace

LoadAnswer PendingWork::reserve(uint64_t engine, const PendingRequest& request, uint64_t bound,
                                Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Entry>& entries = byEngine_[engine];
  entries.erase(std::remove_if(entries.begin(), entries.end(),
                               [&](const Entry& entry) { return now >= entry.forgetAt; }),
                entries.end());
  LoadAnswer answer;
  answer.ticket = LoadTicket{engine, request.id};
  for (const Entry& entry : entries) {
    answer.pendingTokens += entry.request.tokens;
  }
  answer.isGranted = answer.pendingTokens < bound;
  if (answer.isGranted) {
    entries.push_back(Entry{request, now + kForgetAfter});
  } else if (entries.empty()) {
    byEngine_.erase(engine);
  }
  return answer;
}

void PendingWork::release(uint64_t engine, uint64_t owner, uint32_t id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = byEngine_.find(engine);
  if (found == byEngine_.end()) {
    return;
  }
  std::vector<Entry>& entries = found->second;
  entries.erase(std::remove_if(entries.begin(), entries.end(),
                               [&](const Entry& entry) {
                                 return entry.request.owner == owner && entry.request.id == id;
                               }),
                entries.end());
  if (entries.empty()) {
    byEngine_.erase(found);
  }
}

size_t PendingWork::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return byEngine_.size();
}

}  // namespace fernmoor::gateway
