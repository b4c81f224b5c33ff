#include "peers/quarantine_directory.h"

#include <algorithm>

#include "common/log.h"
#include "peers/message_time.h"
#include "peers/quarantine_codec.h"

namespace fernmoor::peers {

namespace {

using gateway::Suspects;
using quarantine::CrashedRun;
using quarantine::Quarantined;
using quarantine::Suspicion;

/// Objections arrive within a round trip between regions, 40 ms, plus the tick of a busy node.
constexpr Duration kObjectionTime{250000};
/// Includes a tick, 100 ms, that the proposer needs to decide. A verdict that is lost is sent again
/// later.
constexpr Duration kHoldTime = kObjectionTime + Duration(100000);
/// A proposal on a part of prompts waits this long for a request without it to be served.
constexpr Duration kControlTime{5000000};
/// After a crash, the node that ran the request holds it until the owners can have answered with a
/// proposal: a round trip between regions, 40 ms.
constexpr Duration kReportTime{50000};
/// Owner nodes of one request.
constexpr size_t kOwnersPerRequest = 2;
/// Limits the requests that are handed over at a change of the members, the newest first, to 16
/// messages of 1 kB to each of two nodes.
constexpr size_t kMaxHandedOverRequests = 512;
constexpr size_t kMaxReportsPerMessage = 32;
/// Minimum interval between two handovers.
constexpr Duration kHandOverInterval{500000};
/// Another node may propose a rival for as long as it waits for objections to it.
constexpr Duration kProposalRetention{1000000};
/// Number of times that a verdict is broadcast, and the interval. In total this is well within 3 s,
/// the shortest bound by which nodes must know a verdict.
constexpr int kVerdictBroadcasts = 3;
constexpr Duration kVerdictInterval{400000};
/// Mean number of other nodes from which a node receives each unstored verdict per second: one node
/// in 20 waits for more than a second, one in 400 for more than two.
constexpr size_t kUnstoredFanout = 3;
constexpr Duration kUnstoredInterval{1000000};
/// Nodes that may write a verdict to the store. Each of them waits kStoreWriterDelay longer than
/// the one before it, and writes only if the verdict is still missing: the store may reject some
/// nodes, and must not get calls from all nodes while it is unavailable.
constexpr size_t kStoreWriters = 4;
constexpr Duration kStoreWriterDelay{700000};

/// The fields name each run by its engine's incarnation, and by when it began and ended.
LogFields suspicionFields(const Suspicion& suspicion, Time now) {
  LogFields fields;
  fields.fingerprint = suspicion.fingerprint;
  for (const CrashedRun& run : suspicion.runs) {
    fields.attempts += (fields.attempts.empty() ? "" : "; ") + std::to_string(run.incarnation) +
                       " " + std::to_string(toMilliseconds(now - run.beganAt)) + " to " +
                       std::to_string(toMilliseconds(now - run.endedAt)) + " ms ago";
  }
  return fields;
}

/// @return whether a node of `before` is gone in `after`, or has restarted.
bool hasLostMembers(const MembershipSnapshot* before, const MembershipSnapshot* after) {
  if (before == nullptr || after == nullptr) {
    return false;
  }
  return std::any_of(before->members.begin(), before->members.end(), [&](const Member& member) {
    return std::none_of(after->members.begin(), after->members.end(),
                        [&](const Member& each) { return each.life == member.life; });
  });
}

}  // namespace

QuarantineDirectory::QuarantineDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                                         quarantine::QuarantineTable& table)
    : self_(self), clock_(clock), sender_(sender), table_(table), random_(nodeHash(self)) {}

void QuarantineDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (hasLostMembers(members_.get(), members.get())) {
    memberLostAt_ = clock_.now();
  }
  members_ = std::move(members);
  std::vector<NodeId> candidates = ownerCandidates();
  if (candidates != ownerCandidates_) {
    ownerCandidates_ = std::move(candidates);
    mustHandOver_ = true;
  }
}

std::vector<NodeId> QuarantineDirectory::ownerCandidates() const {
  std::vector<NodeId> nodes;
  for (const Member& member : members_ == nullptr ? std::vector<Member>() : members_->members) {
    if (member.state == MemberState::kAlive) {
      nodes.push_back(member.life.node);
    }
  }
  return nodes.empty() ? std::vector<NodeId>{self_} : nodes;
}

std::optional<Duration> QuarantineDirectory::timeLeft(const Suspects& suspects) {
  const Time now = clock_.now();
  std::optional<Duration> longest = table_.timeLeft(suspects.request, now);
  for (const uint64_t part : suspects.parts) {
    const std::optional<Duration> left = table_.timeLeft(part, now);
    longest = left && (!longest || *left > *longest) ? left : longest;
  }
  return longest;
}

void QuarantineDirectory::broadcast(const proto::Envelope& envelope, Outbox& outbox) const {
  if (members_ == nullptr) {
    return;
  }
  for (const Member& member : members_->members) {
    if (member.life.node != self_) {
      outbox.emplace_back(member.life.node, envelope);
    }
  }
}

void QuarantineDirectory::applyVerdict(const Suspicion& suspicion, Time since, Time now) {
  if (table_.add(Quarantined{suspicion.fingerprint, since}, now)) {
    logWarning(
        "quarantine: a request, or part of prompts, crashed several engines and is not sent any "
        "more",
        suspicionFields(suspicion, now));
  }
  evidence_.explain(suspicion.fingerprint, suspicion.runs);
  evidence_.explain(suspicion.fingerprint, evidence_.runsOf(suspicion.fingerprint));
  evidence_.clear(suspicion.fingerprint);
  proposals_.erase(suspicion.fingerprint);
  endHold(suspicion.fingerprint);
}

void QuarantineDirectory::withdrawRivalProposals(const Suspicion& other) {
  for (auto proposal = proposals_.begin(); proposal != proposals_.end();) {
    const Suspicion& own = proposal->second.suspicion;
    const bool isRival = own.fingerprint != other.fingerprint && own.sharesCrashWith(other) &&
                         other.runs.size() >= own.runs.size() && !own.explainsPart(other);
    const bool isWithdrawn = isRival && evidence_.requireOneMoreCrash(own.fingerprint);
    if (isWithdrawn) {
      endHold(own.fingerprint);
    }
    proposal = isWithdrawn ? proposals_.erase(proposal) : std::next(proposal);
  }
}

void QuarantineDirectory::forgetOldProposals(Time now) {
  recentProposals_.erase(std::remove_if(recentProposals_.begin(), recentProposals_.end(),
                                        [&](const RecentProposal& each) {
                                          return now - each.at > kProposalRetention;
                                        }),
                         recentProposals_.end());
}

void QuarantineDirectory::propose(Suspicion suspicion, Time now, Outbox& outbox) {
  if (proposals_.count(suspicion.fingerprint) > 0) {
    return;
  }
  if (served_.wasServedAfter(suspicion.fingerprint, suspicion.since())) {
    evidence_.clear(suspicion.fingerprint);
    return;
  }
  // A node that was lost can't object any more if it served the request.
  if (memberLostAt_ > suspicion.since() && evidence_.requireOneMoreCrash(suspicion.fingerprint)) {
    return;
  }
  if (const std::optional<Suspicion> whole = evidence_.explanationOf(suspicion)) {
    announce(*whole, now, outbox);
    if (evidence_.requireOneMoreCrash(suspicion.fingerprint)) {
      return;
    }
  }
  announce(std::move(suspicion), now, outbox);
}

void QuarantineDirectory::announce(Suspicion suspicion, Time now, Outbox& outbox) {
  if (proposals_.count(suspicion.fingerprint) > 0 ||
      served_.wasServedAfter(suspicion.fingerprint, suspicion.since())) {
    return;
  }
  logInfo("quarantine: proposed", suspicionFields(suspicion, now));
  proto::Envelope envelope;
  encodeSuspicion(suspicion, now, *envelope.mutable_quarantine()->mutable_proposal());
  broadcast(envelope, outbox);
  proposals_[suspicion.fingerprint] = Proposal{suspicion, now + kObjectionTime};
  hold(suspicion.fingerprint, now + kHoldTime);
  forgetOldProposals(now);
  for (const RecentProposal& heard : recentProposals_) {
    withdrawRivalProposals(heard.suspicion);
  }
  withdrawRivalProposals(suspicion);
  recentProposals_.push_back(RecentProposal{std::move(suspicion), now});
}

void QuarantineDirectory::count(uint64_t fingerprint, const CrashedRun& run, Time now,
                                Outbox& outbox) {
  std::optional<Suspicion> suspicion = evidence_.note(fingerprint, run, now);
  if (suspicion) {
    propose(std::move(*suspicion), now, outbox);
  }
}

void QuarantineDirectory::countOwn(uint64_t fingerprint, const CrashedRun& run, Time now,
                                   Outbox& outbox, std::map<NodeId, proto::Envelope>& reports) {
  if (table_.timeLeft(fingerprint, now)) {
    // The request was running when the verdict arrived, which explains this crash too.
    const Suspicion explained{fingerprint, {run}};
    evidence_.explain(fingerprint, explained.runs);
    broadcast(makeVerdict(explained, now, now), outbox);
    return;
  }
  // Popular parts are served elsewhere all the time: a hold would fall on all who share them.
  if (served_.wasServedAfter(fingerprint, run.beganAt)) {
    return;
  }
  count(fingerprint, run, now, outbox);
  hold(fingerprint, now + kReportTime);
  for (const NodeId node :
       rendezvousTop(fingerprint, ownerCandidates_, kOwnersPerRequest, nodeHash)) {
    if (node != self_) {
      encodeSuspicion(Suspicion{fingerprint, {run}}, now,
                      *reports[node].mutable_quarantine()->mutable_reports()->add_requests());
    }
  }
}

void QuarantineDirectory::noteCrash(const Suspects& suspects, const CrashedRun& run) {
  const Time now = clock_.now();
  Outbox outbox;
  std::map<NodeId, proto::Envelope> reports;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    control_.noteCrash(suspects.parts, run);
    evidence_.noteEnd(run);
    countOwn(suspects.request, run, now, outbox, reports);
    for (const uint64_t part : suspects.parts) {
      countOwn(part, run, now, outbox, reports);
    }
  }
  outbox.insert(outbox.end(), reports.begin(), reports.end());
  for (const auto& [node, envelope] : outbox) {
    sender_.send(node, envelope);
  }
}

void QuarantineDirectory::clearServed(uint64_t fingerprint, Time now) {
  served_.note(fingerprint, now);
  evidence_.clear(fingerprint);
  if (proposals_.erase(fingerprint) > 0) {
    endHold(fingerprint);
  }
}

void QuarantineDirectory::noteServed(const Suspects& suspects) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Time now = clock_.now();
  control_.note(suspects.parts, now);
  clearServed(suspects.request, now);
  for (const uint64_t part : suspects.parts) {
    clearServed(part, now);
  }
}

size_t QuarantineDirectory::storeRank(uint64_t fingerprint) const {
  const std::vector<NodeId> first =
      rendezvousTop(fingerprint, ownerCandidates_, kStoreWriters, nodeHash);
  const auto own = std::find(first.begin(), first.end(), self_);
  return own == first.end() ? kStoreWriters : static_cast<size_t>(own - first.begin());
}

bool QuarantineDirectory::isFirstToStore(uint64_t fingerprint) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return storeRank(fingerprint) == 0;
}

std::vector<Quarantined> QuarantineDirectory::toStore(Time now) const {
  std::vector<Quarantined> due = table_.unstored(now);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto isNotDue = [&](const Quarantined& request) {
    const size_t rank = storeRank(request.fingerprint);
    return rank >= kStoreWriters || now - request.since < kStoreWriterDelay * rank;
  };
  due.erase(std::remove_if(due.begin(), due.end(), isNotDue), due.end());
  return due;
}

void QuarantineDirectory::onReport(const Suspicion& report, Time now, Outbox& outbox) {
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
  nextHandOverAt_ = now + kHandOverInterval;
  std::map<NodeId, proto::Envelope> messages;
  const auto send = [&](NodeId node, const proto::Envelope& envelope) {
    if (node != self_) {
      outbox.emplace_back(node, envelope);
    }
  };
  for (const Suspicion& suspect : evidence_.newest(kMaxHandedOverRequests)) {
    for (const NodeId node :
         rendezvousTop(suspect.fingerprint, ownerCandidates_, kOwnersPerRequest, nodeHash)) {
      proto::CrashReports& reports = *messages[node].mutable_quarantine()->mutable_reports();
      encodeSuspicion(suspect, now, *reports.add_requests());
      if (static_cast<size_t>(reports.requests_size()) >= kMaxReportsPerMessage) {
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
  const Suspicion suspicion = decodeSuspicion(proposal, now);
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
  withdrawRivalProposals(suspicion);
  forgetOldProposals(now);
  recentProposals_.push_back(RecentProposal{suspicion, now});
  // A verdict on the part would explain the crashes of a request that is not quarantined, and that
  // goes on with other parts.
  if (std::optional<Suspicion> whole = evidence_.explanationOf(suspicion)) {
    announce(std::move(*whole), now, outbox);
  }
}

void QuarantineDirectory::onObjection(const proto::QuarantineObjection& objection, Outbox& outbox) {
  // A report of the crash that led to the proposal may still be on its way.
  served_.note(objection.fingerprint(), clock_.now());
  evidence_.clear(objection.fingerprint());
  endHold(objection.fingerprint());
  if (proposals_.erase(objection.fingerprint()) == 0) {
    return;
  }
  // Otherwise other nodes would hand the evidence to new owners after the nodes that object have
  // been restarted and remember nothing served.
  proto::Envelope envelope;
  *envelope.mutable_quarantine()->mutable_objection() = objection;
  broadcast(envelope, outbox);
}

void QuarantineDirectory::onVerdict(const proto::QuarantineVerdict& verdict, Time now) {
  applyVerdict(decodeSuspicion(verdict, now),
               now - std::chrono::milliseconds(verdict.age_milliseconds()), now);
}

void QuarantineDirectory::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                                    MessageSender& sender) {
  const proto::QuarantineMessage& message = envelope.quarantine();
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (message.has_reports()) {
      for (const proto::CrashReport& report : message.reports().requests()) {
        onReport(decodeSuspicion(report, now), now, outbox);
      }
    } else if (message.has_proposal()) {
      onProposal(from.node, message.proposal(), now, outbox);
    } else if (message.has_objection()) {
      onObjection(message.objection(), outbox);
    } else if (message.has_verdict()) {
      onVerdict(message.verdict(), now);
    }
  }
  for (const auto& [node, answer] : outbox) {
    sender.send(node, answer);
  }
}

void QuarantineDirectory::sendUnstoredVerdicts(Time now, Outbox& outbox) {
  if (now < nextUnstoredAt_ || members_ == nullptr || members_->members.empty()) {
    return;
  }
  nextUnstoredAt_ = now + kUnstoredInterval;
  for (const Quarantined& request : table_.unstored(now)) {
    const proto::Envelope envelope =
        makeVerdict(Suspicion{request.fingerprint, {}}, request.since, now);
    for (size_t sent = 0; sent < kUnstoredFanout; ++sent) {
      const NodeId node = members_->members[random_.below(members_->members.size())].life.node;
      if (node != self_) {
        outbox.emplace_back(node, envelope);
      }
    }
  }
}

bool QuarantineDirectory::lacksControl(const Suspicion& suspicion) const {
  if (!quarantine::isPart(suspicion.fingerprint)) {
    return false;
  }
  return !control_.wasServedWithout(suspicion.fingerprint, suspicion.since()) ||
         control_.crashesWithout(suspicion) > suspicion.runs.size();
}

bool QuarantineDirectory::explainsRecentPart(const Suspicion& suspicion) const {
  const bool isHeldAgainst =
      evidence_.runsOf(suspicion.fingerprint).size() >= suspicion.runs.size();
  return isHeldAgainst && std::any_of(recentProposals_.begin(), recentProposals_.end(),
                                      [&](const RecentProposal& each) {
                                        return suspicion.explainsPart(each.suspicion);
                                      });
}

void QuarantineDirectory::decideDueProposals(Time now) {
  std::vector<Suspicion> due;
  for (auto proposal = proposals_.begin(); proposal != proposals_.end();) {
    const bool isDue = now >= proposal->second.decideAt;
    const bool waits = isDue && lacksControl(proposal->second.suspicion);
    if (isDue && !waits) {
      due.push_back(proposal->second.suspicion);
    }
    const bool isOver = waits && now >= proposal->second.decideAt + kControlTime;
    proposal = isOver ? proposals_.erase(proposal) : std::next(proposal);
  }
  for (const Suspicion& suspicion : due) {
    // Another verdict may have explained some of the crashes meanwhile. Requests that always come
    // together can't explain each other's crashes.
    const bool stands = suspicion.runs.size() >= quarantine::CrashEvidence::kMaxCrashesNeeded ||
                        evidence_.suspicionOf(suspicion.fingerprint).has_value() ||
                        explainsRecentPart(suspicion);
    proposals_.erase(suspicion.fingerprint);
    endHold(suspicion.fingerprint);
    if (stands) {
      applyVerdict(suspicion, now, now);
      verdictBroadcasts_.push_back(VerdictBroadcast{suspicion, now, kVerdictBroadcasts, now});
    }
  }
}

void QuarantineDirectory::onTick(Time now, MessageSender& sender) {
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    sendUnstoredVerdicts(now, outbox);
    handOver(now, outbox);
    forgetHolds(now);
    decideDueProposals(now);
    for (VerdictBroadcast& verdictBroadcast : verdictBroadcasts_) {
      if (now >= verdictBroadcast.nextAt) {
        broadcast(makeVerdict(verdictBroadcast.suspicion, verdictBroadcast.since, now), outbox);
        verdictBroadcast.nextAt = now + kVerdictInterval;
        --verdictBroadcast.remaining;
      }
    }
    verdictBroadcasts_.erase(
        std::remove_if(verdictBroadcasts_.begin(), verdictBroadcasts_.end(),
                       [](const VerdictBroadcast& each) { return each.remaining == 0; }),
        verdictBroadcasts_.end());
  }
  for (const auto& [node, envelope] : outbox) {
    sender.send(node, envelope);
  }
}

}  // namespace fernmoor::peers
