#include "peers/quarantine_directory.h"

#include <algorithm>

#include "common/log.h"
#include "peers/message_time.h"

namespace fernmoor::peers {

namespace {

using quarantine::CrashedRun;
using quarantine::Quarantined;
using quarantine::Suspicion;

/// Objections come within a trip and back between regions, 40 ms, and the tick of a busy node.
constexpr Duration kObjectionTime{250000};
/// Beside it a proposer needs a tick, 100 ms, to decide. A verdict that is lost is told again
/// later.
constexpr Duration kHoldTime = kObjectionTime + Duration(100000);
/// After a crash its own node holds the request until those that count can have answered with a
/// proposal: a trip and back between regions, 40 ms.
constexpr Duration kReportTime{50000};
/// Nodes that count for one request.
constexpr size_t kNodesThatCount = 2;
/// Bound on what is handed over at a change of the members, the newest first, and how often: 16
/// messages of 1 kB to each of two nodes.
constexpr size_t kMostHandedOver = 512;
constexpr size_t kReportsInMessage = 32;
constexpr Duration kHandOverPause{500000};
/// A rival may be proposed by another node as long as its own objections are awaited.
constexpr Duration kRivalMemory{1000000};
/// A verdict is told so often, with this pause: together well within the least bound by which nodes
/// must know of it, 3 s.
constexpr int kTellings = 3;
constexpr Duration kTellAgain{400000};
/// A node is told of unstored verdicts by this many others a second in the mean: one in 20 waits
/// for more than a second, one in 400 for more than two.
constexpr size_t kToldEachTime = 3;
constexpr Duration kTellUnstored{1000000};
/// Nodes that put a verdict into the store, each so much later than the one before it, where that
/// has not: the store may turn some nodes away, and must not be asked by all while it is away.
constexpr size_t kNodesThatStore = 4;
constexpr Duration kNextStores{700000};

void putRun(const CrashedRun& run, Time now, proto::CrashedRun& out) {
  out.set_incarnation(run.incarnation);
  out.set_began_age_milliseconds(inMilliseconds(now - run.beganAt));
  out.set_ended_age_milliseconds(inMilliseconds(now - run.endedAt));
  out.set_start_known(run.startKnown);
}

CrashedRun takeRun(const proto::CrashedRun& run, Time now) {
  return CrashedRun{
      run.incarnation(), now - std::chrono::milliseconds(run.began_age_milliseconds()),
      now - std::chrono::milliseconds(run.ended_age_milliseconds()), run.start_known()};
}

/// @tparam Message a proposal or a verdict.
template <class Message>
Suspicion takeSuspicion(const Message& message, Time now) {
  Suspicion suspicion;
  suspicion.fingerprint = message.fingerprint();
  for (const proto::CrashedRun& run : message.runs()) {
    suspicion.runs.push_back(takeRun(run, now));
  }
  return suspicion;
}

template <class Message>
void putSuspicion(const Suspicion& suspicion, Time now, Message& message) {
  message.set_fingerprint(suspicion.fingerprint);
  for (const CrashedRun& run : suspicion.runs) {
    putRun(run, now, *message.add_runs());
  }
}

proto::Envelope verdictOf(const Suspicion& suspicion, Time since, Time now) {
  proto::Envelope envelope;
  proto::QuarantineVerdict& verdict = *envelope.mutable_quarantine()->mutable_verdict();
  putSuspicion(suspicion, now, verdict);
  verdict.set_age_milliseconds(inMilliseconds(now - since));
  return envelope;
}

LogFields fingerprintField(uint64_t fingerprint) {
  LogFields fields;
  fields.fingerprint = fingerprint;
  return fields;
}

}  // namespace

QuarantineDirectory::QuarantineDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                                         quarantine::QuarantineTable& table)
    : self_(self), clock_(clock), sender_(sender), table_(table), random_(nodeHash(self)) {}

void QuarantineDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
  std::vector<NodeId> counting = countingNodes();
  if (counting != counting_) {
    counting_ = std::move(counting);
    mustHandOver_ = true;
  }
}

std::vector<NodeId> QuarantineDirectory::countingNodes() const {
  std::vector<NodeId> nodes;
  for (const Member& member : members_ == nullptr ? std::vector<Member>() : members_->members) {
    if (member.state == MemberState::kAlive) {
      nodes.push_back(member.life.node);
    }
  }
  return nodes.empty() ? std::vector<NodeId>{self_} : nodes;
}

void QuarantineDirectory::hold(uint64_t fingerprint, Time until) {
  Time& held = heldUntil_[fingerprint];
  held = std::max(held, until);
  holdsAny_ = true;
}

void QuarantineDirectory::forgetHolds(Time now) {
  for (auto held = heldUntil_.begin(); held != heldUntil_.end();) {
    held = now >= held->second ? heldUntil_.erase(held) : std::next(held);
  }
  holdsAny_ = !heldUntil_.empty();
}

void QuarantineDirectory::endHold(uint64_t fingerprint) {
  heldUntil_.erase(fingerprint);
  holdsAny_ = !heldUntil_.empty();
  holdEnded_.notify_all();
}

bool QuarantineDirectory::isHeldAt(uint64_t fingerprint, Time now) const {
  const auto held = heldUntil_.find(fingerprint);
  return held != heldUntil_.end() && now < held->second;
}

bool QuarantineDirectory::isHeld(uint64_t fingerprint) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return isHeldAt(fingerprint, clock_.now());
}

void QuarantineDirectory::awaitDecision(uint64_t fingerprint) {
  if (!holdsAny_) {
    return;  // Nearly always: no lock is taken on the request path.
  }
  std::unique_lock<std::mutex> lock(mutex_);
  for (Time now = clock_.now(); isHeldAt(fingerprint, now); now = clock_.now()) {
    holdEnded_.wait_for(lock, heldUntil_.at(fingerprint) - now);
  }
}

std::optional<Duration> QuarantineDirectory::timeLeft(uint64_t fingerprint) {
  return table_.timeLeft(fingerprint, clock_.now());
}

void QuarantineDirectory::tellAll(const proto::Envelope& envelope, Outbox& outbox) const {
  if (members_ == nullptr) {
    return;
  }
  for (const Member& member : members_->members) {
    if (member.life.node != self_) {
      outbox.emplace_back(member.life.node, envelope);
    }
  }
}

void QuarantineDirectory::accept(const Suspicion& suspicion, Time since, Time now) {
  if (table_.add(Quarantined{suspicion.fingerprint, since}, now)) {
    logWarning("quarantine: a request crashed several engines and is not sent any more",
               fingerprintField(suspicion.fingerprint));
  }
  evidence_.explain(suspicion.fingerprint, suspicion.runs);
  evidence_.explain(suspicion.fingerprint, evidence_.runsOf(suspicion.fingerprint));
  evidence_.clear(suspicion.fingerprint);
  proposals_.erase(suspicion.fingerprint);
  endHold(suspicion.fingerprint);
}

void QuarantineDirectory::withdrawRivals(const Suspicion& other) {
  for (auto proposal = proposals_.begin(); proposal != proposals_.end();) {
    const Suspicion& own = proposal->second.suspicion;
    const bool isRival = own.fingerprint != other.fingerprint && own.sharesEndWith(other) &&
                         other.runs.size() >= own.runs.size();
    const bool isWithdrawn = isRival && evidence_.demandOneMore(own.fingerprint);
    if (isWithdrawn) {
      endHold(own.fingerprint);
    }
    proposal = isWithdrawn ? proposals_.erase(proposal) : std::next(proposal);
  }
}

void QuarantineDirectory::forgetHeard(Time now) {
  heard_.erase(
      std::remove_if(heard_.begin(), heard_.end(),
                     [&](const HeardProposal& each) { return now - each.at > kRivalMemory; }),
      heard_.end());
}

void QuarantineDirectory::propose(Suspicion suspicion, Time now, Outbox& outbox) {
  if (proposals_.count(suspicion.fingerprint) > 0) {
    return;
  }
  if (served_.wasServedAfter(suspicion.fingerprint, suspicion.since())) {
    evidence_.clear(suspicion.fingerprint);
    return;
  }
  logInfo("quarantine: proposed", fingerprintField(suspicion.fingerprint));
  proto::Envelope envelope;
  putSuspicion(suspicion, now, *envelope.mutable_quarantine()->mutable_proposal());
  tellAll(envelope, outbox);
  proposals_[suspicion.fingerprint] = Proposal{suspicion, now + kObjectionTime};
  hold(suspicion.fingerprint, now + kHoldTime);
  forgetHeard(now);
  for (const HeardProposal& heard : heard_) {
    withdrawRivals(heard.suspicion);
  }
  withdrawRivals(suspicion);
  heard_.push_back(HeardProposal{std::move(suspicion), now});
}

void QuarantineDirectory::count(uint64_t fingerprint, const CrashedRun& run, Time now,
                                Outbox& outbox) {
  std::optional<Suspicion> suspicion = evidence_.note(fingerprint, run, now);
  if (suspicion) {
    propose(std::move(*suspicion), now, outbox);
  }
}

void QuarantineDirectory::noteCrash(uint64_t fingerprint, const CrashedRun& run) {
  const Time now = clock_.now();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (table_.timeLeft(fingerprint, now)) {
      // It was under way when the verdict came: this end is explained too.
      const Suspicion explained{fingerprint, {run}};
      evidence_.explain(fingerprint, explained.runs);
      tellAll(verdictOf(explained, now, now), outbox);
    } else {
      count(fingerprint, run, now, outbox);
      hold(fingerprint, now + kReportTime);
      proto::Envelope envelope;
      putSuspicion(Suspicion{fingerprint, {run}}, now,
                   *envelope.mutable_quarantine()->mutable_reports()->add_requests());
      for (const NodeId node : rendezvousTop(fingerprint, counting_, kNodesThatCount, nodeHash)) {
        if (node != self_) {
          outbox.emplace_back(node, envelope);
        }
      }
    }
  }
  for (const auto& [node, envelope] : outbox) {
    sender_.send(node, envelope);
  }
}

void QuarantineDirectory::noteServed(uint64_t fingerprint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  served_.note(fingerprint, clock_.now());
  evidence_.clear(fingerprint);
  if (proposals_.erase(fingerprint) > 0) {
    endHold(fingerprint);
  }
}

size_t QuarantineDirectory::storeRank(uint64_t fingerprint) const {
  const std::vector<NodeId> first =
      rendezvousTop(fingerprint, counting_, kNodesThatStore, nodeHash);
  const auto own = std::find(first.begin(), first.end(), self_);
  return own == first.end() ? kNodesThatStore : static_cast<size_t>(own - first.begin());
}

bool QuarantineDirectory::isFirstToStore(uint64_t fingerprint) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return storeRank(fingerprint) == 0;
}

std::vector<Quarantined> QuarantineDirectory::toStore(Time now) const {
  std::vector<Quarantined> due = table_.unstored(now);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto isOthers = [&](const Quarantined& request) {
    const size_t rank = storeRank(request.fingerprint);
    return rank >= kNodesThatStore || now - request.since < kNextStores * rank;
  };
  due.erase(std::remove_if(due.begin(), due.end(), isOthers), due.end());
  return due;
}

void QuarantineDirectory::takeReport(const Suspicion& report, Time now, Outbox& outbox) {
  if (table_.timeLeft(report.fingerprint, now)) {
    return;
  }
  for (const CrashedRun& run : report.runs) {
    count(report.fingerprint, run, now, outbox);
  }
}

void QuarantineDirectory::handOver(Time now, Outbox& outbox) {
  if (!mustHandOver_ || now < nextHandOverAt_) {
    return;
  }
  mustHandOver_ = false;
  nextHandOverAt_ = now + kHandOverPause;
  std::map<NodeId, proto::Envelope> messages;
  const auto send = [&](NodeId node, const proto::Envelope& envelope) {
    if (node != self_) {
      outbox.emplace_back(node, envelope);
    }
  };
  for (const Suspicion& suspect : evidence_.newest(kMostHandedOver)) {
    for (const NodeId node :
         rendezvousTop(suspect.fingerprint, counting_, kNodesThatCount, nodeHash)) {
      proto::CrashReports& reports = *messages[node].mutable_quarantine()->mutable_reports();
      putSuspicion(suspect, now, *reports.add_requests());
      if (static_cast<size_t>(reports.requests_size()) >= kReportsInMessage) {
        send(node, messages[node]);
        messages.erase(node);
      }
    }
  }
  for (const auto& [node, envelope] : messages) {
    send(node, envelope);
  }
}

void QuarantineDirectory::onProposal(NodeId from, const proto::QuarantineProposal& proposal,
                                     Time now, Outbox& outbox) {
  const Suspicion suspicion = takeSuspicion(proposal, now);
  if (suspicion.runs.empty()) {
    return;
  }
  if (served_.wasServedAfter(suspicion.fingerprint, suspicion.since())) {
    evidence_.clear(suspicion.fingerprint);
    proto::Envelope envelope;
    envelope.mutable_quarantine()->mutable_objection()->set_fingerprint(suspicion.fingerprint);
    outbox.emplace_back(from, std::move(envelope));
    return;
  }
  hold(suspicion.fingerprint, now + kHoldTime);
  withdrawRivals(suspicion);
  forgetHeard(now);
  heard_.push_back(HeardProposal{suspicion, now});
}

void QuarantineDirectory::onVerdict(const proto::QuarantineVerdict& verdict, Time now) {
  accept(takeSuspicion(verdict, now), now - std::chrono::milliseconds(verdict.age_milliseconds()),
         now);
}

void QuarantineDirectory::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                                    MessageSender& sender) {
  const proto::QuarantineMessage& message = envelope.quarantine();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (message.has_reports()) {
      for (const proto::CrashReport& report : message.reports().requests()) {
        takeReport(takeSuspicion(report, now), now, outbox);
      }
    } else if (message.has_proposal()) {
      onProposal(from.node, message.proposal(), now, outbox);
    } else if (message.has_objection()) {
      evidence_.clear(message.objection().fingerprint());
      proposals_.erase(message.objection().fingerprint());
      endHold(message.objection().fingerprint());
    } else if (message.has_verdict()) {
      onVerdict(message.verdict(), now);
    }
  }
  for (const auto& [node, answer] : outbox) {
    sender.send(node, answer);
  }
}

void QuarantineDirectory::tellUnstored(Time now, Outbox& outbox) {
  if (now < nextUnstoredAt_ || members_ == nullptr || members_->members.empty()) {
    return;
  }
  nextUnstoredAt_ = now + kTellUnstored;
  for (const Quarantined& request : table_.unstored(now)) {
    const proto::Envelope envelope =
        verdictOf(Suspicion{request.fingerprint, {}}, request.since, now);
    for (size_t told = 0; told < kToldEachTime; ++told) {
      const NodeId node = members_->members[random_.below(members_->members.size())].life.node;
      if (node != self_) {
        outbox.emplace_back(node, envelope);
      }
    }
  }
}

void QuarantineDirectory::decide(Time now) {
  std::vector<Suspicion> due;
  for (const auto& [fingerprint, proposal] : proposals_) {
    if (now >= proposal.decideAt) {
      due.push_back(proposal.suspicion);
    }
  }
  for (const Suspicion& suspicion : due) {
    // Another verdict may have explained some of the ends meanwhile; requests that always come
    // together can't explain each other's.
    const bool stands = suspicion.runs.size() >= quarantine::CrashEvidence::kMostEndsNeeded ||
                        evidence_.suspicionOf(suspicion.fingerprint).has_value();
    proposals_.erase(suspicion.fingerprint);
    endHold(suspicion.fingerprint);
    if (stands) {
      accept(suspicion, now, now);
      tellings_.push_back(Telling{suspicion, now, kTellings, now});
    }
  }
}

void QuarantineDirectory::onTick(Time now, MessageSender& sender) {
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    tellUnstored(now, outbox);
    handOver(now, outbox);
    forgetHolds(now);
    decide(now);
    for (Telling& telling : tellings_) {
      if (now >= telling.nextAt) {
        tellAll(verdictOf(telling.suspicion, telling.since, now), outbox);
        telling.nextAt = now + kTellAgain;
        --telling.left;
      }
    }
    tellings_.erase(std::remove_if(tellings_.begin(), tellings_.end(),
                                   [](const Telling& each) { return each.left == 0; }),
                    tellings_.end());
  }
  for (const auto& [node, envelope] : outbox) {
    sender.send(node, envelope);
  }
}

}  // namespace fernmoor::peers
