/// @file
/// Which software versions a stream may be sent to, while engines of several serve side by side.
/// The loads they answer: a rolling upgrade, in which one version is about to go and the other one
/// has just come, and crashes of some engines meanwhile, after which each stream that broke off
/// must find another engine of its own version.
#pragma once

#include <string>
#include <vector>

#include "backends/backend_set.h"

namespace fernmoor::gateway {

/// Leaves only the members that run this version.
void leaveOutOtherSoftware(std::vector<BackendView>& members, const std::string& software);

/// @return whether the members run more than one version. Copies nothing, as it is asked for each
///         stream that may be resumed.
bool runSeveralVersions(const std::vector<BackendView>& members);

/// @return the members at which a stream that may be resumed should begin: those whose version at
///         least one other sound member shares, so that the stream can go on if its engine crashes,
///         and of these, if there are any, those whose version has been listed for some seconds:
///         other nodes may not have heard of a newer one, and would take it for impossible. All
///         members if there are none.
std::vector<BackendView> membersToBegin(const std::vector<BackendView>& members, Time now);

}  // namespace fernmoor::gateway
