/// @file
/// Where cached parts of prompts are, known to all nodes: each part has two nodes that keep its
/// hints, found by rendezvous hashing over the living nodes. A request asks the first before it
/// sends its prompt, and the second where the first does not answer or has not run for long; it
/// tells both when the engine has read the part: a few short messages a request, however many nodes
/// there are. So a node that dies or is restarted takes no hints along. Hints only: a lost or wrong
/// one costs time.
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
  /// @param sender outlives the directory; used on the threads that call find() and note().
  PartDirectory(NodeId self, const Clock& clock, MessageSender& sender);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  std::vector<gateway::PartHint> find(const std::vector<gateway::PartKey>& parts) override;
  void note(const std::vector<gateway::PartKey>& parts, uint64_t engine, bool isStored) override;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  /// What one call of find() has learnt so far.
  struct Lookup {
    std::vector<gateway::PartHint> hints;
    std::vector<bool> isSettled;  ///< By part: whether the answer stands.
    size_t openQuestions = 0;
  };
  /// One question of a lookup that waits for its answer.
  struct Pending {
    Lookup* lookup;
    std::vector<size_t> indexes;  ///< Positions of the asked parts.
  };
  /// Which of a part's keepers.
  enum class Rank { kFirst, kSecond };

  Keepers keepersOf(gateway::PartKey part) const;
  /// Asks the keepers of that rank for the parts that are not settled, and waits for them.
  void ask(Rank rank, const std::vector<gateway::PartKey>& parts, Lookup& lookup);
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
