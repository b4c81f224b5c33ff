#include "membership/synchronizer.h"

#include <algorithm>

namespace fernmoor {

namespace {

/// Nodes queried in parallel while joining.
constexpr size_t kJoinTargets = 2;
/// Bounds what other nodes can make this one remember.
constexpr size_t kMaximumAskSoon = 16;
constexpr size_t kMaximumPushBacks = 16;
constexpr uint32_t kMaximumPages = 4096;
/// Time for the other pages of an answer to come in before what they lack is sent back.
constexpr Duration kPushBackDelay = std::chrono::milliseconds(200);
/// Factor by which the next comparison comes sooner after one that found unknown members.
constexpr int kHurry = 10;

std::optional<MemberTable::BucketHashes> readHashes(
    const google::protobuf::RepeatedField<uint32_t>& field) {
  if (field.size() != static_cast<int>(MemberTable::kBuckets)) {
    return std::nullopt;
  }
  MemberTable::BucketHashes hashes{};
  std::copy(field.begin(), field.end(), hashes.begin());
  return hashes;
}

}  // namespace

Synchronizer::Synchronizer(const MemberTable& table, Messenger& messenger, Random& random,
                           const Knobs& knobs)
    : table_(table),
      messenger_(messenger),
      random_(random),
      knobs_(knobs),
      syncInterval_(knobs.membershipSyncInterval),
      pageTokens_(static_cast<double>(knobs.membershipSyncPagesPerSecond)) {}

void Synchronizer::addSeeds(const std::vector<Seed>& seeds) {
  for (const Seed& seed : seeds) {
    if (seed.node == table_.selfId() || seed.node.value() == 0) {
      continue;
    }
    const auto known = std::find_if(seeds_.begin(), seeds_.end(),
                                    [&seed](const Seed& other) { return other.node == seed.node; });
    if (known != seeds_.end()) {
      known->peerAddress = seed.peerAddress;
    } else if (seeds_.size() < static_cast<size_t>(knobs_.membershipMaximumMembers)) {
      seeds_.push_back(seed);
    }
  }
}

void Synchronizer::replaceSeeds(const std::vector<Seed>& seeds) {
  seeds_.clear();
  addSeeds(seeds);
}

void Synchronizer::setRegistered(const std::vector<Seed>& nodes) {
  registered_ = nodes;
  for (const Seed& node : registered_) {
    askSoon(node.node);
  }
}

std::vector<Seed> Synchronizer::candidates() const {
  std::vector<Seed> candidates = seeds_;
  for (const Seed& node : registered_) {
    const bool isSeed = std::any_of(seeds_.begin(), seeds_.end(),
                                    [&node](const Seed& seed) { return seed.node == node.node; });
    if (!isSeed) {
      candidates.push_back(node);
    }
  }
  return candidates;
}

void Synchronizer::onTick(Time now) {
  if (!startedAt_) {
    startedAt_ = now;
    lastTickAt_ = now;
    nextSyncAt_ = now + random_.between(Duration::zero(), knobs_.membershipSyncInterval);
    nextReconnectAt_ = now + random_.between(Duration::zero(), knobs_.membershipReconnectInterval);
  }
  const auto rate = static_cast<double>(knobs_.membershipSyncPagesPerSecond);
  pageTokens_ = std::min(rate, pageTokens_ + rate * toSeconds(now - lastTickAt_));
  lastTickAt_ = now;
  join(now);
  sendPushBacks(now);
  for (const NodeId node : askSoon_) {
    request(node);
  }
  askSoon_.clear();
  if (now >= nextSyncAt_) {
    for (const NodeId peer : table_.randomAlivePeers(1, random_)) {
      request(peer);
    }
    nextSyncAt_ = now + random_.between(syncInterval_ / 2, syncInterval_ * 3 / 2);
    syncInterval_ = std::min(syncInterval_ * 2, knobs_.membershipSyncInterval);
  }
  if (now >= nextReconnectAt_) {
    reconnect();
    const Duration interval = table_.alivePeers().empty() ? knobs_.membershipJoinInterval
                                                          : knobs_.membershipReconnectInterval;
    nextReconnectAt_ = now + random_.between(interval / 2, interval * 3 / 2);
  }
}

void Synchronizer::onRequest(NodeId from, const proto::MembershipSyncRequest& request) {
  const auto theirs = readHashes(request.bucket_hashes());
  const size_t pages = affordablePages();
  if (!theirs || pages == 0) {
    return;
  }
  spend(messenger_.syncPages(from, *theirs, true, pages));
}

void Synchronizer::onPage(NodeId from, const proto::MembershipSyncPage& page, bool newLives,
                          Time now) {
  if (newLives) {
    syncInterval_ = knobs_.membershipSyncInterval / kHurry;
    nextSyncAt_ = std::min(nextSyncAt_, now + syncInterval_);
  }
  noteAnswerPage(from, page);
  const auto theirs = readHashes(page.bucket_hashes());
  if (theirs && pushBacks_.size() < kMaximumPushBacks) {
    pushBacks_.push_back(PushBack{from, *theirs, now + kPushBackDelay});
  }
}

void Synchronizer::askSoon(NodeId node) {
  const bool known = std::find(askSoon_.begin(), askSoon_.end(), node) != askSoon_.end();
  if (!known && node != table_.selfId() && askSoon_.size() < kMaximumAskSoon) {
    askSoon_.push_back(node);
  }
}

void Synchronizer::join(Time now) {
  if (joined_ || now < nextJoinAt_) {
    return;
  }
  const bool alone = seeds_.empty() || now - *startedAt_ >= knobs_.membershipAloneAfter;
  if (alone) {
    joined_ = true;
    return;
  }
  nextJoinAt_ = now + knobs_.membershipJoinInterval;
  answer_.reset();
  std::vector<NodeId> targets = table_.randomAlivePeers(kJoinTargets, random_);
  for (size_t tries = 0; targets.size() < kJoinTargets && tries < kJoinTargets; ++tries) {
    if (!seeds_.empty()) {
      targets.push_back(seeds_[random_.below(seeds_.size())].node);
    }
  }
  for (const NodeId target : targets) {
    request(target);
  }
}

void Synchronizer::reconnect() {
  const std::vector<NodeId> candidates = reconnectCandidates();
  if (!candidates.empty()) {
    request(candidates[random_.below(candidates.size())]);
  }
}

std::vector<NodeId> Synchronizer::reconnectCandidates() const {
  std::vector<NodeId> candidates;
  for (const auto& entry : table_.entries()) {
    if (entry.second.status.health == MemberHealth::kDead) {
      candidates.push_back(entry.first);
    }
  }
  for (const Seed& seed : seeds_) {
    if (table_.find(seed.node) == nullptr) {
      candidates.push_back(seed.node);
    }
  }
  return candidates;
}

void Synchronizer::sendPushBacks(Time now) {
  for (auto pushBack = pushBacks_.begin(); pushBack != pushBacks_.end();) {
    if (now < pushBack->at) {
      ++pushBack;
      continue;
    }
    const size_t pages = affordablePages();
    if (pages > 0) {
      spend(messenger_.syncPages(pushBack->to, pushBack->theirs, false, pages));
    }
    pushBack = pushBacks_.erase(pushBack);
  }
}

void Synchronizer::noteAnswerPage(NodeId from, const proto::MembershipSyncPage& page) {
  const bool valid = page.page() < page.page_count() && page.page_count() <= kMaximumPages;
  if (joined_ || !valid || !page.complete()) {
    return;
  }
  if (!answer_ || answer_->from != from || answer_->pages.size() != page.page_count()) {
    answer_ = Answer{from, std::vector<bool>(page.page_count(), false), page.page_count()};
  }
  if (!answer_->pages[page.page()]) {
    answer_->pages[page.page()] = true;
    --answer_->missing;
  }
  joined_ = answer_->missing == 0;
}

void Synchronizer::request(NodeId to) {
  if (to != table_.selfId()) {
    messenger_.syncRequest(to);
  }
}

void Synchronizer::spend(size_t pages) {
  pageTokens_ -= static_cast<double>(pages);
}

size_t Synchronizer::affordablePages() const {
  return pageTokens_ < 1 ? 0 : static_cast<size_t>(pageTokens_);
}

}  // namespace fernmoor
