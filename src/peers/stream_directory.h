/// @file
/// Distributed records of the software version that each stream is bound to. Each record has a few
/// owner nodes, chosen by rendezvous hashing of the stream over the nodes that are neither draining
/// nor suspected. The node that begins a stream sends the record to them; a node at which a caller
/// takes the stream up asks them, and some of the next ones in the order of the hash, since members
/// may have joined or died in between. This takes a few short messages per stream, whatever the
/// number of nodes, and a stream is forgotten only if all of its owners die. A node that drains
/// hands its records over to the owners without it.
#pragma once

#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "common/role.h"
#include "envelope.pb.h"
#include "gateway/stream_bindings.h"
#include "membership/membership_snapshot.h"

namespace fernmoor::peers {

/// Thread-safe.
class StreamDirectory : public Role, public gateway::StreamBindings {
 public:
  /// @param sender must outlive the directory; used on the threads that call find() and note().
  StreamDirectory(NodeId self, const Clock& clock, MessageSender& sender);

  void setMembers(std::shared_ptr<const MembershipSnapshot> members);

  std::optional<gateway::StreamBinding> find(const std::string& stream) override;
  void note(const std::string& stream, const gateway::StreamBinding& binding,
            Duration keep) override;
  /// @return the number of records that this node keeps.
  size_t size() const;

  void onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                 MessageSender& sender) override;
  void onTick(Time now, MessageSender& sender) override;

 private:
  using StreamKey = uint64_t;
  struct Record {
    StreamKey stream = 0;
    gateway::StreamBinding binding;
    Time expiresAt;
  };
  /// State of one call of find().
  struct Lookup {
    std::optional<gateway::StreamBinding> found;
    std::map<uint32_t, NodeId> open;  ///< Questions that are not answered yet.
  };

  // All of these: call with the lock held.
  std::vector<NodeId> owners(StreamKey stream, size_t count) const;
  void store(Record record);
  /// @return the record; null if there is none that has not expired.
  const Record* recordOf(StreamKey stream, Time now) const;
  void forgetExpired(Time now);
  /// Adds the records of a draining node to the messages for their owners.
  std::map<NodeId, proto::Envelope> handOver(Time now) const;

  /// Asks the nodes and waits for the first record, or until all have answered.
  void ask(StreamKey stream, const std::vector<NodeId>& nodes, Lookup& lookup);
  void onQuestion(NodeLife from, const proto::StreamBindingQuestion& question, Time now,
                  MessageSender& sender);
  void onAnswer(const proto::StreamBindingAnswer& answer);

  const NodeId self_;
  const Clock& clock_;
  MessageSender& sender_;
  mutable std::mutex mutex_;
  std::condition_variable answered_;
  std::shared_ptr<const MembershipSnapshot> members_;
  std::vector<NodeId> ownerCandidates_;  ///< Nodes that are neither draining nor suspected.
  bool isDraining_ = false;              ///< This node is.
  bool hasHandedOver_ = false;
  std::list<Record> order_;  ///< The most recently noted record first.
  std::unordered_map<StreamKey, std::list<Record>::iterator> records_;
  std::map<uint32_t, Lookup*> pending_;  ///< By question.
  uint32_t lastQuestion_ = 0;
};

}  // namespace fernmoor::peers
