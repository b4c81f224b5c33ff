#include "sim/simulated_node.h"

#include <algorithm>
#include <utility>

namespace fernmoor::sim {

namespace {

/// Incarnations as the daemon draws them, from the wall clock, so that their encoding is as long.
uint64_t incarnationAt(Time now) {
  return static_cast<uint64_t>(VirtualClock::kWallStart + (now - VirtualClock::kStart).count());
}

}  // namespace

SimulatedNode::SimulatedNode(const Placement& placement, EventQueue& queue,
                             SimulatedNetwork& network, RoleFactory factory, uint64_t seed,
                             Duration tickInterval)
    : placement_(placement),
      queue_(queue),
      network_(network),
      factory_(std::move(factory)),
      random_(seed),
      tickInterval_(tickInterval),
      life_{placement.node, Incarnation(0)} {
  network_.addNode(placement_, [this](NodeLife from, const proto::Envelope& envelope) {
    dispatch(from, envelope);
  });
  network_.setDown(placement_.node, true);
}

SimulatedNode::~SimulatedNode() {
  network_.setDown(placement_.node, true);
}

void SimulatedNode::start() {
  if (running_) {
    crash();
  }
  const uint64_t next = std::max(life_.incarnation.value() + 1, incarnationAt(queue_.now()));
  life_.incarnation = Incarnation(next);
  network_.setLife(life_);
  network_.setDown(placement_.node, false);
  running_ = true;
  lifeToken_ = std::make_shared<int>(0);
  roles_ = factory_(life_, queue_.now());
  scheduleTick(random_.between(Duration::zero(), tickInterval_));
}

void SimulatedNode::crash() {
  running_ = false;
  frozen_ = false;
  tickWaits_ = false;
  lifeToken_.reset();
  network_.setDown(placement_.node, true);
  roles_.clear();
}

void SimulatedNode::freeze() {
  if (!running_) {
    return;
  }
  frozen_ = true;
  network_.setFrozen(placement_.node, true);
}

void SimulatedNode::thaw() {
  if (!frozen_) {
    return;
  }
  frozen_ = false;
  const bool tickFirst = random_.chance(0.5);
  const bool ticks = std::exchange(tickWaits_, false);
  if (ticks && tickFirst) {
    scheduleTick(Duration::zero());
  }
  network_.setFrozen(placement_.node, false);
  if (ticks && !tickFirst) {
    scheduleTick(Duration::zero());
  }
}

void SimulatedNode::dispatch(NodeLife from, const proto::Envelope& envelope) {
  for (const HostedRole& hosted : roles_) {
    if (hosted.bodyCase == envelope.body_case()) {
      hosted.role->onMessage(from, envelope, queue_.now(), sender());
    }
  }
}

void SimulatedNode::scheduleTick(Duration delay) {
  queue_.scheduleAfter(delay, [this, life = std::weak_ptr<int>(lifeToken_)] {
    if (!life.expired()) {
      tick();
    }
  });
}

void SimulatedNode::tick() {
  if (frozen_) {
    tickWaits_ = true;
    return;
  }
  for (const HostedRole& hosted : roles_) {
    hosted.role->onTick(queue_.now(), sender());
  }
  scheduleTick(tickInterval_);
}

}  // namespace fernmoor::sim
