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
                 "an engine's lease can't be read (" + exception.displayText() +
                     "); delete the object, the next holder writes a new one.",
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
    // An unreadable lease is assumed to have the same duration as our own.
    seen_ = isOk(record) ? valueOf(record) : LeaseRecord{{}, knobs_.engineLeaseDuration};
  }
}

Time EngineLease::endOfOwn() const {
  return heldSince_ + knobs_.engineLeaseDuration - knobs_.engineLeaseMargin;
}

LeaseStep EngineLease::nextStep(Time now) const {
  if (held_ && now < endOfOwn() - knobs_.engineLeaseDuration / 2) {
    return LeaseStep{LeaseStep::Kind::kNothing, {}, {}};
  }
  const LeaseStep take{LeaseStep::Kind::kTake, seenVersion_, {}};
  if (!seen_ || seen_->holder == self_) {
    return take;
  }
  const Time end = firstSeen_ + seen_->duration + knobs_.engineLeaseMargin;
  return now >= end ? take : LeaseStep{LeaseStep::Kind::kWait, {}, end};
}

void EngineLease::onTaken(CollectionRevision version, Time sentAt) {
  held_ = version;
  heldSince_ = sentAt;
  seenVersion_ = version;
  firstSeen_ = sentAt;
  seen_ = LeaseRecord{self_, knobs_.engineLeaseDuration};
}

void EngineLease::onFailed() {
  held_.reset();
}

Result<FencingToken> EngineLease::authorize(Time now) const {
  if (!held_ || now >= endOfOwn()) {
    return Error{ErrorKind::kConflict,
                 "this node holds no lease on the engine, or it lapsed; take the lease anew "
                 "before giving orders.",
                 RunState::kNotRun, std::nullopt};
  }
  return FencingToken(held_->value());
}

}  // namespace fernmoor
