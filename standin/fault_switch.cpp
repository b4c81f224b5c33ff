#include "standin/fault_switch.h"

namespace fernmoor::standin {

namespace {
constexpr int64_t kMicrosecondsPerMillisecond = 1000;

Duration milliseconds(const JsonObject::Ptr& object, const std::string& name) {
  return Duration(numberField(object, name) * kMicrosecondsPerMillisecond);
}
}  // namespace

Result<FaultOrder> parseFault(const std::string& body) {
  const auto parsed = parseObject(body);
  if (!isOk(parsed)) {
    return errorOf(parsed);
  }
  const JsonObject::Ptr& object = valueOf(parsed);
  FaultOrder order;
  order.kind = textField(object, "kind");
  order.duration = milliseconds(object, "duration_ms");
  order.count = numberField(object, "count");
  order.delay = milliseconds(object, "delay_ms");
  return order;
}

Error unknownFault(const std::string& kind, const std::string& known) {
  return Error{ErrorKind::kInvalidRequest,
               "Fault \"" + kind + "\" is not known here. Use one of: " + known + ".",
               RunState::kNotRun, std::nullopt};
}

void FaultSwitch::set(const FaultOrder& order, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (order.kind == "none") {
    faults_.clear();
    return;
  }
  Fault fault;
  fault.limitedInTime = order.duration > Duration(0);
  fault.until = now + order.duration;
  fault.limitedInCount = order.count > 0;
  fault.count = order.count;
  fault.delay = order.delay;
  faults_[order.kind] = fault;
}

FaultSwitch::Fault* FaultSwitch::findApplying(const std::string& kind, Time now) {
  const auto found = faults_.find(kind);
  if (found == faults_.end()) {
    return nullptr;
  }
  Fault& fault = found->second;
  const bool late = fault.limitedInTime && now >= fault.until;
  const bool usedUp = fault.limitedInCount && fault.count == 0;
  if (late || usedUp) {
    faults_.erase(found);
    return nullptr;
  }
  fault.count -= fault.limitedInCount ? 1 : 0;
  return &fault;
}

bool FaultSwitch::applies(const std::string& kind, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return findApplying(kind, now) != nullptr;
}

Duration FaultSwitch::delay(const std::string& kind, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Fault* fault = findApplying(kind, now);
  return fault == nullptr ? Duration(0) : fault->delay;
}

}  // namespace fernmoor::standin
