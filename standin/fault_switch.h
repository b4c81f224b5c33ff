/// @file
/// Faults that a test turned on at a stand-in, each for a time or for a number of requests.
/// Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "common/time.h"
#include "standin/json.h"

namespace fernmoor::standin {

/// Body of POST /fault.
struct FaultOrder {
  std::string kind;
  Duration duration{0};  ///< 0: not limited by time.
  int64_t count = 0;     ///< 0: not limited by number.
  Duration delay{0};     ///< For faults that make slow.
};

/// @return the order, or kInvalidRequest where the body is none.
Result<FaultOrder> parseFault(const std::string& body);
/// @return an error that lists what the stand-in can do.
Error unknownFault(const std::string& kind, const std::string& known);

class FaultSwitch {
 public:
  /// Turns a fault on; the kind "none" turns all off.
  void set(const FaultOrder& order, Time now);
  /// @return true where the fault applies to the request at hand; uses up one of its count.
  bool applies(const std::string& kind, Time now);
  /// @return the delay of the fault where it applies to the request at hand, else 0; uses up one of
  /// its count.
  Duration delay(const std::string& kind, Time now);

 private:
  struct Fault {
    bool limitedInTime = false;
    Time until;
    bool limitedInCount = false;
    int64_t count = 0;
    Duration delay{0};
  };

  Fault* findApplying(const std::string& kind, Time now);

  std::mutex mutex_;
  std::map<std::string, Fault> faults_;
};

}  // namespace fernmoor::standin
