#include "standin/machine_list.h"

namespace fernmoor::standin {

Machine parseMachine(const JsonObject::Ptr& object) {
  Machine machine;
  machine.name = textField(object, "name");
  machine.kind = textField(object, "kind");
  machine.address = textField(object, "address");
  machine.port = numberField(object, "port");
  machine.zone = textField(object, "zone");
  machine.region = textField(object, "region");
  machine.status = textField(object, "status", "live");
  machine.nodeId = numberField(object, "node_id");
  return machine;
}

JsonObject::Ptr toJson(const Machine& machine) {
  JsonObject::Ptr object = newObject();
  object->set("name", machine.name);
  object->set("kind", machine.kind);
  object->set("address", machine.address);
  object->set("port", machine.port);
  object->set("zone", machine.zone);
  object->set("region", machine.region);
  object->set("status", machine.status);
  object->set("node_id", machine.nodeId);
  return object;
}

MachineList::Machines& MachineList::change(Time now) {
  Version next{now, versions_.back().machines};
  versions_.push_back(std::move(next));
  while (versions_.size() > 1 && versions_[1].since <= now - lag_) {
    versions_.pop_front();
  }
  return versions_.back().machines;
}

void MachineList::put(const Machine& machine, Time now) {
  change(now)[machine.name] = machine;
}

bool MachineList::leave(const std::string& name, Time now) {
  if (versions_.back().machines.count(name) == 0) {
    return false;
  }
  change(now)[name].status = "leaving";
  return true;
}

void MachineList::remove(const std::string& name, Time now) {
  change(now).erase(name);
}

std::vector<Machine> MachineList::at(Time now) const {
  const Machines* seen = &versions_.front().machines;
  for (const Version& version : versions_) {
    if (version.since <= now - lag_) {
      seen = &version.machines;
    }
  }
  std::vector<Machine> list;
  for (const auto& [name, machine] : *seen) {
    list.push_back(machine);
  }
  return list;
}

}  // namespace fernmoor::standin
