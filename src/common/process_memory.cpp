#include "common/process_memory.h"

#include <unistd.h>

#include <fstream>

namespace fernmoor {

namespace {

constexpr const char* kStatistics = "/proc/self/statm";  ///< In pages; the second is resident.

}  // namespace

Result<size_t> residentBytes() {
  std::ifstream in(kStatistics);
  size_t total = 0;
  size_t resident = 0;
  if (!(in >> total >> resident)) {
    return Error{ErrorKind::kUnavailable,
                 std::string(kStatistics) + " cannot be read; mount /proc for the process.",
                 RunState::kNotRun, std::nullopt};
  }
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace fernmoor
