#include "table/table_announcer.h"

#include "table/table_messages.h"

namespace fernmoor {

void TableAnnouncer::onNewVersion(TableVersion version, Time now, MessageSender& sender) {
  roundsLeft_ = knobs_.tableAnnounceRounds;
  sendRound(version, now, sender);
}

void TableAnnouncer::onTick(TableVersion version, Time now, MessageSender& sender) {
  if (roundsLeft_ > 0 && nextRound_ <= now) {
    sendRound(version, now, sender);
  }
  if (nextGossip_ <= now) {
    gossip(version, now, sender);
  }
}

void TableAnnouncer::sendRound(TableVersion version, Time now, MessageSender& sender) {
  --roundsLeft_;
  nextRound_ = now + knobs_.tableAnnounceInterval;
  const auto announce = [&](PeerScope scope, int64_t fanout) {
    const auto count = static_cast<size_t>(fanout);
    for (const NodeId peer : peers_.sampleLacking(version, count, scope, random_)) {
      sender.send(peer, tableAnnouncement(version));
    }
  };
  const bool alone = !peers_.any(PeerScope::kOwnZone);
  announce(PeerScope::kOwnZone, knobs_.tableAnnounceFanout);
  announce(PeerScope::kOtherZones,
           alone ? knobs_.tableAnnounceFanout : knobs_.tableAnnounceFarFanout);
}

void TableAnnouncer::gossip(TableVersion version, Time now, MessageSender& sender) {
  nextGossip_ =
      now + random_.between(knobs_.tableGossipInterval / 2, knobs_.tableGossipInterval * 3 / 2);
  gossipsFar_ = !gossipsFar_;
  PeerScope scope = gossipsFar_ ? PeerScope::kOtherZones : PeerScope::kOwnZone;
  if (!peers_.any(scope)) {
    scope = PeerScope::kAll;
  }
  for (const NodeId peer : peers_.sample(1, scope, random_)) {
    sender.send(peer, tableAnnouncement(version));
  }
}

}  // namespace fernmoor
