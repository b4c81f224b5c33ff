/// @file
/// Statements of engines in the load directory: applies them, distributes them to the other nodes
/// and logs the changes. Permits are handled in load_directory.cpp.
#include <algorithm>
#include <iterator>

#include "common/log.h"
#include "peers/engine_statement_codec.h"
#include "peers/load_directory.h"

namespace fernmoor::peers {

namespace {

using gateway::EngineStatement;
using gateway::LimitChange;
using gateway::LimitStatement;

/// A statement is repeated after this interval, which then doubles up to the maximum.
constexpr Duration kFirstRepeatInterval{300000};
constexpr Duration kMaxRepeatInterval{10000000};
/// A statement that changes again within this time is sent with the next tick.
constexpr Duration kMinRepeatInterval{100000};
constexpr Duration kPermitLogInterval{4000000};
/// An engine that has not answered yet counts as brittle for this long after another one of its
/// service stated that it is: engines are back some seconds after a crash.
constexpr Duration kBrittlePoolRetention{10000000};

}  // namespace

void LoadDirectory::noteStatement(const EngineStatement& statement) {
  const Time now = clock_.now();
  if (applyStatement(statement, std::nullopt, now)) {
    announce(statement.engine, now);
  }
}

std::optional<Duration> LoadDirectory::permitDue(uint64_t engine) const {
  const Time now = clock_.now();
  const std::optional<Duration> ofLimit = limits_.permitDue(engine, now);
  if (!survivedRejections(engine, now)) {
    return ofLimit;
  }
  const Duration ofWindow = brittle_.permitDue(engine, now).value_or(Duration(0));
  return std::max(ofLimit.value_or(Duration(0)), ofWindow);
}

std::optional<double> LoadDirectory::survivedRejections(uint64_t engine, Time now) const {
  if (const auto stated = brittle_.find(engine)) {
    return stated->ratePerSecond;
  }
  if (!knowsBrittlePools_) {
    return std::nullopt;  // The common case; avoids the locks on the request path.
  }
  const std::shared_ptr<const BackendListing> listing =
      engines_ == nullptr ? nullptr : engines_->findIncarnation(engine);
  if (listing == nullptr) {
    return std::nullopt;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto known = brittlePools_.find(listing->pool);
  const bool holds =
      known != brittlePools_.end() && now - known->second.cameAt <= kBrittlePoolRetention;
  return holds ? known->second.ratePerSecond : std::nullopt;
}

bool LoadDirectory::mayGoUnasked(uint64_t engine) {
  if (survivedRejections(engine, clock_.now())) {
    return false;  // Nobody knows whether it has room.
  }
  return limits_.takeUnasked(engine, otherNodes().size() + 1, clock_.now());
}

std::string LoadDirectory::engineName(uint64_t engine) const {
  return engines_ == nullptr ? "" : engines_->idOf(engine);
}

EngineStatement LoadDirectory::statementOf(uint64_t engine, Time now) const {
  EngineStatement known;
  known.engine = engine;
  known.limit = limits_.find(engine);
  known.brittleness = brittle_.find(engine);
  const std::optional<Withdrawal> withdrawal =
      engines_ == nullptr ? std::nullopt : engines_->withdrawal(engine, now);
  if (withdrawal) {
    known.leavingSince = withdrawal->leavingSince;
    known.restsUntil =
        withdrawal->sparedUntil > now ? std::optional(withdrawal->sparedUntil) : std::nullopt;
  }
  return known;
}

std::vector<uint64_t> LoadDirectory::statedEngines(Time now) const {
  std::vector<uint64_t> engines = limits_.engines();
  const std::vector<uint64_t> brittle = brittle_.engines();
  engines.insert(engines.end(), brittle.begin(), brittle.end());
  if (engines_ != nullptr) {
    const std::vector<uint64_t> withdrawn = engines_->withdrawn(now);
    engines.insert(engines.end(), withdrawn.begin(), withdrawn.end());
  }
  std::sort(engines.begin(), engines.end());
  engines.erase(std::unique(engines.begin(), engines.end()), engines.end());
  return engines;
}

bool LoadDirectory::applyStatement(const EngineStatement& statement, std::optional<NodeId> from,
                                   Time now) {
  const bool limitChanged = applyLimit(statement, from, now);
  const bool brittlenessChanged = applyBrittleness(statement, from, now);
  const bool leavingChanged = applyLeaving(statement, from, now);
  const bool restChanged = applyRest(statement, from, now);
  return limitChanged || brittlenessChanged || leavingChanged || restChanged;
}

bool LoadDirectory::applyLimit(const EngineStatement& statement, std::optional<NodeId> from,
                               Time now) {
  const LimitChange change =
      statement.limit ? limits_.note(statement.engine, *statement.limit) : LimitChange::kNone;
  if (change == LimitChange::kNone) {
    return false;
  }
  const std::optional<double> stated = statement.limit->ratePerSecond;
  if (stated && isOwner(statement.engine)) {
    permits_.expect(statement.engine, localPermitRate(*stated), now);
  }
  const std::string rate = std::to_string(stated.value_or(0)) + " requests a second";
  logChange(change == LimitChange::kEnded   ? "engine limit: none is stated any more"
            : change == LimitChange::kNamed ? "engine limit: " + rate + " are stated"
                                            : "engine limit: changed to " + rate,
            statement.engine, from, now - statement.limit->cameAt, now);
  return true;
}

bool LoadDirectory::applyBrittleness(const EngineStatement& statement, std::optional<NodeId> from,
                                     Time now) {
  if (!statement.brittleness) {
    return false;
  }
  const LimitChange change = brittle_.note(statement.engine, *statement.brittleness);
  notePoolBrittleness(statement.engine, *statement.brittleness, change);
  if (change == LimitChange::kNone) {
    return false;
  }
  const std::optional<double> survives = statement.brittleness->ratePerSecond;
  logChange(survives ? "engine is brittle: it survives " + std::to_string(*survives) +
                           " rejections a second"
                     : "engine is no longer brittle",
            statement.engine, from, now - statement.brittleness->cameAt, now);
  return true;
}

void LoadDirectory::notePoolBrittleness(uint64_t engine, const LimitStatement& statement,
                                        LimitChange change) {
  const bool isStated = statement.ratePerSecond.has_value();
  if (!isStated && change != LimitChange::kEnded) {
    return;
  }
  const std::shared_ptr<const BackendListing> listing =
      engines_ == nullptr ? nullptr : engines_->findIncarnation(engine);
  if (listing == nullptr) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (isStated) {
    LimitStatement& known = brittlePools_[listing->pool];
    known = statement.cameAt > known.cameAt ? statement : known;
  } else {
    brittlePools_.erase(listing->pool);
  }
  knowsBrittlePools_ = !brittlePools_.empty();
}

bool LoadDirectory::applyLeaving(const EngineStatement& statement, std::optional<NodeId> from,
                                 Time now) {
  const bool isNew = statement.leavingSince && engines_ != nullptr &&
                     engines_->noteLeaving(statement.engine, *statement.leavingSince);
  if (isNew) {
    logChange("engine leaves: it says so in its answers", statement.engine, from,
              now - *statement.leavingSince, now);
  }
  return isNew;
}

bool LoadDirectory::applyRest(const EngineStatement& statement, std::optional<NodeId> from,
                              Time now) {
  const RestOf whom = from ? RestOf::kOtherNode : RestOf::kThisNode;
  const bool isNew = statement.restsUntil && engines_ != nullptr &&
                     engines_->noteRest(statement.engine, *statement.restsUntil, whom);
  if (isNew) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(*statement.restsUntil - now);
    logChange("engine rests: " + std::to_string(left.count()) + " ms are left of what it asked " +
                  (from ? "another node for" : "this node for"),
              statement.engine, from, Duration(0), now);
  }
  return isNew;
}

void LoadDirectory::logChange(const std::string& change, uint64_t engine,
                              std::optional<NodeId> from, Duration age, Time now) {
  const std::optional<uint64_t> leftOut = changeLog_.take(now);
  if (!leftOut) {
    return;
  }
  LogFields fields;
  fields.engine = EngineId(engineName(engine));
  fields.peer = from;
  fields.elapsed = age;
  fields.leftOut = *leftOut;
  logInfo(change, fields);
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
    fields.engine = EngineId(engineName(counts.engine));
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
  const NodeId owner = ownerOf(engine);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto known = announcements_.find(engine);
    if (known != announcements_.end() && now - known->second.lastSentAt < kMinRepeatInterval) {
      known->second.interval = kMinRepeatInterval;
      return;
    }
    announcements_[engine] = Announcement{now, kFirstRepeatInterval};
  }
  sendStatements({engine}, owner == self_ ? otherNodes() : std::vector<NodeId>{owner}, now);
}

void LoadDirectory::sendStatements(const std::vector<uint64_t>& engines,
                                   const std::vector<NodeId>& to, Time now) {
  proto::Envelope envelope;
  proto::EngineStatements& statements = *envelope.mutable_load()->mutable_statements();
  for (const uint64_t engine : engines) {
    if (const EngineStatement known = statementOf(engine, now); !known.isEmpty()) {
      encodeStatement(known, now, *statements.add_statements());
    }
  }
  if (statements.statements_size() == 0) {
    return;
  }
  for (const NodeId node : to) {
    sender_.send(node, envelope);
  }
}

LoadDirectory::MemberChanges LoadDirectory::memberChanges() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (members_ == knownSnapshot_) {
    return {};
  }
  knownSnapshot_ = members_;
  std::map<NodeId, Incarnation> present;
  MemberChanges changes;
  if (members_ != nullptr) {
    for (const Member& member : members_->members) {
      const auto known = knownMembers_.find(member.life.node);
      present[member.life.node] = member.life.incarnation;
      const bool isKnown = known != knownMembers_.end() && known->second == member.life.incarnation;
      if (!isKnown && member.life.node != self_) {
        changes.added.push_back(member.life.node);
      }
    }
  }
  for (const auto& [node, incarnation] : knownMembers_) {
    const auto now = present.find(node);
    if (node != self_ && (now == present.end() || now->second != incarnation)) {
      changes.removed.push_back(node);
    }
  }
  knownMembers_ = std::move(present);
  return changes;
}

const LoadDirectory::Owners& LoadDirectory::owners(Time now) {
  std::shared_ptr<const MembershipSnapshot> members;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    members = members_;
  }
  std::vector<uint64_t> engines = statedEngines(now);
  if (members != owners_.members || engines != owners_.engines) {
    owners_ = Owners{std::move(members), std::move(engines), {}};
    for (const uint64_t engine : owners_.engines) {
      owners_.byEngine[engine] = ownerOf(engine);
    }
  }
  return owners_;
}

void LoadDirectory::announceDue(const std::vector<NodeId>& added, Time now) {
  const Owners& known = owners(now);
  if (known.engines.empty()) {
    return;
  }
  std::map<NodeId, std::vector<uint64_t>> due;  // By owner.
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<uint64_t, Announcement> kept;
    for (const auto& [engine, owner] : known.byEngine) {
      const auto announced = announcements_.find(engine);
      if (owner != self_ && announced == announcements_.end()) {
        continue;  // The node that received the statement from the engine repeats it.
      }
      Announcement next = announced == announcements_.end() ? Announcement{} : announced->second;
      if (now - next.lastSentAt >= next.interval) {
        due[owner].push_back(engine);
        next.interval = std::clamp(next.interval * 2, kFirstRepeatInterval, kMaxRepeatInterval);
        next.lastSentAt = now;
      }
      kept[engine] = next;
    }
    announcements_ = std::move(kept);
  }
  for (const auto& [owner, engines] : due) {
    sendStatements(engines, owner == self_ ? otherNodes() : std::vector<NodeId>{owner}, now);
  }
  for (const NodeId node : added) {
    sendStatementsTo(node, known, now);
  }
}

void LoadDirectory::sendStatementsTo(NodeId node, const Owners& known, Time now) {
  std::vector<uint64_t> engines;
  for (const auto& [engine, owner] : known.byEngine) {
    if (owner == self_ || owner == node) {
      engines.push_back(engine);
    }
  }
  sendStatements(engines, {node}, now);
}

void LoadDirectory::onStatements(NodeLife from, const proto::EngineStatements& statements,
                                 Time now) {
  for (const proto::EngineStatement& message : statements.statements()) {
    const EngineStatement statement = decodeStatement(message, now);
    if (applyStatement(statement, from.node, now) && isOwner(statement.engine)) {
      announce(statement.engine, now);
    }
  }
}

void LoadDirectory::onTick(Time now, MessageSender&) {
  const MemberChanges changes = memberChanges();
  forgetRemoved(changes.removed, now);
  renewOpenRequests(now);
  announceDue(changes.added, now);
  const auto isListed = [this](uint64_t engine) {
    return engines_ == nullptr || !engineName(engine).empty();
  };
  limits_.forgetOld(isListed, now);
  brittle_.forgetOld(isListed, now);
  windows_.forgetUnused(now);
  if (engines_ != nullptr) {
    engines_->forgetOld(now);
  }
  permits_.forgetUnused(now);
  logPermits(now);
  logRefusals(now);
}

}  // namespace fernmoor::peers
