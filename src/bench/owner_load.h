/// @file
/// The node that counts for one engine, with the engine as full as its bounds allow: what a further
/// request costs there.
#pragma once

#include <cstddef>
#include <cstdint>

#include "gateway/pending_work.h"

namespace fernmoor::bench {

/// What stands at the engine.
struct OwnerLoadSizes {
  size_t presentRequests = 64;
  size_t knownParts = 512;  ///< All of them in use.
  size_t reservations = 64;
  size_t tenants = 16;
  /// Each tenant has a refused request, so that shares are computed.
  bool areTenantsWaiting = false;
};

/// Virtual time: each call takes a microsecond. Refused requests count as demand for 0.1 s, so that
/// the state holds for some ten thousand calls.
class OwnerLoad {
 public:
  explicit OwnerLoad(const OwnerLoadSizes& sizes);

  /// A request of a further tenant is counted, its prompt is read, and it ends.
  /// @return what it was answered.
  gateway::LoadAnswer serve();
  /// A request of the largest tenant, which occupies half of the engine, asks for the last time.
  /// It is refused if other tenants wait.
  gateway::LoadAnswer askForMore();
  gateway::RoomRefusals refusals() const { return work_.refusals(); }
  /// @return what became of the reservations once all are over.
  gateway::ReturnCounts endReservations();

 private:
  gateway::PendingRequest makeRequest(uint64_t tenant);
  Time step();
  void addPresent(const OwnerLoadSizes& sizes);
  void refuseTenants(const OwnerLoadSizes& sizes);
  void addReservations(const OwnerLoadSizes& sizes);

  gateway::PendingWork work_;
  gateway::EngineRoom room_;
  uint64_t partKey_ = 0;  ///< Of the first part that the engine holds.
  uint32_t lastId_ = 0;
  uint64_t lastKey_ = 0;
  Time now_;
};

}  // namespace fernmoor::bench
