/// @file
/// The platform's list of machines, which lags behind. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "common/time.h"
#include "standin/json.h"

namespace fernmoor::standin {

/// A process of the deployment as the platform lists it.
struct Machine {
  std::string name;
  std::string kind;  ///< node, engine, application or kvstore.
  std::string address;
  int64_t port = 0;
  std::string zone;
  std::string region;
  std::string status = "live";  ///< live or leaving.
  int64_t nodeId = 0;           ///< Of nodes.
};

Machine parseMachine(const JsonObject::Ptr& object);
JsonObject::Ptr toJson(const Machine& machine);

class MachineList {
 public:
  /// @param lag age of what at() returns.
  explicit MachineList(Duration lag) : lag_(lag) {}

  /// Adds a machine or replaces the one of that name.
  void put(const Machine& machine, Time now);
  /// Marks a machine as leaving. @return false where there is none of that name.
  bool leave(const std::string& name, Time now);
  void remove(const std::string& name, Time now);
  /// @return the list as it was at `now` less the lag, ordered by name.
  std::vector<Machine> at(Time now) const;

 private:
  using Machines = std::map<std::string, Machine>;
  struct Version {
    Time since;
    Machines machines;
  };
  Machines& change(Time now);

  Duration lag_;
  std::deque<Version> versions_{Version{}};  ///< Oldest first, never empty.
};

}  // namespace fernmoor::standin
