#include "peers/load_directory.h"

#include <algorithm>

#include "peers/answer_timeout.h"
#include "peers/engine_statement_codec.h"
#include "peers/load_demand_codec.h"
#include "peers/message_time.h"
#include "peers/node_hash.h"

namespace fernmoor::peers {

namespace {

using gateway::EngineDemand;
using gateway::EngineRoom;
using gateway::EngineStatement;
using gateway::LoadAnswer;
using gateway::LoadTicket;
using gateway::PendingRequest;
using gateway::PermitOffer;

constexpr Duration kMillisecondRoundUp{999};

proto::LoadRelease makeRelease(const LoadTicket& ticket) {
  proto::LoadRelease release;
  release.set_engine(ticket.engine);
  release.set_question_id(ticket.id);
  release.set_lacked_room(ticket.lackedRoom);
  release.set_events(ticket.pace.events);
  release.set_stepping_milliseconds(toMilliseconds(ticket.pace.stepping));
  release.set_longest_pause_milliseconds(toMilliseconds(ticket.pace.longestPause));
  return release;
}

gateway::StreamPace decodePace(const proto::LoadRelease& release) {
  gateway::StreamPace pace;
  pace.events = release.events();
  pace.stepping = std::chrono::milliseconds(release.stepping_milliseconds());
  pace.longestPause = std::chrono::milliseconds(release.longest_pause_milliseconds());
  return pace;
}

/// @return the answer to a request that may be sent after a wait that is too long for it.
LoadAnswer lacksPermitFor(Duration wait) {
  LoadAnswer answer;
  answer.tokensPerSecond = 1.0;
  answer.lacksPermit = true;
  answer.permitWait = wait;
  return answer;
}

/// @return the release of a request that was not sent.
proto::LoadRelease makeUnsentRelease(const LoadTicket& ticket) {
  proto::LoadRelease release = makeRelease(ticket);
  release.set_permit_unused(ticket.hasPermit);
  return release;
}

}  // namespace

LoadDirectory::LoadDirectory(NodeId self, const Clock& clock, MessageSender& sender,
                             BackendSet* engines)
    : self_(self), clock_(clock), sender_(sender), engines_(engines) {}

void LoadDirectory::setReachableShare(double share) {
  const std::lock_guard<std::mutex> lock(mutex_);
  reachableShare_ = share;
}

void LoadDirectory::setMembers(std::shared_ptr<const MembershipSnapshot> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (members != members_) {
    mustRenew_ = true;
    ownerLives_.clear();
  }
  members_ = std::move(members);
}

NodeId LoadDirectory::ownerOf(uint64_t engine) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ownerLifeOf(engine).node;
}

size_t LoadDirectory::nodeCount() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return members_ == nullptr ? 1 : std::max<size_t>(1, members_->members.size());
}

double LoadDirectory::reachableShare() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return reachableShare_;
}

double LoadDirectory::localPermitRate(double statedRate) const {
  return gateway::permittedRate(statedRate) * reachableShare();
}

LoadAnswer LoadDirectory::reserveLocally(uint64_t engine, const PendingRequest& request,
                                         const EngineRoom& room, uint64_t bound, Time now) {
  const std::optional<double> survives = survivedRejections(engine, now);
  return survives ? reserveAtBrittle(engine, request, room, bound, *survives, now)
                  : count(engine, request, room, bound, false, now);
}

LoadAnswer LoadDirectory::reserveAtBrittle(uint64_t engine, const PendingRequest& request,
                                           const EngineRoom& room, uint64_t bound, double survives,
                                           Time now) {
  const std::shared_ptr<const BackendListing> listing =
      engines_ == nullptr ? nullptr : engines_->findIncarnation(engine);
  const bool listsPlaces = listing != nullptr && listing->slots > 0;
  const auto places = static_cast<double>(listsPlaces ? listing->slots : room.places);
  const std::lock_guard<std::mutex> lock(brittleMutex_);
  gateway::BrittleLoad load;
  load.present = work_.countOf(engine, now);
  load.places = static_cast<size_t>(places * reachableShare());
  load.survivesPerSecond = survives;
  const gateway::AdmissionOffer offer = windows_.admit(engine, load, now);
  return offer.isAdmitted ? count(engine, request, room, bound, true, now)
                          : lacksPermitFor(offer.wait);
}

LoadAnswer LoadDirectory::count(uint64_t engine, const PendingRequest& request,
                                const EngineRoom& room, uint64_t bound, bool isBrittle, Time now) {
  PermitOffer permit;
  const std::optional<double> stated = limits_.rateOf(engine);
  if (stated) {
    permit = permits_.take(engine, localPermitRate(*stated), request.demand.longestPermitWait, now);
    if (!permit.isTaken) {
      return lacksPermitFor(permit.wait);
    }
  }
  LoadAnswer answer;
  if (request.demand.isCounted) {
    answer = work_.reserve(engine, request, room, bound, now);
  } else {
    answer.isGranted = true;
    answer.tokensPerSecond = 1.0;
    answer.ticket = LoadTicket{engine, request.id, false, false};
    if (isBrittle) {
      work_.add(engine, request, now);
      answer.ticket.isCounted = true;
    }
  }
  if (permit.isTaken && !answer.isGranted) {
    permits_.giveBack(engine, now);
  }
  answer.ticket.hasPermit = (permit.isTaken || isBrittle) && answer.isGranted;
  answer.permitWait = permit.isTaken && answer.isGranted ? permit.wait : Duration(0);
  return answer;
}

proto::Envelope LoadDirectory::makeQuestion(uint32_t id, uint64_t engine,
                                            const EngineDemand& demand, const EngineRoom& room,
                                            uint64_t bound) const {
  proto::Envelope envelope;
  proto::LoadQuestion& question = *envelope.mutable_load()->mutable_question();
  encodeDemand(id, engine, demand, room, question);
  question.set_bound(clampToUint32(bound));
  const Time now = clock_.now();
  if (const EngineStatement known = statementOf(engine, now); !known.isEmpty()) {
    encodeStatement(known, now, *question.mutable_statement());
  }
  return envelope;
}

std::optional<LoadAnswer> LoadDirectory::reserve(uint64_t engine, const EngineDemand& demand,
                                                 const EngineRoom& room, uint64_t bound) {
  NodeLife ownerLife;
  std::shared_ptr<const MembershipSnapshot> members;
  uint32_t id = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    members = members_;
    ownerLife = ownerLifeOf(engine);
    id = ++lastQuestion_;
    if (ownerLife.node != self_) {
      questions_[id].isCounted = demand.isCounted;
    }
  }
  const NodeId owner = ownerLife.node;
  std::optional<LoadAnswer> answer;
  if (owner == self_) {
    const PendingRequest request{self_.value(), id, demand};
    answer = reserveLocally(engine, request, room, bound, clock_.now());
  } else {
    sender_.send(owner, makeQuestion(id, engine, demand, room, bound));
    std::unique_lock<std::mutex> lock(mutex_);
    answered_.wait_for(lock, kAnswerTimeout, [&] { return questions_.at(id).answer.has_value(); });
    answer = questions_.at(id).answer;
    questions_.erase(id);
  }
  if (answer && answer->lacksPermit) {
    limits_.noteWait(engine, clock_.now() + answer->permitWait);
    brittle_.noteWait(engine, clock_.now() + answer->permitWait);
  }
  if (answer && answer->isGranted && answer->ticket.isCounted) {
    const Time forgetAt = clock_.now() + demand.forgetAfter;
    noteOpen(id, OpenRequest{engine, demand, room, forgetAt, false, ownerLife, {}}, members.get());
  }
  return answer;
}

void LoadDirectory::sendRelease(const proto::LoadRelease& release, NodeId owner) {
  if (owner == self_) {
    applyRelease(self_.value(), release, clock_.now());
    return;
  }
  proto::Envelope envelope;
  *envelope.mutable_load()->mutable_release() = release;
  sender_.send(owner, envelope);
}

void LoadDirectory::promptRead(const LoadTicket& ticket) {
  proto::LoadRelease release = makeRelease(ticket);
  release.set_still_runs(true);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (const auto open = open_.find(ticket.id); open != open_.end()) {
      open->second.isRead = true;
    }
  }
  sendRelease(release, ownerOf(ticket.engine));
}

void LoadDirectory::release(const LoadTicket& ticket) {
  if (ticket.isCounted) {
    const NodeId owner = closeRequest(ticket);
    sendRelease(makeRelease(ticket), owner);
  }
}

void LoadDirectory::giveBack(const LoadTicket& ticket) {
  if (ticket.isCounted || ticket.hasPermit) {
    const NodeId owner = closeRequest(ticket);
    sendRelease(makeUnsentRelease(ticket), owner);
  }
}

void LoadDirectory::applyRelease(uint64_t asker, const proto::LoadRelease& release, Time now) {
  if (release.permit_unused()) {
    permits_.giveBack(release.engine(), now);
  }
  if (const auto survives = survivedRejections(release.engine(), now);
      release.lacked_room() && survives) {
    windows_.noteRejection(release.engine(), work_.countOf(release.engine(), now), *survives, now);
  }
  if (release.lacked_room()) {
    work_.noteRejection(release.engine(), now);
  }
  if (release.still_runs()) {
    work_.promptRead(release.engine(), asker, release.question_id(), now);
  } else {
    work_.release(release.engine(), asker, release.question_id(), now, decodePace(release));
  }
}

void LoadDirectory::forgetPreviousIncarnation(NodeLife from) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto known = askerIncarnations_.try_emplace(from.node, from.incarnation);
    if (known.second || known.first->second == from.incarnation) {
      return;
    }
    known.first->second = from.incarnation;
  }
  forgetRequestsOf(from.node, clock_.now());
}

void LoadDirectory::onQuestion(NodeLife from, const proto::LoadQuestion& question, Time now,
                               MessageSender& sender) {
  forgetPreviousIncarnation(from);
  const EngineDemand demand = decodeDemand(question);
  if (question.has_statement() &&
      applyStatement(decodeStatement(question.statement(), now), from.node, now)) {
    announce(question.engine(), now);
  }
  const EngineRoom room{question.engine_places(), question.engine_memory_tokens()};
  const PendingRequest request{from.node.value(), question.question_id(), demand};
  const LoadAnswer reserved =
      reserveLocally(question.engine(), request, room, question.bound(), now);
  proto::Envelope envelope;
  proto::LoadAnswer& answer = *envelope.mutable_load()->mutable_answer();
  answer.set_question_id(question.question_id());
  answer.set_engine(question.engine());
  answer.set_granted(reserved.isGranted);
  answer.set_pending_tokens(clampToUint32(reserved.pendingTokens));
  answer.set_tokens_per_second(clampToUint32(static_cast<uint64_t>(reserved.tokensPerSecond)));
  answer.set_stalled(reserved.isStalled);
  answer.set_lacks_permit(reserved.lacksPermit);
  answer.set_is_brittle(survivedRejections(question.engine(), now).has_value());
  // Rounded up, so that the request is neither sent nor asked for again before its permit is due.
  answer.set_permit_wait_milliseconds(toMilliseconds(reserved.permitWait + kMillisecondRoundUp));
  answer.set_first_event_base_milliseconds(toMilliseconds(reserved.firstEventBase));
  answer.set_reading_tokens(clampToUint32(reserved.readingTokens));
  answer.set_present_requests(reserved.presentRequests ? *reserved.presentRequests + 1 : 0);
  answer.set_return_after_milliseconds(toMilliseconds(reserved.returnAfter + kMillisecondRoundUp));
  answer.set_from_reservation(reserved.isFromReservation);
  if (const EngineStatement known = statementOf(question.engine(), now); !known.isEmpty()) {
    encodeStatement(known, now, *answer.mutable_statement());
  }
  sender.send(from.node, envelope);
}

void LoadDirectory::onAnswer(NodeLife from, const proto::LoadAnswer& answer,
                             MessageSender& sender) {
  LoadAnswer received;
  received.isGranted = answer.granted();
  received.pendingTokens = answer.pending_tokens();
  received.tokensPerSecond = std::max(1U, answer.tokens_per_second());
  received.isStalled = answer.stalled();
  received.lacksPermit = answer.lacks_permit();
  received.permitWait = std::chrono::milliseconds(answer.permit_wait_milliseconds());
  received.readingTokens = answer.reading_tokens();
  received.returnAfter = std::chrono::milliseconds(answer.return_after_milliseconds());
  received.isFromReservation = answer.from_reservation();
  received.firstEventBase = std::chrono::milliseconds(answer.first_event_base_milliseconds());
  if (answer.present_requests() > 0) {
    received.presentRequests = answer.present_requests() - 1;
  }
  const bool isBrittle = answer.is_brittle();
  const bool hasPermit = answer.granted() && (answer.statement().is_limited() || isBrittle);
  received.ticket = LoadTicket{answer.engine(), answer.question_id(), true, hasPermit};
  if (answer.has_statement()) {
    const Time now = clock_.now();
    applyStatement(decodeStatement(answer.statement(), now), from.node, now);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto question = questions_.find(answer.question_id());
    if (question != questions_.end()) {
      received.ticket.isCounted = question->second.isCounted || isBrittle;
      question->second.answer = received;
      answered_.notify_all();
      return;
    }
  }
  if (answer
          .granted()) {  // The request no longer waits for this answer and would never release it.
    proto::Envelope envelope;
    *envelope.mutable_load()->mutable_release() = makeUnsentRelease(received.ticket);
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
    applyRelease(from.node.value(), message.release(), now);
  } else if (message.has_statements()) {
    onStatements(from, message.statements(), now);
  } else if (message.has_renewal()) {
    onRenewal(from, message.renewal(), now);
  }
}

}  // namespace fernmoor::peers
