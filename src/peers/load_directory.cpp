#include "peers/load_directory.h"

#include <algorithm>
#include <limits>

#include "common/log.h"
#include "peers/answer_timeout.h"
#include "peers/engine_limit_codec.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

using gateway::EngineDemand;
using gateway::EngineRoom;
using gateway::EngineStatement;
using gateway::LimitChange;
using gateway::LimitStatement;
using gateway::LoadAnswer;
using gateway::LoadTicket;
using gateway::PendingRequest;
using gateway::PermitOffer;

/// A limit is told to all nodes again after this, then after twice as long, and so on.
constexpr Duration kFirstPause{300000};
constexpr Duration kLongestPause{10000000};
/// A limit that changes more often is told with the next tick.
constexpr Duration kLeastPause{100000};
constexpr Duration kPermitLogInterval{4000000};
constexpr LogBudgetBounds kChangeLines{5, 40};
constexpr LogBudgetBounds kPermitLines{2, 20};

uint32_t inMessage(uint64_t tokens) {
  return static_cast<uint32_t>(std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
}

proto::Envelope releaseOf(const LoadTicket& ticket, bool stillRuns) {
  proto::Envelope envelope;
  proto::LoadRelease& release = *envelope.mutable_load()->mutable_release();
  release.set_engine(ticket.engine);
  release.set_question_id(ticket.id);
  release.set_still_runs(stillRuns);
  return envelope;
}

}  // namespace

LoadDirectory::LoadDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                             EngineNames names)
    : self_(self),
      clock_(clock),
      sender_(sender),
      names_(std::move(names)),
      changeLog_(kChangeLines),
      permitLog_(kPermitLines) {}

void LoadDirectory::setReachableShare(double share) {
  const std::lock_guard<std::mutex> lock(mutex_);
  reachableShare_ = share;
}

void LoadDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
}

NodeId LoadDirectory::keeperOf(uint64_t engine) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return rendezvousKeeper(engine, self_, members_.get());
}

double LoadDirectory::rateHere(double statedRate) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return gateway::permittedRate(statedRate) * reachableShare_;
}

LoadAnswer LoadDirectory::reserveHere(uint64_t engine, const PendingRequest& request,
                                      const EngineRoom& room, uint64_t bound, Time now) {
  PermitOffer permit;
  const std::optional<double> stated = limits_.rateOf(engine);
  if (stated) {
    permit = permits_.take(engine, rateHere(*stated), request.demand.longestPermitWait, now);
    if (!permit.isTaken) {
      LoadAnswer answer;
      answer.tokensPerSecond = 1.0;
      answer.lacksPermit = true;
      answer.permitWait = permit.wait;
      return answer;
    }
  }
  LoadAnswer answer;
  if (request.demand.isCounted) {
    answer = work_.reserve(engine, request, room, bound, now);
  } else {
    answer.isGranted = true;
    answer.tokensPerSecond = 1.0;
    answer.ticket = LoadTicket{engine, request.id, false, false};
  }
  if (permit.isTaken && !answer.isGranted) {
    permits_.giveBack(engine, now);
  }
  answer.ticket.hasPermit = permit.isTaken && answer.isGranted;
  answer.permitWait = answer.ticket.hasPermit ? permit.wait : Duration(0);
  return answer;
}

proto::Envelope LoadDirectory::questionOf(uint32_t id, uint64_t engine, const EngineDemand& demand,
                                          const EngineRoom& room, uint64_t bound) const {
  proto::Envelope envelope;
  proto::LoadQuestion& question = *envelope.mutable_load()->mutable_question();
  question.set_question_id(id);
  question.set_engine(engine);
  question.set_tokens(inMessage(demand.promptTokens));
  question.set_bound(inMessage(bound));
  question.set_memory_tokens(inMessage(demand.memoryTokens));
  question.set_engine_places(room.places);
  question.set_engine_memory_tokens(inMessage(room.memoryTokens));
  question.set_forget_after_milliseconds(inMilliseconds(demand.forgetAfter));
  question.set_longest_permit_wait_milliseconds(inMilliseconds(demand.longestPermitWait));
  question.set_only_permit(!demand.isCounted);
  if (const std::optional<LimitStatement> known = limits_.find(engine)) {
    encodeLimit(EngineStatement{engine, *known}, clock_.now(), *question.mutable_limit());
  }
  return envelope;
}

std::optional<LoadAnswer> LoadDirectory::reserve(uint64_t engine, const EngineDemand& demand,
                                                 const EngineRoom& room, uint64_t bound) {
  const NodeId keeper = keeperOf(engine);
  uint32_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    id = ++lastQuestion_;
    if (keeper != self_) {
      questions_[id].isCounted = demand.isCounted;
    }
  }
  std::optional<LoadAnswer> answer;
  if (keeper == self_) {
    const PendingRequest request{self_.value(), id, demand};
    answer = reserveHere(engine, request, room, bound, clock_.now());
  } else {
    sender_.send(keeper, questionOf(id, engine, demand, room, bound));
    std::unique_lock<std::mutex> lock(mutex_);
    answered_.wait_for(lock, kAnswerTimeout, [&] { return questions_.at(id).answer.has_value(); });
    answer = questions_.at(id).answer;
    questions_.erase(id);
  }
  if (answer && answer->lacksPermit) {
    limits_.noteWait(engine, clock_.now() + answer->permitWait);
  }
  return answer;
}

void LoadDirectory::tell(const LoadTicket& ticket, bool stillRuns) {
  const proto::Envelope envelope = releaseOf(ticket, stillRuns);
  const NodeId keeper = keeperOf(ticket.engine);
  if (keeper == self_) {
    noteEnd(self_.value(), envelope.load().release(), clock_.now());
  } else {
    sender_.send(keeper, envelope);
  }
}

void LoadDirectory::promptRead(const LoadTicket& ticket) {
  tell(ticket, true);
}

void LoadDirectory::release(const LoadTicket& ticket) {
  if (ticket.isCounted) {
    tell(ticket, false);
  }
}

void LoadDirectory::giveBack(const LoadTicket& ticket) {
  if (!ticket.hasPermit) {
    release(ticket);
    return;
  }
  proto::Envelope envelope = releaseOf(ticket, false);
  envelope.mutable_load()->mutable_release()->set_permit_unused(true);
  const NodeId keeper = keeperOf(ticket.engine);
  if (keeper == self_) {
    noteEnd(self_.value(), envelope.load().release(), clock_.now());
  } else {
    sender_.send(keeper, envelope);
  }
}

std::optional<Duration> LoadDirectory::permitDue(uint64_t engine) const {
  return limits_.permitDue(engine, clock_.now());
}

bool LoadDirectory::mayGoUnasked(uint64_t engine) {
  return limits_.takeUnasked(engine, otherNodes().size() + 1, clock_.now());
}

void LoadDirectory::noteLimit(uint64_t engine, const LimitStatement& statement) {
  const Time now = clock_.now();
  if (!takeStatement(EngineStatement{engine, statement}, std::nullopt, now)) {
    return;
  }
  const NodeId keeper = keeperOf(engine);
  if (keeper == self_) {
    announce(engine, now);
  } else {
    sendLimits({engine}, {keeper}, now);
  }
}

bool LoadDirectory::takeStatement(const EngineStatement& told, std::optional<NodeId> from,
                                  Time now) {
  const LimitChange change = limits_.note(told.engine, told.statement);
  if (change == LimitChange::kNone) {
    return false;
  }
  if (told.statement.ratePerSecond && isKeeper(told.engine)) {
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

void LoadDirectory::announceDue(Time now) {
  std::vector<uint64_t> own;
  for (const EngineStatement& each : limits_.all()) {
    if (isKeeper(each.engine)) {
      own.push_back(each.engine);
    }
  }
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

void LoadDirectory::noteEnd(uint64_t owner, const proto::LoadRelease& release, Time now) {
  if (release.permit_unused()) {
    permits_.giveBack(release.engine(), now);
  }
  if (release.still_runs()) {
    work_.promptRead(release.engine(), owner, release.question_id(), now);
  } else {
    work_.release(release.engine(), owner, release.question_id(), now);
  }
}

void LoadDirectory::forgetFormerLife(NodeLife from) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto known = askers_.try_emplace(from.node, from.incarnation);
    if (known.second || known.first->second == from.incarnation) {
      return;
    }
    known.first->second = from.incarnation;
  }
  work_.forgetOwner(from.node.value());
}

void LoadDirectory::onQuestion(NodeLife from, const proto::LoadQuestion& question, Time now,
                               MessageSender& sender) {
  forgetFormerLife(from);
  EngineDemand demand;
  demand.promptTokens = question.tokens();
  demand.memoryTokens = question.memory_tokens();
  demand.forgetAfter = std::chrono::milliseconds(question.forget_after_milliseconds());
  demand.longestPermitWait = std::chrono::milliseconds(question.longest_permit_wait_milliseconds());
  demand.isCounted = !question.only_permit();
  if (question.has_limit() && takeStatement(decodeLimit(question.limit(), now), from.node, now)) {
    announce(question.engine(), now);
  }
  const EngineRoom room{question.engine_places(), question.engine_memory_tokens()};
  const PendingRequest request{from.node.value(), question.question_id(), demand};
  const LoadAnswer counted = reserveHere(question.engine(), request, room, question.bound(), now);
  proto::Envelope envelope;
  proto::LoadAnswer& answer = *envelope.mutable_load()->mutable_answer();
  answer.set_question_id(question.question_id());
  answer.set_engine(question.engine());
  answer.set_granted(counted.isGranted);
  answer.set_pending_tokens(inMessage(counted.pendingTokens));
  answer.set_tokens_per_second(inMessage(static_cast<uint64_t>(counted.tokensPerSecond)));
  answer.set_stalled(counted.isStalled);
  answer.set_lacks_permit(counted.lacksPermit);
  answer.set_permit_wait_milliseconds(inMilliseconds(counted.permitWait));
  if (const std::optional<LimitStatement> known = limits_.find(question.engine())) {
    encodeLimit(EngineStatement{question.engine(), *known}, now, *answer.mutable_limit());
  }
  sender.send(from.node, envelope);
}

void LoadDirectory::onAnswer(NodeLife from, const proto::LoadAnswer& answer,
                             MessageSender& sender) {
  LoadAnswer taken;
  taken.isGranted = answer.granted();
  taken.pendingTokens = answer.pending_tokens();
  taken.tokensPerSecond = std::max(1U, answer.tokens_per_second());
  taken.isStalled = answer.stalled();
  taken.lacksPermit = answer.lacks_permit();
  taken.permitWait = std::chrono::milliseconds(answer.permit_wait_milliseconds());
  const bool isLimited = answer.has_limit() && answer.limit().is_limited();
  taken.ticket =
      LoadTicket{answer.engine(), answer.question_id(), true, answer.granted() && isLimited};
  if (answer.has_limit()) {
    const Time now = clock_.now();
    takeStatement(decodeLimit(answer.limit(), now), from.node, now);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto question = questions_.find(answer.question_id());
    if (question != questions_.end()) {
      taken.ticket.isCounted = question->second.isCounted;
      question->second.answer = taken;
      answered_.notify_all();
      return;
    }
  }
  if (answer.granted()) {  // Nobody waits any more, so nobody would release it.
    proto::Envelope envelope = releaseOf(taken.ticket, false);
    envelope.mutable_load()->mutable_release()->set_permit_unused(taken.ticket.hasPermit);
    sender.send(from.node, envelope);
  }
}

void LoadDirectory::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                              MessageSender& sender) {
  const proto::LoadMessage& message = envelope.load();
  if (message.has_question()) {
    onQuestion(from, message.question(), now, sender);
  } else if (message.has_answer()) {
    onAnswer(from, message.answer(), sender);
  } else if (message.has_release()) {
    noteEnd(from.node.value(), message.release(), now);
  } else if (message.has_limits()) {
    onLimits(from, message.limits(), now);
  }
}

void LoadDirectory::onLimits(NodeLife from, const proto::EngineLimits& limits, Time now) {
  for (const proto::EngineLimit& limit : limits.limits()) {
    const EngineStatement told = decodeLimit(limit, now);
    if (takeStatement(told, from.node, now) && isKeeper(told.engine)) {
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
