#include "membership/machine_list_role.h"

#include <utility>

#include "common/rendezvous.h"

namespace fernmoor {

namespace {

proto::MachineEntry entryOf(const Machine& machine) {
  proto::MachineEntry entry;
  entry.set_name(machine.name);
  entry.set_kind(static_cast<uint32_t>(machine.kind));
  entry.set_host(machine.address.host);
  entry.set_port(machine.address.port);
  entry.set_zone(machine.zone.value());
  entry.set_region(machine.region.value());
  entry.set_leaving(machine.status == MachineStatus::kLeaving);
  entry.set_node_id(machine.node.value());
  return entry;
}

/// @return none for a kind or port that this version does not know.
std::optional<Machine> machineOf(const proto::MachineEntry& entry) {
  if (entry.kind() > static_cast<uint32_t>(MachineKind::kKvStore) || entry.port() > UINT16_MAX) {
    return std::nullopt;
  }
  Machine machine;
  machine.name = entry.name();
  machine.kind = static_cast<MachineKind>(entry.kind());
  machine.address = SocketAddress{entry.host(), static_cast<uint16_t>(entry.port())};
  machine.zone = ZoneId(entry.zone());
  machine.region = RegionId(entry.region());
  machine.status = entry.leaving() ? MachineStatus::kLeaving : MachineStatus::kLive;
  machine.node = NodeId(entry.node_id());
  return machine;
}

/// Never 0, which stands for no list.
uint64_t digestOf(const std::vector<Machine>& machines) {
  uint64_t digest = 1;
  for (const Machine& machine : machines) {
    digest = rendezvousWeight(digest, stableHash(entryOf(machine).SerializeAsString()));
  }
  return digest == 0 ? 1 : digest;
}

}  // namespace

MachineListRole::MachineListRole(const MembershipView& membership, Listener listener,
                                 const Knobs& knobs, uint64_t seed)
    : membership_(membership), listener_(std::move(listener)), knobs_(knobs), random_(seed) {}

void MachineListRole::onRead(const std::vector<Machine>& machines, Time now) {
  take(machines, digestOf(machines), now);
}

std::optional<Duration> MachineListRole::age(Time now) const {
  const RankedLock lock(mutex_);
  return digest_ == 0 ? std::nullopt : std::optional<Duration>(now - readAt_);
}

bool MachineListRole::isStale(Time now) const {
  return digest_ == 0 || now - readAt_ > knobs_.machineListStale;
}

void MachineListRole::take(const std::vector<Machine>& machines, uint64_t digest, Time readAt) {
  bool changed = false;
  {
    const RankedLock lock(mutex_);
    if (digest_ != 0 && readAt < readAt_) {
      return;
    }
    changed = digest != digest_;
    digest_ = digest;
    readAt_ = readAt;
    if (changed) {
      machines_ = machines;
    }
  }
  if (changed) {
    listener_(machines);
  }
}

void MachineListRole::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                                MessageSender& sender) {
  const proto::MachineListMessage& message = envelope.machine_list();
  if (message.has_request()) {
    onRequest(from.node, message.request(), now, sender);
  } else if (message.has_reply()) {
    onReply(message.reply(), now);
  }
}

void MachineListRole::onRequest(NodeId from, const proto::MachineListRequest& request, Time now,
                                MessageSender& sender) {
  proto::Envelope envelope;
  {
    const RankedLock lock(mutex_);
    if (digest_ == 0) {
      return;
    }
    proto::MachineListReply* reply = envelope.mutable_machine_list()->mutable_reply();
    reply->set_digest(digest_);
    reply->set_age_milliseconds(static_cast<uint64_t>(toMilliseconds(now - readAt_)));
    if (request.digest() != digest_) {
      for (const Machine& machine : machines_) {
        *reply->add_machines() = entryOf(machine);
      }
    }
  }
  sender.send(from, envelope);
}

void MachineListRole::onReply(const proto::MachineListReply& reply, Time now) {
  if (reply.machines_size() > knobs_.machineListMaximum) {
    return;
  }
  const Time readAt = now - Duration(static_cast<int64_t>(reply.age_milliseconds()) * 1000);
  std::vector<Machine> machines;
  {
    const RankedLock lock(mutex_);
    const bool sameList = reply.digest() == digest_;
    if (!sameList && reply.machines_size() == 0) {
      return;  // Answers a question about a list that this node no longer has.
    }
    if (sameList) {
      machines = machines_;
    }
  }
  for (const proto::MachineEntry& entry : reply.machines()) {
    std::optional<Machine> machine = machineOf(entry);
    if (machine) {
      machines.push_back(std::move(*machine));
    }
  }
  take(machines, reply.digest(), readAt);
}

void MachineListRole::onTick(Time now, MessageSender& sender) {
  const std::vector<Member> members = membership_.members();
  const NodeId self = membership_.self().life.node;
  proto::Envelope envelope;
  NodeId peer;
  {
    const RankedLock lock(mutex_);
    if (!isStale(now) || now < nextQuestion_ || members.size() < 2) {
      return;
    }
    nextQuestion_ = now + knobs_.machineListInterval;
    peer = members[random_.below(members.size())].life.node;
    envelope.mutable_machine_list()->mutable_request()->set_digest(digest_);
  }
  if (peer != self) {
    sender.send(peer, envelope);
  }
}

}  // namespace fernmoor
