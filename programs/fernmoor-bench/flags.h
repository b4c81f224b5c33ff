/// @file
/// Flags that several subcommands share.
#pragma once

#include <gflags/gflags.h>

DECLARE_string(workload);
DECLARE_string(policy);
DECLARE_uint64(seed);
DECLARE_int32(seeds);
DECLARE_double(staleness_ms);
DECLARE_bool(perfect);
DECLARE_double(seconds);
DECLARE_double(warm_up_seconds);
DECLARE_double(load);
DECLARE_double(gap_every_seconds);
DECLARE_double(crash_every_seconds);
DECLARE_bool(admission);
DECLARE_string(knobs);
DECLARE_int32(threads);
DECLARE_string(json);
DECLARE_string(out);

namespace fernmoor::bench {

/// Benchmarks leave the machine's other work its share.
constexpr int kMaxThreads = 4;

}  // namespace fernmoor::bench
