#include "engine/probe_facts.h"

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

uint64_t keyOf(uint64_t engineHash, BlockHash block) {
  return rendezvousWeight(engineHash, block);
}

}  // namespace

ProbeFacts::ProbeFacts(const Knobs& knobs)
    : reuse_(knobs.probeReuse),
      slack_(knobs.probeReuseSlack),
      limit_(static_cast<size_t>(knobs.probeFacts)) {}

void ProbeFacts::record(const EngineLife& life, const ChainSample& sample, size_t matchedHashes,
                        Time now) {
  dropOld(now);
  const uint64_t engineHash = engineLifeHash(life);
  for (size_t index = 0; index < sample.hashes.size() && index <= matchedHashes; ++index) {
    add(keyOf(engineHash, sample.hashes[index]), index < matchedHashes, now);
  }
}

std::optional<size_t> ProbeFacts::matchedHashes(const EngineLife& life, const ChainSample& sample,
                                                Time now) const {
  const uint64_t engineHash = engineLifeHash(life);
  size_t held = 0;
  for (size_t index = 0; index < sample.hashes.size(); ++index) {
    const auto found = facts_.find(keyOf(engineHash, sample.hashes[index]));
    if (found == facts_.end() || now - found->second.at > reuse_) {
      continue;  // A deeper block that is known to be held implies this one.
    }
    if (!found->second.held) {
      return held;
    }
    held = index + 1;
  }
  const int64_t known = held == 0 ? 0 : sample.depthOf(held - 1);
  const auto unknown = static_cast<double>(sample.blockCount - known);
  if (unknown <= slack_ * static_cast<double>(sample.blockCount)) {
    return held;
  }
  return std::nullopt;
}

void ProbeFacts::add(uint64_t key, bool held, Time now) {
  facts_[key] = Fact{held, now};
  order_.push_back(Expiry{now, key});
}

void ProbeFacts::dropOld(Time now) {
  while (!order_.empty() && (order_.size() > limit_ || now - order_.front().at > reuse_)) {
    const auto found = facts_.find(order_.front().key);
    if (found != facts_.end() && found->second.at == order_.front().at) {
      facts_.erase(found);
    }
    order_.pop_front();
  }
}

}  // namespace fernmoor
