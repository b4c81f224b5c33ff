/// @file
/// Joining, anti-entropy and reconnection: whole tables are compared by hashes of buckets of
/// members, and only the buckets that differ are sent. (Anti-entropy after A. Demers et al.,
/// "Epidemic algorithms for replicated database maintenance", PODC 1987.)
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/knobs.h"
#include "common/random.h"
#include "membership/member_table.h"
#include "membership/messenger.h"

namespace fernmoor {

/// A node that may exist, from the settings or the platform's list. It is asked, and becomes a
/// member only by its own word.
struct Seed {
  NodeId node;
  SocketAddress peerAddress;
};

/// Not thread-safe; works on state that its owner guards.
class Synchronizer {
 public:
  /// All references outlive the synchronizer.
  Synchronizer(const MemberTable& table, Messenger& messenger, Random& random, const Knobs& knobs);

  /// Adds candidates to ask; for one that is known already the new address counts.
  void addSeeds(const std::vector<Seed>& seeds);
  /// Replaces all seeds.
  void replaceSeeds(const std::vector<Seed>& seeds);
  /// Replaces the nodes that a registry names beside the seeds, and asks them at the next tick.
  void setRegistered(const std::vector<Seed>& nodes);
  /// @return the seeds and the registered nodes, each node once.
  std::vector<Seed> candidates() const;

  void onTick(Time now);
  void onRequest(NodeId from, const proto::MembershipSyncRequest& request);
  /// @param newLives whether the page named unknown incarnations.
  void onPage(NodeId from, const proto::MembershipSyncPage& page, bool newLives, Time now);

  /// Wants to know who the sender is, and whom it knows.
  void askSoon(NodeId node);
  /// Compares with a random member at the next tick, because this node may have missed news.
  void compareSoon() { nextSyncAt_ = Time(); }

  /// @return whether a node answered completely, or no seed answered in good time.
  bool joined() const { return joined_; }

 private:
  /// The pages of one answer that came so far.
  struct Answer {
    NodeId from;
    std::vector<bool> pages;
    size_t missing = 0;
  };
  /// What is to be sent back to a node once its answer was taken in.
  struct PushBack {
    NodeId to;
    MemberTable::BucketHashes theirs;
    Time at;
  };

  void join(Time now);
  void reconnect();
  void sendPushBacks(Time now);
  void noteAnswerPage(NodeId from, const proto::MembershipSyncPage& page);
  std::vector<NodeId> reconnectCandidates() const;
  void request(NodeId to);
  void spend(size_t pages);
  size_t affordablePages() const;

  const MemberTable& table_;
  Messenger& messenger_;
  Random& random_;
  const Knobs& knobs_;
  std::vector<Seed> seeds_;
  std::vector<Seed> registered_;
  std::vector<NodeId> askSoon_;
  std::vector<PushBack> pushBacks_;
  std::optional<Answer> answer_;
  bool joined_ = false;
  std::optional<Time> startedAt_;
  Time lastTickAt_;
  Time nextJoinAt_;
  Time nextSyncAt_;
  Time nextReconnectAt_;
  Duration syncInterval_;
  double pageTokens_ = 0;
};

}  // namespace fernmoor
