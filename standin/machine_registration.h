/// @file
/// Keeps one stand-in's entry in the platform's list of machines, also over an outage of the
/// platform: what was asked last is sent until it is accepted. Thread-safe.
#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "standin/json_client.h"
#include "standin/machine_list.h"

namespace fernmoor::standin {

class MachineRegistration {
 public:
  /// Registers the machine as live, in the background.
  MachineRegistration(SocketAddress platform, Machine machine);
  /// Takes the machine off the list, waiting for one try only.
  ~MachineRegistration();
  MachineRegistration(const MachineRegistration&) = delete;
  MachineRegistration& operator=(const MachineRegistration&) = delete;

  /// Marks the machine as leaving, in the background.
  void leave();

 private:
  bool tell(const char* path) const;
  void run();

  SocketAddress platform_;
  Machine machine_;
  std::mutex mutex_;  ///< Guards what follows.
  std::condition_variable changed_;
  const char* wanted_ = "/machines/register";
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace fernmoor::standin
