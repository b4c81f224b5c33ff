#include "peers/quarantine_directory.h"

#include <algorithm>
#include <set>

#include "common/log.h"

namespace fernmoor::peers {

namespace {

using quarantine::CrashedRun;
using quarantine::Quarantined;
using quarantine::Suspicion;

/// Objections come within a trip and back between regions, 40 ms, and the tick of a busy node.
constexpr Duration kObjectionTime{250000};
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

uint32_t ageInMessage(Time then, Time now) {
  return static_cast<uint32_t>(std::max<int64_t>(0, (now - then).count() / 1000));
}

void putRun(const CrashedRun& run, Time now, proto::CrashedRun& out) {
  out.set_engine_life(run.engineLife);
  out.set_began_age_milliseconds(ageInMessage(run.beganAt, now));
  out.set_ended_age_milliseconds(ageInMessage(run.endedAt, now));
}

CrashedRun takeRun(const proto::CrashedRun& run, Time now) {
  return CrashedRun{run.engine_life(),
                    now - std::chrono::milliseconds(run.began_age_milliseconds()),
                    now - std::chrono::milliseconds(run.ended_age_milliseconds())};
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
  verdict.set_age_milliseconds(ageInMessage(since, now));
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
}

void QuarantineDirectory::withdrawRivals(const Suspicion& other) {
  for (auto proposal = proposals_.begin(); proposal != proposals_.end();) {
    const Suspicion& own = proposal->second.suspicion;
    const bool isRival = own.fingerprint != other.fingerprint && own.sharesEndWith(other) &&
                         other.runs.size() >= own.runs.size();
    const bool isWithdrawn = isRival && evidence_.demandOneMore(own.fingerprint);
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
      const Keepers keepers = rendezvousKeepers(fingerprint, self_, members_.get());
      proto::Envelope envelope;
      proto::CrashReport& report = *envelope.mutable_quarantine()->mutable_report();
      report.set_fingerprint(fingerprint);
      putRun(run, now, *report.mutable_run());
      for (const NodeId keeper : std::set<NodeId>{keepers.first, keepers.second}) {
        if (keeper != self_) {
          outbox.emplace_back(keeper, envelope);
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
  proposals_.erase(fingerprint);
}

size_t QuarantineDirectory::storeRank(uint64_t fingerprint) const {
  std::vector<NodeId> living{self_};
  for (const Member& member : members_ == nullptr ? std::vector<Member>() : members_->members) {
    if (member.state != MemberState::kSuspect && member.life.node != self_) {
      living.push_back(member.life.node);
    }
  }
  const std::vector<NodeId> first =
      rendezvousTop(fingerprint, std::move(living), kNodesThatStore, nodeHash);
  return static_cast<size_t>(std::find(first.begin(), first.end(), self_) - first.begin());
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
    if (message.has_report()) {
      if (!table_.timeLeft(message.report().fingerprint(), now)) {
        count(message.report().fingerprint(), takeRun(message.report().run(), now), now, outbox);
      }
    } else if (message.has_proposal()) {
      onProposal(from.node, message.proposal(), now, outbox);
    } else if (message.has_objection()) {
      evidence_.clear(message.objection().fingerprint());
      proposals_.erase(message.objection().fingerprint());
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

void QuarantineDirectory::onTick(Time now, MessageSender& sender) {
  Outbox outbox;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    tellUnstored(now, outbox);
    std::vector<Suspicion> decided;
    for (const auto& [fingerprint, proposal] : proposals_) {
      if (now >= proposal.decideAt) {
        decided.push_back(Suspicion{fingerprint, evidence_.runsOf(fingerprint)});
      }
    }
    for (const Suspicion& suspicion : decided) {
      accept(suspicion, now, now);
      tellings_.push_back(Telling{suspicion, now, kTellings, now});
    }
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
