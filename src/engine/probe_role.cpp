#include "engine/probe_role.h"

#include <algorithm>

#include "engine/engine_load_codec.h"

namespace fernmoor {

namespace {

/// Limits on the memory that a message may make this node use.
constexpr int kHashLimit = 64;
constexpr size_t kRemoteEngineLimit = 4096;
constexpr size_t kPendingLimit = 16384;
/// Number of times a changed profile is sent.
constexpr int64_t kProfileRepetitions = 3;
/// Pending queries are kept beyond the timeout so that late answers still serve later prompts.
constexpr int64_t kPendingRetentionFactor = 20;

}  // namespace

ProbeRole::ProbeRole(NodeId self, OwnedEngines& owned, OwnerLookup ownerOf, Audience audience,
                     StateListener onState, const Knobs& knobs)
    : self_(self),
      owned_(owned),
      ownerOf_(std::move(ownerOf)),
      audience_(std::move(audience)),
      onState_(std::move(onState)),
      knobs_(knobs),
      facts_(knobs) {}

std::shared_ptr<ProbeWaiter> ProbeRole::ask(const BlockChain& chain,
                                            const std::vector<EngineLife>& engines, Time now,
                                            MessageSender& sender) {
  const ChainSample sample = sampleChain(chain, static_cast<size_t>(knobs_.sampledHashes));
  std::vector<ProbeResult> results;
  std::map<NodeId, std::vector<EngineLife>> enginesByOwner;
  for (const EngineLife& life : engines) {
    results.push_back(knownResult(life, sample, now));
    const auto owner = results.back().known ? std::nullopt : ownerOf_(life.engine);
    if (owner && *owner != self_) {
      enginesByOwner[*owner].push_back(life);
    }
  }
  auto waiter = std::make_shared<ProbeWaiter>(std::move(results), enginesByOwner.size());
  {
    const RankedLock lock(mutex_);
    ++counters_.questions;
  }
  for (auto& entry : enginesByOwner) {
    sendQuery(entry.first, PendingQuery{waiter, entry.first, sample, std::move(entry.second), now},
              sender);
  }
  return waiter;
}

ProbeResult ProbeRole::knownResult(const EngineLife& life, const ChainSample& sample, Time now) {
  ProbeResult result;
  result.life = life;
  const auto own = owned_.probe(life.engine, sample);
  const RankedLock lock(mutex_);
  if (own) {
    result.known = true;
    // A view of another incarnation only shows that this incarnation's cache was lost.
    result.matchedBlocks = own->incarnation == life.incarnation ? own->match.blocks : 0;
    result.doubtful = own->match.doubtful;
    ++counters_.enginesLocal;
    return result;
  }
  const auto matched = facts_.matchedHashes(life, sample, now);
  if (matched) {
    result.known = true;
    result.matchedBlocks = *matched == 0 ? 0 : sample.depthOf(*matched - 1);
    ++counters_.enginesReused;
  }
  return result;
}

void ProbeRole::sendQuery(NodeId owner, const PendingQuery& pending, MessageSender& sender) {
  proto::Envelope envelope;
  proto::ProbeQuery& query = *envelope.mutable_probe()->mutable_query();
  query.set_block_count(static_cast<uint32_t>(pending.sample.blockCount));
  query.mutable_hashes()->Add(pending.sample.hashes.begin(), pending.sample.hashes.end());
  for (const EngineLife& life : pending.engines) {
    query.add_engines(life.engine.value());
  }
  {
    const RankedLock lock(mutex_);
    query.set_query_id(++lastQueryId_);
    if (pending_.size() < kPendingLimit) {
      pending_.emplace(lastQueryId_, pending);
    }
    ++counters_.queriesSent;
  }
  sender.send(owner, envelope);
}

void ProbeRole::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                          MessageSender& sender) {
  const proto::ProbeMessage& message = envelope.probe();
  switch (message.body_case()) {
    case proto::ProbeMessage::kQuery:
      onQuery(from, message.query(), now, sender);
      return;
    case proto::ProbeMessage::kAnswer:
      onAnswer(from, message.answer(), now);
      return;
    case proto::ProbeMessage::kLoadPush:
      onPush(message.load_push(), now);
      return;
    case proto::ProbeMessage::BODY_NOT_SET:
      return;
  }
}

void ProbeRole::onQuery(NodeLife from, const proto::ProbeQuery& query, Time now,
                        MessageSender& sender) {
  if (query.hashes_size() > kHashLimit || query.engines_size() > knobs_.probeEnginesAtMost) {
    return;
  }
  ChainSample sample;
  sample.blockCount = query.block_count();
  sample.stride = sampleStride(sample.blockCount, static_cast<size_t>(query.hashes_size()));
  sample.hashes.assign(query.hashes().begin(), query.hashes().end());
  proto::Envelope envelope;
  proto::ProbeAnswer& answer = *envelope.mutable_probe()->mutable_answer();
  answer.set_query_id(query.query_id());
  for (int index = 0; index < query.engines_size(); ++index) {
    const auto probe = owned_.probe(EngineId(query.engines(index)), sample);
    if (!probe) {
      continue;
    }
    proto::ProbedEngine& engine = *answer.add_engines();
    engine.set_index(static_cast<uint32_t>(index));
    engine.set_incarnation(probe->incarnation.value());
    engine.set_matched_hashes(static_cast<uint32_t>(probe->matchedHashes));
    engine.set_doubtful(probe->match.doubtful);
    encodeLoad(probe->load, now, *engine.mutable_load());
  }
  sender.send(from.node, envelope);
}

void ProbeRole::onAnswer(NodeLife from, const proto::ProbeAnswer& answer, Time now) {
  std::shared_ptr<ProbeWaiter> waiter;
  AnswerOutcome outcome;
  {
    const RankedLock lock(mutex_);
    const auto found = pending_.find(answer.query_id());
    if (found == pending_.end() || found->second.owner != from.node) {
      return;
    }
    const PendingQuery pending = std::move(found->second);
    pending_.erase(found);
    ++counters_.answersReceived;
    waiter = pending.waiter;
    for (const proto::ProbedEngine& engine : answer.engines()) {
      processAnswer(engine, pending, now, outcome);
    }
  }
  for (const EngineState& state : outcome.states) {
    onState_(state);
  }
  waiter->add(outcome.results);
}

void ProbeRole::processAnswer(const proto::ProbedEngine& engine, const PendingQuery& pending,
                              Time now, AnswerOutcome& outcome) {
  if (engine.index() >= pending.engines.size()) {
    return;
  }
  const EngineLife& life = pending.engines[engine.index()];
  const bool sameIncarnation = life.incarnation.value() == engine.incarnation();
  // Another incarnation's cache only shows that this incarnation's cache was lost.
  const size_t matched =
      sameIncarnation ? std::min<size_t>(engine.matched_hashes(), pending.sample.hashes.size()) : 0;
  facts_.record(life, pending.sample, matched, now);
  ProbeResult result;
  result.life = life;
  result.known = true;
  result.matchedBlocks = matched == 0 ? 0 : pending.sample.depthOf(matched - 1);
  result.doubtful = engine.doubtful();
  outcome.results.push_back(result);
  const auto remote = remoteEngines_.find(life.engine);
  if (remote != remoteEngines_.end() &&
      remote->second.incarnation.value() == engine.incarnation()) {
    decodeLoad(engine.load(), now, remote->second.load);
    outcome.states.push_back(remote->second);
  }
}

void ProbeRole::onTick(Time now, MessageSender& sender) {
  dropTimedOut(now);
  if (isPushDue(now)) {
    owned_.expire(now);
    pushLoads(now, sender);
  }
}

bool ProbeRole::isPushDue(Time now) {
  const RankedLock lock(mutex_);
  if (now - lastPush_ < knobs_.loadPushInterval) {
    return false;
  }
  lastPush_ = now;
  ++pushes_;
  return true;
}

void ProbeRole::dropTimedOut(Time now) {
  const RankedLock lock(mutex_);
  for (auto query = pending_.begin(); query != pending_.end();) {
    if (now - query->second.sentAt > knobs_.probeTimeout * kPendingRetentionFactor) {
      query = pending_.erase(query);
      ++counters_.queriesTimedOut;
    } else {
      ++query;
    }
  }
}

void ProbeRole::pushLoads(Time now, MessageSender& sender) {
  const std::vector<EngineState> states = owned_.states();
  if (states.empty()) {
    return;
  }
  proto::Envelope envelope;
  proto::LoadPush& push = *envelope.mutable_probe()->mutable_load_push();
  for (const EngineState& state : states) {
    proto::PushedEngine& engine = *push.add_engines();
    engine.set_engine(state.id.value());
    engine.set_profile_digest(profileDigest(state));
    if (needsProfile(state.id, engine.profile_digest())) {
      encodeProfile(state, *engine.mutable_profile());
    }
    encodeLoad(state.load, now, *engine.mutable_load());
  }
  for (const NodeId node : audience_()) {
    if (node != self_) {
      sender.send(node, envelope);
      const RankedLock lock(mutex_);
      ++counters_.pushesSent;
    }
  }
}

bool ProbeRole::needsProfile(const EngineId& engine, uint32_t digest) {
  const RankedLock lock(mutex_);
  PushedProfile& pushed = pushedProfiles_[engine];
  if (pushed.digest != digest) {
    pushed.digest = digest;
    pushed.repetitionsLeft = kProfileRepetitions;
  }
  if (pushed.repetitionsLeft > 0) {
    --pushed.repetitionsLeft;
    return true;
  }
  return pushes_ % static_cast<uint64_t>(knobs_.loadProfileEvery) == 0;
}

void ProbeRole::onPush(const proto::LoadPush& push, Time now) {
  std::vector<EngineState> states;
  {
    const RankedLock lock(mutex_);
    for (const proto::PushedEngine& engine : push.engines()) {
      const EngineId id(engine.engine());
      auto remote = remoteEngines_.find(id);
      if (engine.has_profile() && remote == remoteEngines_.end() &&
          remoteEngines_.size() < kRemoteEngineLimit) {
        remote = remoteEngines_.emplace(id, EngineState{}).first;
        remote->second.id = id;
      }
      if (remote == remoteEngines_.end()) {
        continue;
      }
      if (engine.has_profile() &&
          engine.profile().incarnation() >= remote->second.incarnation.value()) {
        decodeProfile(engine.profile(), remote->second);
      }
      if (profileDigest(remote->second) != engine.profile_digest()) {
        continue;  // The load is of another incarnation or other weights; the profile will follow.
      }
      decodeLoad(engine.load(), now, remote->second.load);
      states.push_back(remote->second);
    }
  }
  for (const EngineState& state : states) {
    onState_(state);
  }
}

ProbeCounters ProbeRole::counters() const {
  const RankedLock lock(mutex_);
  return counters_;
}

}  // namespace fernmoor
