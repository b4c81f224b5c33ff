/// @file
/// The sizes that docs/CAPACITY.md computes for, and the budget of the control plane.
#pragma once

namespace fernmoor::bench::target {

constexpr double kNodes = 380;
constexpr double kEngines = 600;
constexpr double kRequestsPerSecond = 8100;
constexpr double kTokensPerSecond = 1900000;
constexpr double kCachedBlocks = 110000000;
constexpr double kCacheEventsPerSecond = 520000;
constexpr double kTenants = 35000;
constexpr double kModels = 22;
constexpr double kZones = 7;
constexpr double kRegions = 2;
constexpr double kChangesPerDay = 1200;
constexpr double kReplacementsPerDay = 75;
constexpr double kFailuresPerDay = 19;
constexpr double kSecondsPerDay = 86400;

/// Tenants that one engine's owner tracks at most.
constexpr double kTenantsOfEngine = 256;

/// Gateways before one operators' store, and the back ends that it lists.
constexpr double kGateways = 985;
constexpr double kListedBackends = 9998;

/// Control plane of one node.
constexpr double kBudgetCorePercent = 1.7;
constexpr double kBudgetMegabytes = 32;
constexpr double kBudgetBytesPerSecond = 22000;

/// Each engine has an owner and a warm second one.
constexpr double kOwnersPerEngine = 2;

constexpr double kEnginesPerNode = kOwnersPerEngine * kEngines / kNodes;
constexpr double kBlocksPerEngine = kCachedBlocks / kEngines;
constexpr double kBlocksPerNode = kOwnersPerEngine * kCachedBlocks / kNodes;
constexpr double kCacheEventsPerNode = kOwnersPerEngine * kCacheEventsPerSecond / kNodes;
constexpr double kRequestsPerNode = kRequestsPerSecond / kNodes;
constexpr double kTokensPerNode = kTokensPerSecond / kNodes;

}  // namespace fernmoor::bench::target
