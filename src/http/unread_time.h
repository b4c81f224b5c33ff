/// @file
/// How long received bytes have waited for the process to read them, as the system recorded it.
#pragma once

#include <Poco/Net/StreamSocket.h>

#include "common/time.h"

namespace fernmoor {

/// Costs one system call. Includes the time in which the connection itself was not yet accepted,
/// and in which the process had no processor time.
/// @return the time since the last bytes arrived at the socket, in steps of the system's ticks (1
///         to 4 ms); 0 if it is not known.
Duration unreadTime(const Poco::Net::StreamSocket& socket);

}  // namespace fernmoor
