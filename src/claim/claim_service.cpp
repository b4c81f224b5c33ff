#include "claim/claim_service.h"

#include <utility>

namespace fernmoor {

/// Queues messages to the node itself apart from the others, so that no lock is held while the
/// others are passed to the transport.
class ClaimService::LoopbackSender : public MessageSender {
 public:
  explicit LoopbackSender(NodeId self) : self_(self) {}

  void send(NodeId to, const proto::Envelope& envelope) override {
    (to == self_ ? own_ : others_).emplace_back(Message{to, envelope});
  }

  struct Message {
    NodeId to;
    proto::Envelope envelope;
  };
  std::vector<Message> takeOwn() { return std::exchange(own_, {}); }
  const std::vector<Message>& others() const { return others_; }

 private:
  NodeId self_;
  std::vector<Message> own_;
  std::vector<Message> others_;
};

ClaimService::ClaimService(NodeLife self, int64_t wallMicrosecondsAtZero, const Knobs& knobs,
                           uint64_t seed)
    : self_(self),
      replica_(self, wallMicrosecondsAtZero, knobs),
      coordinator_(self, wallMicrosecondsAtZero, knobs, seed) {}

void ClaimService::dispatch(const NodeLife& from, const proto::Envelope& envelope, Time now,
                            MessageSender& sender) {
  replica_.onMessage(from, envelope, now, sender);
  coordinator_.onMessage(from, envelope, now, sender);
}

void ClaimService::run(Time now, MessageSender& sender,
                       const std::function<void(MessageSender&)>& step) {
  LoopbackSender loopback(self_.node);
  std::vector<std::pair<std::promise<ClaimOutcome>, ClaimOutcome>> outcomes;
  std::vector<std::pair<std::promise<bool>, bool>> completed;
  {
    const RankedLock lock(mutex_);
    step(loopback);
    for (auto own = loopback.takeOwn(); !own.empty(); own = loopback.takeOwn()) {
      for (const LoopbackSender::Message& message : own) {
        dispatch(self_, message.envelope, now, loopback);
      }
    }
    for (ClaimResolution& resolution : coordinator_.takeResolutions()) {
      auto promise = claims_.extract(resolution.ticket);
      if (!promise.empty()) {
        outcomes.emplace_back(std::move(promise.mapped()), std::move(resolution.outcome));
      }
    }
    for (const CompletionResolution& resolution : coordinator_.takeCompletions()) {
      auto promise = completions_.extract(resolution.ticket);
      if (!promise.empty()) {
        completed.emplace_back(std::move(promise.mapped()), resolution.recorded);
      }
    }
  }
  for (const LoopbackSender::Message& message : loopback.others()) {
    sender.send(message.to, message.envelope);
  }
  for (auto& [promise, outcome] : outcomes) {
    promise.set_value(std::move(outcome));
  }
  for (auto& [promise, recorded] : completed) {
    promise.set_value(recorded);
  }
}

void ClaimService::onMessage(NodeLife from, const proto::Envelope& envelope, Time now,
                             MessageSender& sender) {
  run(now, sender, [&](MessageSender& out) { dispatch(from, envelope, now, out); });
}

void ClaimService::onTick(Time now, MessageSender& sender) {
  run(now, sender, [&](MessageSender& out) {
    replica_.onTick(now, out);
    coordinator_.onTick(now, out);
  });
}

void ClaimService::setGroupConfiguration(const GroupConfiguration& configuration, Time now,
                                         MessageSender& sender) {
  run(now, sender, [&](MessageSender& out) {
    replica_.setGroupConfiguration(configuration, now);
    coordinator_.setGroupConfiguration(configuration, now, out);
  });
}

PendingClaim ClaimService::begin(const ClaimKey& key, uint64_t digest, Time now,
                                 MessageSender& sender) {
  PendingClaim pending;
  run(now, sender, [&](MessageSender& out) {
    pending.ticket = coordinator_.begin(key, digest, now, out);
    pending.outcome = claims_[pending.ticket].get_future();
  });
  return pending;
}

std::future<bool> ClaimService::complete(ClaimTicket ticket, const ClaimAnswer& answer, Time now,
                                         MessageSender& sender) {
  std::future<bool> recorded;
  run(now, sender, [&](MessageSender& out) {
    recorded = completions_[ticket].get_future();
    coordinator_.complete(ticket, answer, now, out);
  });
  return recorded;
}

void ClaimService::release(ClaimTicket ticket, Time now, MessageSender& sender) {
  run(now, sender, [&](MessageSender& out) {
    claims_.erase(ticket);
    coordinator_.release(ticket, now, out);
  });
}

ClaimReplicaStatus ClaimService::status() const {
  const RankedLock lock(mutex_);
  return replica_.status();
}

}  // namespace fernmoor
