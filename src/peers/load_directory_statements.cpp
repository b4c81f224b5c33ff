/// @file
/// What the directory does with the limits that engines state: takes them, tells them to the other
/// nodes, and writes what changed. The permits stand in load_directory.cpp.
#include <algorithm>
#include <iterator>

#include "common/log.h"
#include "peers/engine_limit_codec.h"
#include "peers/load_directory.h"

namespace fernmoor::peers {

namespace {

using gateway::EngineStatement;
using gateway::LimitChange;
using gateway::LimitStatement;

/// A limit is told to all nodes again after this, then after twice as long, and so on.
constexpr Duration kFirstPause{300000};
constexpr Duration kLongestPause{10000000};
/// A limit that changes more often is told with the next tick.
constexpr Duration kLeastPause{100000};
constexpr Duration kPermitLogInterval{4000000};

}  // namespace

void LoadDirectory::noteLimit(uint64_t engine, const LimitStatement& statement) {
  const Time now = clock_.now();
  if (!takeStatement(EngineStatement{engine, statement}, std::nullopt, now)) {
    return;
  }
  const NodeId owner = ownerOf(engine);
  if (owner == self_) {
    announce(engine, now);
  } else {
    sendLimits({engine}, {owner}, now);
  }
}

std::optional<Duration> LoadDirectory::permitDue(uint64_t engine) const {
  return limits_.permitDue(engine, clock_.now());
}

bool LoadDirectory::mayGoUnasked(uint64_t engine) {
  return limits_.takeUnasked(engine, otherNodes().size() + 1, clock_.now());
}

bool LoadDirectory::takeStatement(const EngineStatement& told, std::optional<NodeId> from,
                                  Time now) {
  const LimitChange change = limits_.note(told.engine, told.statement);
  if (change == LimitChange::kNone) {
    return false;
  }
  if (told.statement.ratePerSecond && isOwner(told.engine)) {
    permits_.expect(told.engine, rateHere(*told.statement.ratePerSecond), now);
  }
  logChange(told.engine, change, told.statement, from, now);
  return true;
}

void LoadDirectory::logChange(uint64_t engine, LimitChange change, const LimitStatement& statement,
                              std::optional<NodeId> from, Time now) {
  const std::optional<uint64_t> leftOut = changeLog_.take(now);
  if (!leftOut) {
    return;
  }
  LogFields fields;
  fields.engine = EngineId(names_ ? names_(engine) : "");
  fields.peer = from;
  fields.elapsed = now - statement.cameAt;
  fields.leftOut = *leftOut;
  const std::string rate = std::to_string(statement.ratePerSecond.value_or(0));
  logInfo(change == LimitChange::kEnded ? "engine limit: none is stated any more"
          : change == LimitChange::kNamed
              ? "engine limit: " + rate + " requests a second are stated"
              : "engine limit: changed to " + rate + " requests a second",
          fields);
}

void LoadDirectory::logPermits(Time now) {
  if (now - permitsLoggedAt_ < kPermitLogInterval) {
    return;
  }
  permitsLoggedAt_ = now;
  for (const gateway::PermitCounts& counts : permits_.takeCounts()) {
    const std::optional<uint64_t> leftOut = permitLog_.take(now);
    if (!leftOut) {
      continue;
    }
    LogFields fields;
    fields.engine = EngineId(names_ ? names_(counts.engine) : "");
    fields.leftOut = *leftOut;
    logInfo("engine limit: in the last 4 s " + std::to_string(counts.given) +
                " requests of all nodes were permitted, " + std::to_string(counts.withheld) +
                " questions were not",
            fields);
  }
}

std::vector<NodeId> LoadDirectory::otherNodes() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<NodeId> nodes;
  if (members_ != nullptr) {
    for (const Member& member : members_->members) {
      if (member.life.node != self_) {
        nodes.push_back(member.life.node);
      }
    }
  }
  return nodes;
}

void LoadDirectory::announce(uint64_t engine, Time now) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto known = announcements_.find(engine);
    if (known != announcements_.end() && now - known->second.toldAt < kLeastPause) {
      known->second.pause = kLeastPause;
      return;
    }
    announcements_[engine] = Announcement{now, kFirstPause};
  }
  sendLimits({engine}, otherNodes(), now);
}

void LoadDirectory::sendLimits(const std::vector<uint64_t>& engines, const std::vector<NodeId>& to,
                               Time now) {
  proto::Envelope envelope;
  proto::EngineLimits& limits = *envelope.mutable_load()->mutable_limits();
  for (const uint64_t engine : engines) {
    if (const std::optional<LimitStatement> known = limits_.find(engine)) {
      encodeLimit(EngineStatement{engine, *known}, now, *limits.add_limits());
    }
  }
  if (limits.limits_size() == 0) {
    return;
  }
  for (const NodeId node : to) {
    sender_.send(node, envelope);
  }
}

std::vector<NodeId> LoadDirectory::newcomers() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<NodeId, Incarnation> present;
  std::vector<NodeId> found;
  if (members_ != nullptr) {
    for (const Member& member : members_->members) {
      const auto known = told_.find(member.life.node);
      present[member.life.node] = member.life.incarnation;
      const bool isKnown = known != told_.end() && known->second == member.life.incarnation;
      if (!isKnown && member.life.node != self_) {
        found.push_back(member.life.node);
      }
    }
  }
  told_ = std::move(present);
  return found;
}

const std::vector<uint64_t>& LoadDirectory::ownLimits() {
  std::shared_ptr<const MembershipSnapshot> members;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    members = members_;
  }
  std::vector<uint64_t> engines = limits_.engines();
  if (members != owned_.members || engines != owned_.among) {
    owned_ = OwnedLimits{std::move(members), std::move(engines), {}};
    std::copy_if(owned_.among.begin(), owned_.among.end(), std::back_inserter(owned_.engines),
                 [this](uint64_t engine) { return isOwner(engine); });
  }
  return owned_.engines;
}

void LoadDirectory::announceDue(Time now) {
  const std::vector<uint64_t>& own = ownLimits();
  if (own.empty()) {
    return;
  }
  const std::vector<NodeId> added = newcomers();
  std::vector<uint64_t> due;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<uint64_t, Announcement> kept;
    for (const uint64_t engine : own) {
      const auto known = announcements_.find(engine);
      Announcement next = known == announcements_.end() ? Announcement{} : known->second;
      if (now - next.toldAt >= next.pause) {
        due.push_back(engine);
        next.pause = std::clamp(next.pause * 2, kFirstPause, kLongestPause);
        next.toldAt = now;
      }
      kept[engine] = next;
    }
    announcements_ = std::move(kept);
  }
  sendLimits(due, otherNodes(), now);
  if (!added.empty()) {
    sendLimits(own, added, now);
  }
}

void LoadDirectory::onLimits(NodeLife from, const proto::EngineLimits& limits, Time now) {
  for (const proto::EngineLimit& limit : limits.limits()) {
    const EngineStatement told = decodeLimit(limit, now);
    if (takeStatement(told, from.node, now) && isOwner(told.engine)) {
      announce(told.engine, now);
    }
  }
}

void LoadDirectory::onTick(Time now, MessageSender&) {
  announceDue(now);
  limits_.forgetOld([this](uint64_t engine) { return !names_ || !names_(engine).empty(); }, now);
  permits_.forgetUnused(now);
  logPermits(now);
}

}  // namespace fernmoor::peers
