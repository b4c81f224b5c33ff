/// @file
/// Which request goes first where an engine is short of capacity: less urgent requests leave a
/// reserve for the more urgent ones that are expected, and tenants get max-min fair shares.
///
/// Otherwise a burst of long, less urgent prompts fills the engines while short urgent ones keep
/// arriving, and a large tenant takes the places that many small ones wait for.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "common/time.h"
#include "gateway/room_amounts.h"

namespace fernmoor::gateway {

/// What one request takes.
struct RoomClaim {
  std::optional<int> urgency;  ///< 0 to 9, 0 is the most urgent; nothing: unknown.
  uint64_t tenant = 0;         ///< Hash of the tenant's name; 0: none.
  RoomAmounts amounts;         ///< What it adds: shared parts that are present count as 0.
};

/// An engine as the claim finds it.
struct EngineState {
  /// 0 where unknown. The reading capacity may depend on how long the request may wait.
  RoomAmounts capacity;
  RoomAmounts used;  ///< By all requests, including those of unknown urgency.
};

/// Why a claim is refused.
enum class RoomRefusal { kPlaces, kMemory, kReading, kShare, kUrgency };

/// @return the name in metrics and log lines.
std::string_view nameOf(RoomRefusal reason);

/// Use and demand of one engine. Claims of unknown urgency are not counted. Not thread-safe.
class RoomSharing {
 public:
  static constexpr size_t kUrgencies = 10;
  static constexpr size_t kMaxTenants = 256;

  /// Decides on a claim and changes nothing.
  /// @return nothing if it may be admitted, or if its urgency or the capacity is unknown.
  std::optional<RoomRefusal> refusalOf(const RoomClaim& claim, const EngineState& engine,
                                       Time now) const;
  /// Counts a refusal as demand; it fades.
  void noteRefusal(const RoomClaim& claim, RoomRefusal reason, Time now);
  void noteStart(const RoomClaim& claim, Time now);
  /// The prompt was read: its reading tokens are free, and one refusal has been made good.
  void notePromptRead(const RoomClaim& claim, Time now);
  /// The request left the engine.
  /// @param isRead whether notePromptRead was called for it.
  void noteEnd(const RoomClaim& claim, bool isRead, Time now);
  /// A request that ended was not sent, because it would have waited too long: it counts as
  /// refused.
  /// @param reason what it would have waited for.
  void noteGivenBack(const RoomClaim& claim, RoomRefusal reason, Time now);
  /// @return the number of tenants that are tracked.
  size_t tenants() const { return tenants_.size(); }

 private:
  /// Demand that was refused lately.
  struct Refused {
    double count = 0;
    RoomAmounts expected;  ///< What the refused requests would occupy at a time.
    RoomAmounts last;      ///< The last refused claim.
    int urgency = 0;       ///< The most urgent one.
    Time at;
    Time until;  ///< From then on, the requests count as gone.

    double countAt(Time now) const;
    bool isWaiting(Time now) const;
    double demandOf(double RoomAmounts::*resource, Time now) const;
    void add(const RoomClaim& claim, const RoomAmounts& expectedUse, Time now);
    void removeOne(Time now);
  };

  /// Use of one resource by one urgency.
  struct Level {
    double use = 0;
    double mean = 0;     ///< Of the recent use.
    double rise = 0;     ///< Mean of the recent use above the mean.
    double peak = 0;     ///< Greatest recent use; fades.
    double started = 0;  ///< Amount of the claims started lately; fades.

    Level fadedBy(double left) const;
  };

  struct Urgency {
    std::array<Level, 3> levels;
    Refused refused;
    RoomAmounts lastClaim;
  };

  struct Tenant {
    RoomAmounts use;
    Refused refused;
    RoomAmounts lastClaim;
    int lastUrgency = 0;
    Time usedAt;  ///< When it last asked for room.

    void noteClaim(const RoomClaim& claim);
  };

  /// What one decision needs several times.
  struct View {
    const RoomClaim& claim;
    const EngineState& engine;
    Time now;
    double left = 1;       ///< Of the levels, since they were faded last.
    double floorPart = 0;  ///< Of the capacity, for an urgency with demand.
  };

  double leftAt(Time now) const;
  void fadeTo(Time now);
  double floorPart(Time now) const;
  bool isWithinFloor(size_t urgency, size_t resource, double amount, const View& view) const;
  double reserveOf(size_t urgency, size_t resource, double limit, const View& view) const;
  double heldFloorOf(size_t urgency, size_t resource, const View& view) const;
  bool leavesReserves(size_t resource, const View& view) const;
  bool isAboveShare(size_t resource, const View& view) const;
  Tenant& tenantOf(uint64_t tenant, Time now);
  void addUse(const RoomClaim& claim, const RoomAmounts& amounts, double sign);

  std::array<Urgency, kUrgencies> urgencies_;
  std::unordered_map<uint64_t, Tenant> tenants_;
  Time at_;                ///< To which the levels are faded.
  Time tenantsWaitUntil_;  ///< From then on, no tenant has refused demand.
};

}  // namespace fernmoor::gateway
