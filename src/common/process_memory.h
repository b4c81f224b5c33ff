/// @file
/// Memory that this process takes from its machine.
#pragma once

#include <cstddef>

#include "common/error.h"

namespace fernmoor {

/// @return bytes of this process that lie in memory now, as the kernel counts them; kUnavailable
///         where it does not tell. Bytes that have arrived on sockets and are not read yet are not
///         among them, though a machine's limit may count them.
Result<size_t> residentBytes();

}  // namespace fernmoor
