/// @file
/// The slopes of docs/CAPACITY.md, one function for each part of the product. Each measures on the
/// calling thread and takes seconds.
#pragma once

#include <vector>

#include "bench/slope.h"

namespace fernmoor::bench {

/// Hashing of prompts, by blocks.
std::vector<Slope> measurePromptHashing();
/// One choice of an engine, by candidates.
std::vector<Slope> measureRoutingDecision();
/// The owner's view of an engine's cache, by blocks, and the intake of its events.
std::vector<Slope> measureEngineOwner();
/// Questions to engines' owners, by engines asked for, and the loads that owners push, by nodes.
std::vector<Slope> measureProbes();
/// Membership at rest, by nodes.
std::vector<Slope> measureMembership();
/// The table in memory, by rows.
std::vector<Slope> measureTableMemory();
/// Spreading of the table, by nodes.
std::vector<Slope> measureTableSpread();
/// Admission, by rows.
std::vector<Slope> measureAdmission();
/// Claims of not-repeatable requests, by claims.
std::vector<Slope> measureClaims();
/// Sealing, sending and opening of node-to-node messages, by bytes.
std::vector<Slope> measureWire();
/// A gateway before the operators' store: choice, upkeep, copy of the list and moves by back ends,
/// duties by nodes.
std::vector<Slope> measureGateway();
/// A request at the owner of its engine by tenants, the messages to it by shared parts, the side of
/// its pool by engines, and its events by bytes.
std::vector<Slope> measureRequestPath();

}  // namespace fernmoor::bench
