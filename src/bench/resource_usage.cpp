#include "bench/resource_usage.h"

#include <malloc.h>
#include <sys/resource.h>

#include <ctime>
#include <fstream>
#include <string>

namespace fernmoor::bench {

namespace {

double clockSeconds(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// @return a field of /proc/self/status in bytes, 0 where it is missing.
int64_t statusBytes(const std::string& field) {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == field + ":") {
      int64_t kibibytes = 0;
      status >> kibibytes;
      return kibibytes * 1024;
    }
  }
  return 0;
}

}  // namespace

double threadCpuSeconds() {
  return clockSeconds(CLOCK_THREAD_CPUTIME_ID);
}

double processCpuSeconds() {
  return clockSeconds(CLOCK_PROCESS_CPUTIME_ID);
}

int64_t heapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

int64_t peakResidentBytes() {
  return statusBytes("VmHWM");
}

int64_t residentBytes() {
  return statusBytes("VmRSS");
}

}  // namespace fernmoor::bench
