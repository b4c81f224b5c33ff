#include "gateway/byte_budget.h"

namespace fernmoor::gateway {

namespace {

/// 22 MB on a machine with 88 MB: five bodies of the maximum size, or a thousand of 20 KB. Measured
/// memory use outside this budget: 11.6 MB for a process without a table or requests, and 31 KB for
/// each connection that has carried a request. The rest is for tables and traffic with other nodes.
constexpr size_t kCallersPercent = 25;

}  // namespace

bool ByteBudget::hasRoom(size_t bytes) const {
  const size_t held = held_;
  return mostBytes_ == 0 || (held <= mostBytes_ && bytes <= mostBytes_ - held);
}

bool ByteBudget::take(size_t bytes) {
  if (mostBytes_ == 0) {
    held_ += bytes;
    return true;
  }
  size_t held = held_;
  do {
    if (bytes > mostBytes_ - held) {
      return false;
    }
  } while (!held_.compare_exchange_weak(held, held + bytes));
  return true;
}

bool HeldBytes::add(size_t bytes) {
  if (!budget_.take(bytes)) {
    return false;
  }
  bytes_ += bytes;
  return true;
}

bool HeldBytes::resize(size_t bytes) {
  if (bytes > bytes_) {
    return add(bytes - bytes_);
  }
  budget_.giveBack(bytes_ - bytes);
  bytes_ = bytes;
  return true;
}

void HeldBytes::clear() {
  budget_.giveBack(bytes_);
  bytes_ = 0;
}

size_t callersShare(size_t limitBytes) {
  return limitBytes / 100 * kCallersPercent;
}

}  // namespace fernmoor::gateway
