#include "engine/engine_lease.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace fernmoor {

const CollectionName& engineLeaseCollection() {
  static const CollectionName kCollection("engine-leases");
  return kCollection;
}

std::string writeLeaseRecord(const LeaseRecord& record) {
  Poco::JSON::Object object;
  object.set("holder", record.holder.node.value());
  object.set("incarnation", static_cast<Poco::UInt64>(record.holder.incarnation.value()));
  object.set("duration_us", static_cast<Poco::Int64>(record.duration.count()));
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

Result<LeaseRecord> readLeaseRecord(const std::string& valueJson) {
  try {
    Poco::JSON::Parser parser;
    const auto object = parser.parse(valueJson).extract<Poco::JSON::Object::Ptr>();
    LeaseRecord record;
    record.holder.node = NodeId(object->getValue<Poco::UInt32>("holder"));
    record.holder.incarnation = Incarnation(object->getValue<Poco::UInt64>("incarnation"));
    record.duration = Duration(object->getValue<Poco::Int64>("duration_us"));
    return record;
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kInvalidRequest,
                 "the engine's lease object is malformed (" + exception.displayText() +
                     "); delete it, and the next holder writes a new one.",
                 RunState::kNotRun, std::nullopt};
  }
}

void EngineLease::onRead(const std::optional<PlatformObject>& object, Time now) {
  const CollectionRevision version = object ? object->version : CollectionRevision();
  if (held_ && version != *held_) {
    held_.reset();
  }
  if (version == seenVersion_) {
    return;
  }
  seenVersion_ = version;
  firstSeen_ = now;
  seen_.reset();
  if (object) {
    const Result<LeaseRecord> record = readLeaseRecord(object->valueJson);
    // An unreadable lease is treated as another holder's lease of our own duration, and waited
    // out.
    seen_ = isOk(record) ? valueOf(record) : LeaseRecord{{}, knobs_.engineLeaseDuration};
  }
}

Time EngineLease::ownExpiry() const {
  return heldSince_ + knobs_.engineLeaseDuration - knobs_.engineLeaseMargin;
}

LeaseStep EngineLease::nextStep(Time now) const {
  if (held_ && now < ownExpiry() - knobs_.engineLeaseDuration / 2) {
    return LeaseStep{LeaseStep::Kind::kNothing, {}, {}};
  }
  const LeaseStep acquireStep{LeaseStep::Kind::kAcquire, seenVersion_, {}};
  if (!seen_ || seen_->holder == self_) {
    return acquireStep;
  }
  const Time end = firstSeen_ + seen_->duration + knobs_.engineLeaseMargin;
  return now >= end ? acquireStep : LeaseStep{LeaseStep::Kind::kWait, {}, end};
}

void EngineLease::onAcquired(CollectionRevision version, Time sentAt) {
  held_ = version;
  heldSince_ = sentAt;
  seenVersion_ = version;
  firstSeen_ = sentAt;
  seen_ = LeaseRecord{self_, knobs_.engineLeaseDuration};
}

void EngineLease::onWriteFailed() {
  held_.reset();
}

Result<FencingToken> EngineLease::authorize(Time now) const {
  if (!held_ || now >= ownExpiry()) {
    return Error{ErrorKind::kConflict,
                 "this node holds no lease on the engine, or its lease expired; acquire the lease "
                 "again before sending orders.",
                 RunState::kNotRun, std::nullopt};
  }
  return FencingToken(held_->value());
}

}  // namespace fernmoor
