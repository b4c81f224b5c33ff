/// @file
/// Processor time and memory of this process, as the system accounts them.
#pragma once

#include <cstdint>

namespace fernmoor::bench {

/// @return processor time of the calling thread, in seconds.
double threadCpuSeconds();
/// @return processor time of the whole process, in seconds.
double processCpuSeconds();
/// @return bytes in use on the heap (glibc's mallinfo2, mapped blocks included).
int64_t heapBytes();
/// @return the process's peak resident memory in bytes (VmHWM of /proc/self/status).
int64_t peakResidentBytes();
/// @return the process's resident memory in bytes (VmRSS).
int64_t residentBytes();

}  // namespace fernmoor::bench
