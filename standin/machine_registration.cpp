#include "standin/machine_registration.h"

namespace fernmoor::standin {

namespace {
constexpr Duration kRetry{200000};
constexpr Duration kTimeout{2000000};
constexpr int kAccepted = 200;
}  // namespace

MachineRegistration::MachineRegistration(SocketAddress platform, Machine machine)
    : platform_(std::move(platform)), machine_(std::move(machine)) {
  thread_ = std::thread([this] { run(); });
}

MachineRegistration::~MachineRegistration() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
  tell("/machines/remove");
}

void MachineRegistration::leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  wanted_ = "/machines/leave";
  changed_.notify_all();
}

bool MachineRegistration::tell(const char* path) const {
  JsonCall request;
  request.address = platform_;
  request.path = path;
  request.body = toJson(machine_);
  request.timeout = kTimeout;
  const auto answer = call(request);
  return isOk(answer) && valueOf(answer).status == kAccepted;
}

void MachineRegistration::run() {
  const char* told = nullptr;
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_) {
    if (told == wanted_) {
      changed_.wait(lock);
      continue;
    }
    const char* wanted = wanted_;
    lock.unlock();
    const bool accepted = tell(wanted);
    lock.lock();
    if (accepted) {
      told = wanted;
    } else if (!stopping_) {
      changed_.wait_for(lock, kRetry);
    }
  }
}

}  // namespace fernmoor::standin
