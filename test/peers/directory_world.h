/// @file
/// Test fixture with the directories of several nodes, whose messages are delivered synchronously.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "common/role.h"
#include "membership/membership_snapshot.h"
#include "sim/virtual_clock.h"

namespace fernmoor::peers::test {

/// Creates a directory from its node, a clock and a sender.
template <class Directory>
struct PlainMaker {
  std::unique_ptr<Directory> operator()(NodeId node, const Clock& clock,
                                        MessageSender& sender) const {
    return std::make_unique<Directory>(node, clock, sender);
  }
};

/// @tparam Directory a role with setMembers().
/// @tparam Maker creates the directory of a node, at first and after each restart.
template <class Directory, class Maker = PlainMaker<Directory>>
class DirectoryWorld {
 public:
  class Direct : public MessageSender {
   public:
    Direct(DirectoryWorld& world, NodeId from) : world_(world), from_(from) {}
    void send(NodeId to, const proto::Envelope& envelope) override {
      ++world_.messages;
      world_.messageBytes += envelope.ByteSizeLong();
      if (world_.silent.count(to) == 0 && world_.isCut(from_) == world_.isCut(to)) {
        world_.node(to).onMessage(NodeLife{from_, Incarnation(1)}, envelope, world_.clock.now(),
                                  *world_.senders_.at(to));
      }
    }

   private:
    DirectoryWorld& world_;
    NodeId from_;
  };

  explicit DirectoryWorld(uint64_t count) {
    for (uint64_t id = 1; id <= count; ++id) {
      Member member;
      member.life.node = NodeId(id);
      members_->members.push_back(member);
      senders_[NodeId(id)] = std::make_unique<Direct>(*this, NodeId(id));
      nodes_[NodeId(id)] = maker(NodeId(id), clock, *senders_[NodeId(id)]);
    }
    for (auto& node : nodes_) {
      node.second->setMembers(members_);
    }
  }
  /// Replaces a node by one without any state.
  void restart(uint64_t id) {
    const NodeId node(id);
    nodes_[node] = maker(node, clock, *senders_[node]);
    nodes_[node]->setMembers(members_);
  }
  /// Changes the state of a member in the snapshots of all nodes.
  void setState(uint64_t id, MemberState state) {
    members_ = std::make_shared<MembershipSnapshot>(*members_);
    for (Member& member : members_->members) {
      if (member.life.node == NodeId(id)) {
        member.state = state;
      }
    }
    for (auto& node : nodes_) {
      node.second->setMembers(members_);
    }
  }
  /// Removes a member from the snapshots of all nodes, as one that is dead.
  void removeMember(uint64_t id) {
    members_ = std::make_shared<MembershipSnapshot>(*members_);
    auto& members = members_->members;
    members.erase(std::remove_if(members.begin(), members.end(),
                                 [&](const Member& each) { return each.life.node == NodeId(id); }),
                  members.end());
    for (auto& node : nodes_) {
      node.second->setMembers(members_);
    }
  }
  /// Changes the incarnation of a member in the snapshots of all nodes.
  void setIncarnation(uint64_t id, Incarnation incarnation) {
    members_ = std::make_shared<MembershipSnapshot>(*members_);
    for (Member& member : members_->members) {
      if (member.life.node == NodeId(id)) {
        member.life.incarnation = incarnation;
      }
    }
    for (auto& node : nodes_) {
      node.second->setMembers(members_);
    }
  }
  /// Partitions these nodes off from the others, but not from each other.
  void cut(const std::set<uint64_t>& nodes) { cutOff_ = nodes; }
  MessageSender& sender(NodeId id) { return *senders_.at(id); }
  Directory& node(NodeId id) { return *nodes_.at(id); }
  Directory& node(uint64_t id) { return node(NodeId(id)); }
  size_t size() const { return nodes_.size(); }

  sim::VirtualClock clock;
  Maker maker;
  int messages = 0;
  size_t messageBytes = 0;  ///< Total size of all messages before they are sealed.
  std::set<NodeId> silent;  ///< Nodes to which no messages are delivered.

 private:
  bool isCut(NodeId node) const { return cutOff_.count(node.value()) > 0; }

  std::set<uint64_t> cutOff_;
  std::shared_ptr<MembershipSnapshot> members_ = std::make_shared<MembershipSnapshot>();
  std::map<NodeId, std::unique_ptr<Direct>> senders_;
  std::map<NodeId, std::unique_ptr<Directory>> nodes_;
};

}  // namespace fernmoor::peers::test
