#include "engine/probe_waiter.h"

#include <utility>

namespace fernmoor {

std::vector<ProbeResult> ProbeWaiter::results() const {
  const RankedLock lock(mutex_);
  return results_;
}

bool ProbeWaiter::isComplete() const {
  const RankedLock lock(mutex_);
  return pendingOwners_ == 0;
}

void ProbeWaiter::onComplete(CompletionHandler handler) {
  {
    const RankedLock lock(mutex_);
    if (pendingOwners_ > 0) {
      handler_ = std::move(handler);
      return;
    }
  }
  handler();
}

void ProbeWaiter::add(const std::vector<ProbeResult>& answers) {
  CompletionHandler handler;
  {
    const RankedLock lock(mutex_);
    for (const ProbeResult& answer : answers) {
      for (ProbeResult& result : results_) {
        if (result.life == answer.life) {
          result = answer;
        }
      }
    }
    pendingOwners_ -= pendingOwners_ > 0 ? 1 : 0;
    if (pendingOwners_ == 0) {
      std::swap(handler, handler_);
    }
  }
  if (handler) {
    handler();
  }
}

}  // namespace fernmoor
