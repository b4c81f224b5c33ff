/// @file
/// Changes of the owners of engines in the load directory: reports the open requests of this node
/// to new owners, and drops the requests of nodes that are gone.
#include <algorithm>
#include <utility>

#include "common/log.h"
#include "peers/load_demand_codec.h"
#include "peers/load_directory.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

/// Minimum interval between two renewals, so that the changes of a restart of all nodes are
/// reported together. Counts are to be correct within a second of a change.
constexpr Duration kRenewalInterval{500000};
/// A request takes about 100 bytes, and a datagram 1,200.
constexpr int kMaxRequestsPerMessage = 8;
constexpr Duration kRefusalLogInterval{4000000};
/// Engines whose owners are remembered, some 60 bytes each. Incarnations that have ended add to the
/// listed ones until the members change.
constexpr size_t kMaxKnownOwners = 32768;

}  // namespace

NodeLife LoadDirectory::ownerLifeOf(uint64_t engine) const {
  if (const auto known = ownerLives_.find(engine); known != ownerLives_.end()) {
    return known->second;
  }
  if (ownerLives_.size() >= kMaxKnownOwners) {
    ownerLives_.clear();
  }
  NodeLife owner;
  owner.node = rendezvousOwner(engine, self_, members_.get());
  if (const Member* const member = members_ == nullptr ? nullptr : members_->find(owner.node)) {
    owner.incarnation = member->life.incarnation;
  }
  ownerLives_[engine] = owner;
  return owner;
}

void LoadDirectory::noteOpen(uint32_t id, OpenRequest request,
                             const MembershipSnapshot* askedMembers) {
  const std::lock_guard<std::mutex> lock(mutex_);
  mustRenew_ = mustRenew_ || members_.get() != askedMembers;  // The owner may have changed.
  open_[id] = std::move(request);
}

void LoadDirectory::releaseAt(NodeId node, uint64_t engine, uint32_t id) {
  if (node == self_) {
    work_.release(engine, self_.value(), id, clock_.now());
    return;
  }
  proto::Envelope envelope;
  proto::LoadRelease& release = *envelope.mutable_load()->mutable_release();
  release.set_engine(engine);
  release.set_question_id(id);
  sender_.send(node, envelope);
}

NodeId LoadDirectory::closeRequest(const gateway::LoadTicket& ticket) {
  NodeId owner;
  std::vector<NodeId> others;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    owner = ownerLifeOf(ticket.engine).node;
    const auto open = open_.find(ticket.id);
    if (open == open_.end()) {
      return owner;
    }
    others = std::move(open->second.formerOwners);
    others.push_back(open->second.owner.node);
    others.erase(std::remove_if(others.begin(), others.end(),
                                [&](NodeId node) {
                                  const bool isPresent = node == self_ || members_ == nullptr ||
                                                         members_->find(node) != nullptr;
                                  return node == owner || !isPresent;
                                }),
                 others.end());
    open_.erase(open);
  }
  for (const NodeId node : others) {
    releaseAt(node, ticket.engine, ticket.id);
  }
  return owner;
}

LoadDirectory::Renewals LoadDirectory::takeRenewals(Time now) {
  Renewals renewals;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto open = open_.begin(); open != open_.end();) {
    open = now >= open->second.forgetAt ? open_.erase(open) : std::next(open);
  }
  if (!mustRenew_ || now < nextRenewalAt_) {
    return renewals;
  }
  mustRenew_ = false;
  nextRenewalAt_ = now + kRenewalInterval;
  for (auto& [id, request] : open_) {
    const NodeLife owner = ownerLifeOf(request.engine);
    if (owner != request.owner) {
      std::vector<NodeId>& formers = request.formerOwners;
      if (owner.node != request.owner.node) {
        formers.erase(std::remove(formers.begin(), formers.end(), owner.node), formers.end());
        formers.push_back(request.owner.node);
      }
      request.owner = owner;
      renewals[owner.node][id] = request;
    }
  }
  return renewals;
}

void LoadDirectory::renewOpenRequests(Time now) {
  const Renewals renewals = takeRenewals(now);
  size_t count = 0;
  for (const auto& [owner, requests] : renewals) {
    count += requests.size();
    sendRenewals(owner, requests, now);
    for (const auto& [id, request] : requests) {
      bool hasEnded = false;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        hasEnded = open_.count(id) == 0;
      }
      if (hasEnded) {
        releaseAt(owner, request.engine, id);  // Its release may have overtaken the renewal.
      }
    }
  }
  if (count == 0) {
    return;
  }
  renewedCount_ += count;
  if (const std::optional<uint64_t> leftOut = renewalLog_.take(now)) {
    LogFields fields;
    fields.leftOut = *leftOut;
    logInfo("engine load: " + std::to_string(count) + " open requests were reported to " +
                std::to_string(renewals.size()) + " new owners of their engines",
            fields);
  }
}

void LoadDirectory::sendRenewals(NodeId owner, const std::map<uint32_t, OpenRequest>& requests,
                                 Time now) {
  proto::Envelope envelope;
  for (const auto& [id, request] : requests) {
    gateway::EngineDemand demand = request.demand;
    demand.forgetAfter = request.forgetAt - now;
    if (owner == self_) {
      const gateway::PendingRequest pending{self_.value(), id, std::move(demand)};
      work_.renew(request.engine, pending, request.room, request.isRead, now);
      continue;
    }
    proto::LoadRenewal& renewal = *envelope.mutable_load()->mutable_renewal();
    proto::OpenRequest& open = *renewal.add_requests();
    encodeDemand(id, request.engine, demand, request.room, *open.mutable_question());
    open.set_is_read(request.isRead);
    if (renewal.requests_size() >= kMaxRequestsPerMessage) {
      sender_.send(owner, envelope);
      envelope.Clear();
    }
  }
  if (envelope.load().renewal().requests_size() > 0) {
    sender_.send(owner, envelope);
  }
}

void LoadDirectory::onRenewal(NodeLife from, const proto::LoadRenewal& renewal, Time now) {
  forgetPreviousIncarnation(from);
  for (const proto::OpenRequest& open : renewal.requests()) {
    const proto::LoadQuestion& question = open.question();
    const gateway::EngineRoom room{question.engine_places(), question.engine_memory_tokens()};
    const gateway::PendingRequest request{from.node.value(), question.question_id(),
                                          decodeDemand(question)};
    work_.renew(question.engine(), request, room, open.is_read(), now);
  }
}

void LoadDirectory::forgetRequestsOf(NodeId node, Time now) {
  const size_t count = work_.forgetOwner(node.value(), now);
  if (count == 0) {
    return;
  }
  if (const std::optional<uint64_t> leftOut = renewalLog_.take(now)) {
    LogFields fields;
    fields.peer = node;
    fields.leftOut = *leftOut;
    logInfo("engine load: " + std::to_string(count) +
                " requests of a node that is dead or was restarted are no longer counted",
            fields);
  }
}

void LoadDirectory::forgetRemoved(const std::vector<NodeId>& removed, Time now) {
  for (const NodeId node : removed) {
    std::optional<NodeLife> restarted;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const Member* const member = members_ == nullptr ? nullptr : members_->find(node);
      if (member != nullptr) {
        restarted = member->life;
      } else {
        askerIncarnations_.erase(node);
      }
    }
    if (restarted) {
      forgetPreviousIncarnation(*restarted);  // Requests of its present incarnation are kept.
    } else {
      forgetRequestsOf(node, now);
    }
  }
}

void LoadDirectory::logRefusals(Time now) {
  if (now - refusalsLoggedAt_ < kRefusalLogInterval) {
    return;
  }
  refusalsLoggedAt_ = now;
  const gateway::RoomRefusals all = work_.refusals();
  const gateway::RoomRefusals logged = loggedRefusals_;
  loggedRefusals_ = all;
  const uint64_t places = all.places - logged.places;
  const uint64_t memory = all.memory - logged.memory;
  const uint64_t reading = all.reading - logged.reading;
  const uint64_t share = all.share - logged.share;
  const uint64_t urgency = all.urgency - logged.urgency;
  if (places + memory + reading + share + urgency == 0) {
    return;
  }
  if (const std::optional<uint64_t> leftOut = refusalLog_.take(now)) {
    LogFields fields;
    fields.leftOut = *leftOut;
    logInfo("engine load: in the last 4 s, reservations were refused for want of places (" +
                std::to_string(places) + "), memory (" + std::to_string(memory) +
                ") and reading (" + std::to_string(reading) + "), for a tenant's fair share (" +
                std::to_string(share) + ") and for more urgent requests (" +
                std::to_string(urgency) + ")",
            fields);
  }
}

}  // namespace fernmoor::peers
