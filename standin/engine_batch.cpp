#include "standin/engine_batch.h"

#include <algorithm>

namespace fernmoor::standin {

namespace {
/// Least tokens of one prefill chunk, so that slow engines get on too.
constexpr int64_t kMinimumChunkTokens = 64;
}  // namespace

EngineBatch::EngineBatch(const EngineOptions& options, EngineCache& cache, LoadHistory& history)
    : options_(options), cache_(cache), history_(history) {}

bool EngineBatch::isRunning(const AttemptId& attempt) const {
  const auto found = attempts_.find(attempt);
  return found != attempts_.end() && found->second->phase != Phase::kEnded;
}

/// Decoding is bound by memory up to half the slots; beyond that a step takes up to half longer.
Duration EngineBatch::decodeInterval(size_t streams) const {
  const double slots = static_cast<double>(std::max<int64_t>(1, options_.batchSlots));
  const double beyond = std::max(0.0, static_cast<double>(streams) - slots / 2);
  return Duration(static_cast<int64_t>(static_cast<double>(options_.tokenInterval.count()) *
                                       (1.0 + beyond / slots)));
}

void EngineBatch::add(const EngineRequest& request, Time now) {
  auto owned = std::make_unique<Attempt>();
  Attempt& attempt = *owned;
  const ChainSeed seed{request.tenant, request.model, request.adapter, options_.weightsVersion};
  BlockChain chain = hashPrompt(seed, request.prompt);
  attempt.id = request.attempt;
  attempt.priority = request.priority;
  attempt.arrival = ++arrivals_;
  attempt.chain = std::move(chain.hashes);
  attempt.cacheGeneration = cache_.generation();
  attempt.answer = AnswerKey(request.model.value(), request.prompt);
  attempt.firstPosition = request.firstPosition;
  attempt.position = request.firstPosition;
  attempt.framed = request.firstPosition;
  attempt.maxTokens = std::max(request.maxTokens, request.firstPosition);
  // What was delivered elsewhere is part of the context and is prefilled like the prompt.
  attempt.promptTokens = chain.tokenCount + request.firstPosition;
  attempt.prefillLeft = std::max<int64_t>(
      1, attempt.promptTokens - cache_.blocks().matchedBlocks(attempt.chain) * kTokensPerBlock);
  queuedPrefillTokens_ += attempt.prefillLeft;
  waiting_.insert(&attempt);
  attempts_.emplace(attempt.id, std::move(owned));
  if (step_) {
    cutStepShort(now);
  } else {
    startStep(now);
  }
  history_.record(currentLoad(), now);
}

void EngineBatch::admitWaiting() {
  const auto slots = static_cast<size_t>(std::max<int64_t>(1, options_.batchSlots));
  while (!waiting_.empty() && prefilling_.size() + decoding_.size() < slots) {
    Attempt* attempt = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    attempt->phase = Phase::kPrefill;
    attempt->cachedTokens = -1;
    prefilling_.insert(attempt);
  }
}

/// The cache is asked when the first chunk is planned: what came in meanwhile counts.
void EngineBatch::beginPrefill(Attempt& attempt) {
  queuedPrefillTokens_ -= attempt.prefillLeft;
  attempt.cachedTokens = cache_.use(attempt.chain) * kTokensPerBlock;
  // The last prompt token is always computed, since it yields the first answer token.
  attempt.prefillLeft = std::max<int64_t>(1, attempt.promptTokens - attempt.cachedTokens);
  queuedPrefillTokens_ += attempt.prefillLeft;
}

void EngineBatch::planPrefill(Step& step) {
  const double tokensPerStep = options_.prefillTokensPerSecond * toSeconds(options_.tokenInterval);
  int64_t budget = std::max(kMinimumChunkTokens, static_cast<int64_t>(tokensPerStep));
  for (Attempt* attempt : prefilling_) {
    if (budget == 0) {
      break;
    }
    if (attempt->cachedTokens < 0) {
      beginPrefill(*attempt);
    }
    const int64_t tokens = std::min(budget, attempt->prefillLeft);
    step.chunks.push_back(PrefillChunk{attempt, tokens});
    budget -= tokens;
  }
}

int64_t EngineBatch::iterationsUntilFrame() const {
  int64_t iterations = decoding_.front()->maxTokens;
  for (const Attempt* attempt : decoding_) {
    iterations = std::min(iterations, attempt->maxTokens - attempt->position);
    if (options_.tokensPerFrame > 0) {
      const int64_t unframed = attempt->position - attempt->framed;
      iterations = std::min(iterations, options_.tokensPerFrame - unframed);
    }
  }
  return std::max<int64_t>(1, iterations);
}

void EngineBatch::startStep(Time now) {
  step_.reset();
  admitWaiting();
  if (prefilling_.empty() && decoding_.empty()) {
    return;
  }
  Step step;
  step.start = notFrozen(now);
  planPrefill(step);
  int64_t prefillTokens = 0;
  for (const PrefillChunk& chunk : step.chunks) {
    prefillTokens += chunk.tokens;
  }
  if (!decoding_.empty()) {
    step.interval = decodeInterval(decoding_.size());
  }
  if (prefillTokens > 0) {
    const double seconds = static_cast<double>(prefillTokens) / options_.prefillTokensPerSecond;
    step.interval = std::max({step.interval, fromSeconds(seconds), Duration(1)});
  } else {
    step.iterations = iterationsUntilFrame();
  }
  step_ = std::move(step);
}

/// A change inside a run of several iterations takes effect after the one under way.
void EngineBatch::cutStepShort(Time now) {
  if (step_->iterations <= 1) {
    return;
  }
  const Duration elapsed = std::max(Duration(0), now - step_->start);
  step_->iterations = std::min(step_->iterations, elapsed / step_->interval + 1);
}

void EngineBatch::runTo(Time now, std::vector<EngineFrame>& frames) {
  if (now < frozenUntil_) {
    return;
  }
  emitRepeats(frames);
  while (step_ && notFrozen(step_->end()) <= now) {
    finishStep(frames);
  }
}

void EngineBatch::finishStep(std::vector<EngineFrame>& frames) {
  const Time now = notFrozen(step_->end());
  const Step step = std::move(*step_);
  step_.reset();
  decode(step.iterations, now, frames);
  for (const PrefillChunk& chunk : step.chunks) {
    if (chunk.attempt == nullptr) {
      continue;
    }
    chunk.attempt->prefillLeft -= chunk.tokens;
    queuedPrefillTokens_ -= chunk.tokens;
    prefilledTokens_ += chunk.tokens;
    if (chunk.attempt->prefillLeft == 0) {
      finishPrefill(*chunk.attempt, now, frames);
    }
  }
  startStep(now);
  history_.record(currentLoad(), now);
}

void EngineBatch::decode(int64_t tokens, Time now, std::vector<EngineFrame>& frames) {
  size_t kept = 0;
  for (size_t place = 0; place < decoding_.size(); ++place) {
    Attempt& attempt = *decoding_[place];
    attempt.position += tokens;
    const bool finished = attempt.position >= attempt.maxTokens;
    if (frameIsDue(attempt)) {
      emitFrame(attempt, now, frames);
    }
    if (finished) {
      end(attempt);
    } else {
      decoding_[kept++] = &attempt;
    }
  }
  decoding_.resize(kept);
}

void EngineBatch::finishPrefill(Attempt& attempt, Time now, std::vector<EngineFrame>& frames) {
  prefilling_.erase(&attempt);
  if (attempt.cacheGeneration == cache_.generation()) {
    cache_.store(attempt.chain, now);
  }
  attempt.chain = {};
  attempt.phase = Phase::kDecode;
  attempt.position = std::min(attempt.position + 1, attempt.maxTokens);
  emitFrame(attempt, now, frames);
  if (attempt.position >= attempt.maxTokens) {
    end(attempt);
  } else {
    decoding_.push_back(&attempt);
  }
}

bool EngineBatch::frameIsDue(const Attempt& attempt) const {
  if (attempt.position >= attempt.maxTokens) {
    return true;
  }
  return options_.tokensPerFrame > 0 &&
         attempt.position - attempt.framed >= options_.tokensPerFrame;
}

void EngineBatch::emitFrame(Attempt& attempt, Time now, std::vector<EngineFrame>& frames) {
  EngineFrame frame;
  frame.attempt = attempt.id;
  frame.position = attempt.framed;
  frame.tokens = attempt.position - attempt.framed;
  if (options_.emitText) {
    attempt.answer.append(frame.text, frame.position, frame.tokens);
  }
  frame.end = attempt.position >= attempt.maxTokens;
  frame.promptTokens = attempt.promptTokens;
  frame.cachedTokens = attempt.cachedTokens;
  frame.at = now;
  attempt.framed = attempt.position;
  frames.push_back(std::move(frame));
}

void EngineBatch::end(Attempt& attempt) {
  attempt.phase = Phase::kEnded;
  ended_.push_back(attempt.id);
  while (static_cast<int64_t>(ended_.size()) > options_.resumableAttempts) {
    const auto oldest = attempts_.find(ended_.front());
    ended_.pop_front();
    if (oldest != attempts_.end() && oldest->second->phase == Phase::kEnded) {
      attempts_.erase(oldest);
    }
  }
}

void EngineBatch::cancel(const AttemptId& attempt, Time now) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  if (found->second->phase != Phase::kEnded) {
    removeFromStages(*found->second);
  }
  attempts_.erase(found);
  if (step_) {
    cutStepShort(now);
  }
  history_.record(currentLoad(), now);
}

void EngineBatch::removeFromStages(Attempt& attempt) {
  waiting_.erase(&attempt);
  prefilling_.erase(&attempt);
  decoding_.erase(std::remove(decoding_.begin(), decoding_.end(), &attempt), decoding_.end());
  queuedPrefillTokens_ -= attempt.prefillLeft;
  if (!step_) {
    return;
  }
  for (PrefillChunk& chunk : step_->chunks) {
    if (chunk.attempt == &attempt) {
      chunk.attempt = nullptr;
    }
  }
}

Result<Done> EngineBatch::resume(const AttemptId& attempt, int64_t position, Time now) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return Error{ErrorKind::kNotFound,
                 "The engine does not know this attempt. Send the request anew with the position.",
                 RunState::kUnknown, std::nullopt};
  }
  Attempt& known = *found->second;
  if (position < known.firstPosition || position > known.position) {
    return Error{ErrorKind::kInvalidRequest,
                 "The position is outside the attempt's output. Ask for one that was delivered.",
                 RunState::kRan, std::nullopt};
  }
  known.framed = position;
  repeat_.push_back(attempt);
  repeatAt_ = now;
  return Done{};
}

void EngineBatch::emitRepeats(std::vector<EngineFrame>& frames) {
  for (const AttemptId& id : repeat_) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
      continue;
    }
    Attempt& attempt = *found->second;
    if (attempt.framed < attempt.position || attempt.phase == Phase::kEnded) {
      emitFrame(attempt, notFrozen(repeatAt_), frames);
    }
  }
  repeat_.clear();
}

std::optional<Time> EngineBatch::nextChange() const {
  if (!repeat_.empty()) {
    return notFrozen(repeatAt_);
  }
  if (!step_) {
    return std::nullopt;
  }
  return notFrozen(step_->end());
}

void EngineBatch::clear(Time now) {
  step_.reset();
  waiting_.clear();
  prefilling_.clear();
  decoding_.clear();
  ended_.clear();
  repeat_.clear();
  attempts_.clear();
  queuedPrefillTokens_ = 0;
  frozenUntil_ = Time();
  history_.record(currentLoad(), now);
}

EngineLoad EngineBatch::currentLoad() const {
  EngineLoad load;
  load.queuedPrefillTokens = queuedPrefillTokens_;
  load.runningStreams = static_cast<int64_t>(decoding_.size());
  load.waitingRequests = static_cast<int64_t>(waiting_.size());
  load.maxStreams = options_.batchSlots;
  load.prefillTokensPerSecond = options_.prefillTokensPerSecond;
  load.tokenInterval = decodeInterval(std::max<size_t>(1, decoding_.size()));
  return load;
}

}  // namespace fernmoor::standin
