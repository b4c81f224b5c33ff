#include <algorithm>

#include "load_play.h"

namespace fernmoor::gateway {

uint64_t PlayedEngine::addedTokens(const Work& work) const {
  uint64_t tokens = work.ownTokens;
  for (const SharedPart& part : work.parts) {
    const auto known = parts_.find(part.key);
    tokens += known != parts_.end() && known->second.users > 0 ? 0 : part.tokens;
  }
  return tokens;
}

uint64_t PlayedEngine::missingTokens(const Work& work) const {
  uint64_t tokens = work.ownTokens;
  bool isCachedSoFar = true;
  for (const SharedPart& part : work.parts) {
    isCachedSoFar = isCachedSoFar && parts_.at(part.key).isRead;
    tokens += isCachedSoFar ? 0 : part.tokens;
  }
  return tokens;
}

void PlayedEngine::evict() {
  while (cachedTokens_ > 0 && heldTokens_ + cachedTokens_ > kEngineRoom.memoryTokens) {
    auto oldest = parts_.end();
    for (auto part = parts_.begin(); part != parts_.end(); ++part) {
      const bool isOlder = oldest == parts_.end() || part->second.usedAt < oldest->second.usedAt;
      oldest = part->second.users == 0 && isOlder ? part : oldest;
    }
    cachedTokens_ -= oldest->second.tokens;
    parts_.erase(oldest);
  }
}

void PlayedEngine::send(const Work& work, Time now) {
  heldTokens_ += addedTokens(work);
  for (const SharedPart& shared : work.parts) {
    Part& part = parts_[shared.key];
    cachedTokens_ -= part.users == 0 && part.isRead ? part.tokens : 0;
    part.tokens = shared.tokens;
    part.usedAt = now;
    ++part.users;
  }
  requests_.push_back(Request{work, 0, false, false, work.answerTokens});
  mostHeldTokens_ = std::max(mostHeldTokens_, heldTokens_);
  evict();
}

Duration PlayedEngine::readingWait(Time now) const {
  uint64_t tokens = 0;
  for (const Request& request : requests_) {
    tokens += request.isBegun ? request.unread : missingTokens(request.work);
  }
  const Duration ofStep = isInStep_ ? stepEnd_ - now : Duration(0);
  return ofStep + fromSeconds(static_cast<double>(tokens) / kTokensPerMillisecond / 1000);
}

Duration PlayedEngine::startStep() {
  uint64_t budget = kChunkTokens;
  size_t slot = 0;
  for (Request& request : requests_) {
    if (++slot > kEngineRoom.places) {
      break;
    }
    if (request.isRead) {
      --request.tokensLeft;
      ++heldTokens_;
      continue;
    }
    if (budget == 0) {
      continue;
    }
    if (!request.isBegun) {
      request.isBegun = true;
      request.unread = missingTokens(request.work);
    }
    const uint64_t read = std::min(budget, request.unread);
    budget -= read;
    request.unread -= read;
    if (request.unread == 0) {
      request.isRead = true;
      begun_.push_back(request.work.id);
      for (const SharedPart& part : request.work.parts) {
        parts_.at(part.key).isRead = true;
      }
    }
  }
  mostHeldTokens_ = std::max(mostHeldTokens_, heldTokens_);
  evict();
  const double readMilliseconds =
      static_cast<double>(kChunkTokens - budget) / kTokensPerMillisecond;
  return kStepTime + fromSeconds(readMilliseconds / 1000);
}

void PlayedEngine::remove(const Request& request, Time now) {
  heldTokens_ -= request.work.ownTokens;
  heldTokens_ -= static_cast<uint64_t>(request.work.answerTokens - request.tokensLeft);
  for (const SharedPart& shared : request.work.parts) {
    Part& part = parts_.at(shared.key);
    part.usedAt = now;
    if (--part.users > 0) {
      continue;
    }
    heldTokens_ -= part.tokens;
    if (part.isRead) {
      cachedTokens_ += part.tokens;
    } else {
      parts_.erase(shared.key);
    }
  }
  evict();
}

void PlayedEngine::cancel(uint32_t id, Time now) {
  const auto request = std::find_if(requests_.begin(), requests_.end(),
                                    [&](const Request& each) { return each.work.id == id; });
  remove(*request, now);
  requests_.erase(request);
  begun_.erase(std::remove(begun_.begin(), begun_.end(), id), begun_.end());
}

void PlayedEngine::advance(Time now, const Listener& onFirstEvent, const Listener& onEnd) {
  while (true) {
    Time start = now;
    if (isInStep_) {
      if (stepEnd_ > now) {
        return;
      }
      isInStep_ = false;
      start = stepEnd_;
      const std::vector<uint32_t> begun = std::move(begun_);
      begun_.clear();
      std::for_each(begun.begin(), begun.end(), onFirstEvent);
      for (auto request = requests_.begin(); request != requests_.end();) {
        if (request->tokensLeft > 0) {
          ++request;
          continue;
        }
        remove(*request, now);
        const uint32_t id = request->work.id;
        request = requests_.erase(request);
        onEnd(id);
      }
    }
    if (requests_.empty()) {
      return;
    }
    stepEnd_ = start + startStep();
    isInStep_ = true;
  }
}

}  // namespace fernmoor::gateway
