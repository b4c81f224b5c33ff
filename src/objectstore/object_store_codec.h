/// @file
/// JSON bodies of the platform's protocol. Pure functions; a body that doesn't fit the protocol is
/// an error of kind kInternal with the part that is wrong.
#pragma once

#include <string>
#include <vector>

#include "objectstore/object_store_client.h"

namespace fernmoor::platform_codec {

std::string writeChange(const ObjectChange& change, const ChangeId& changeId);
std::string writeBatch(const ChangeBatch& batch);

Result<PlatformObject> readObject(const std::string& body);
Result<CollectionSnapshot> readSnapshot(const std::string& body);
Result<WatchBatch> readWatchBatch(const std::string& body);
Result<std::vector<Machine>> readMachines(const std::string& body);
/// Reads {"version": N} or {"revision": N}.
Result<CollectionRevision> readRevision(const std::string& body);
/// Reads an error body; fields left out are taken from the HTTP status.
/// @param mutation whether the failed call was a change, whose outcome may be unknown.
Error readError(int status, const std::string& body, bool mutation);

}  // namespace fernmoor::platform_codec
