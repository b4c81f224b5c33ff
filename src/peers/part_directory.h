/// @file
/// Distributed directory of the engines that have parts of prompts cached. Each part has two owners
/// that store its hints, chosen by rendezvous hashing over the live nodes. Before a request sends
/// its prompt it asks the primary owner, and the secondary one if the primary does not answer or
/// has started recently. Once the engine has read the part, both owners are notified. This takes a
/// few short messages per request, whatever the number of nodes. No hints are lost if one node dies
/// or restarts. These are only hints: a lost or wrong one costs time, not correctness.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "common/role.h"
#include "envelope.pb.h"
#include "gateway/part_memory.h"
#include "membership/membership_snapshot.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

/// Thread-safe.
class PartDirectory : public Role, public gateway::PartHints {
 public:
  /// @param sender must outlive the directory; used on the threads that call find() and note().
  PartDirectory(NodeId self, const Clock& clock, MessageSender& sender);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  std::vector<gateway::PartHint> find(const std::vector<gateway::PartKey>& parts) override;
  void note(const std::vector<gateway::PartKey>& parts, uint64_t engine, bool isStored) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// State of one call of find().
  struct Lookup {
    std::vector<gateway::PartHint> hints;
    std::vector<bool> isSettled;  ///< By part: whether the hint is final.
    size_t openQuestions = 0;
  };
  /// A question of a lookup that is not answered yet.
  struct Pending {
    Lookup* lookup;
    std::vector<size_t> indexes;  ///< Positions in the prompt of the parts asked for.
  };
  /// Which of the owners of a part.
  enum class Rank { kPrimary, kSecondary };

  KeyOwners ownersOf(gateway::PartKey part) const;
  /// Asks the owners of that rank for the parts that are not settled, and waits for the answers.
  void ask(Rank rank, const std::vector<gateway::PartKey>& parts, Lookup& lookup);
  /// @return whether this node started too recently to know all hints of its parts.
  bool isNew(Time now) const;
  void onQuestion(NodeLife from, const proto::PartQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(const proto::PartAnswer& answer, Time now);

  const NodeId self_;
  const Clock& clock_;
  const Time startedAt_;
  MessageSender& sender_;
  gateway::PartMemory memory_;
  mutable std::mutex mutex_;
  std::condition_variable answered_;
  std::shared_ptr<const MembershipSnapshot> members_;
  std::map<uint32_t, Pending> pending_;
  uint32_t lastQuestion_ = 0;
};

}  // namespace fernmoor::peers
