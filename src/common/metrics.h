/// @file
/// Measures of a node in Prometheus text, through prometheus-cpp. Every measure has a method here;
/// no other module names one. docs/OPERATIONS.md tells what each is good for.
///
/// Labels are bounded: service and tenant come from the table's rows, and beyond a fixed number of
/// pairs the rest is counted under "other".
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/lock_order.h"
#include "common/time.h"

namespace fernmoor {

/// Requests of one tenant to one service.
struct MetricClass {
  ServiceId service;
  TenantId tenant;
  friend bool operator<(const MetricClass& a, const MetricClass& b) {
    return a.service != b.service ? a.service < b.service : a.tenant < b.tenant;
  }
};

/// Why a delivered answer is late.
enum class LateCause {
  kFirstEvent,  ///< Its first event, or the whole of an answer without events, missed the target.
  kPause,       ///< Its first event was in time, but the time between two events was too long.
};

/// @return the name in metrics and log lines.
const char* toString(LateCause cause);

/// Sums of a class since the program started; the difference of two gives rates.
struct ClassTotals {
  MetricClass requestClass;
  double requests = 0;
  double refusals = 0;
  double blocksHit = 0;
  double blocksAsked = 0;
  double recomputedTokens = 0;
  std::vector<double>
      firstTokenBounds;  ///< Upper bounds of the buckets in seconds; last: infinity.
  std::vector<double> firstTokenCounts;  ///< Observations in each bucket, not cumulative.
};

class Metrics;

/// Measures of one class. Lives as long as its Metrics; thread-safe.
class ClassMetrics {
 public:
  /// A request arrived, whatever becomes of it.
  void countRequest() { requests_->Increment(); }
  /// A request was refused or failed.
  void countRefusal(ErrorKind kind);
  /// A further attempt was made for a request.
  void countRetry() { retries_->Increment(); }
  /// An answer was delivered late; each is counted once.
  void countLateAnswer(LateCause cause) { late_[static_cast<size_t>(cause)]->Increment(); }
  /// From arrival to the first byte of the answer passed on.
  void observeFirstToken(Duration time) { firstToken_->Observe(toSeconds(time)); }
  void observeTokenInterval(Duration time) { tokenInterval_->Observe(toSeconds(time)); }
  /// From arrival to placement.
  void observeQueueTime(Duration time) { queueTime_->Observe(toSeconds(time)); }
  /// @param hit blocks that the engine reported as cached.
  /// @param asked whole blocks of the prompt.
  void countPrefixBlocks(int64_t hit, int64_t asked);
  /// Tokens that an engine computed although some engine was believed to hold them.
  void countRecomputedTokens(int64_t tokens) {
    recomputedTokens_->Increment(static_cast<double>(tokens));
  }
  ClassTotals totals() const;

 private:
  friend class Metrics;
  MetricClass class_;
  prometheus::Counter* requests_ = nullptr;
  prometheus::Counter* retries_ = nullptr;
  prometheus::Counter* blocksHit_ = nullptr;
  prometheus::Counter* blocksAsked_ = nullptr;
  prometheus::Counter* recomputedTokens_ = nullptr;
  prometheus::Histogram* firstToken_ = nullptr;
  prometheus::Histogram* tokenInterval_ = nullptr;
  prometheus::Histogram* queueTime_ = nullptr;
  static constexpr size_t kErrorKinds = static_cast<size_t>(ErrorKind::kInternal) + 1;
  std::array<prometheus::Counter*, kErrorKinds> refusals_{};
  static constexpr size_t kLateCauses = static_cast<size_t>(LateCause::kPause) + 1;
  std::array<prometheus::Counter*, kLateCauses> late_{};
};

/// Number of members in each state, as this node sees them.
struct MemberCounts {
  int64_t alive = 0;
  int64_t suspect = 0;
  int64_t draining = 0;
  int64_t dead = 0;
};

/// All measures of one node. Thread-safe.
class Metrics {
 public:
  Metrics();

  /// @return the measures of a class, made at the first call; the reference stays valid. Callers
  /// on the request path keep it.
  ClassMetrics& of(const ServiceId& service, const TenantId& tenant);

  /// Age of an engine's cache view at the moment a request was placed by it.
  void observeViewAge(Duration age) { viewAge_->Observe(toSeconds(age)); }
  void setTableVersion(TableVersion version) {
    tableVersion_->Set(static_cast<double>(version.value()));
  }
  /// @param age since the newest proof that the table in force is the newest.
  void setTableAge(Duration age) { tableAge_->Set(toSeconds(age)); }
  void setMembers(const MemberCounts& counts);
  void setOpenStreams(int64_t count) { openStreams_->Set(static_cast<double>(count)); }
  /// Limits of rows or tenants that give this node less than it wants.
  void setShortLimits(size_t count) { shortLimits_->Set(static_cast<double>(count)); }
  /// Engines that state how many requests they take.
  void setLimitedEngines(size_t count) { limitedEngines_->Set(static_cast<double>(count)); }
  /// Engines that state they are brittle.
  void setBrittleEngines(size_t count) { brittleEngines_->Set(static_cast<double>(count)); }
  /// Sums since the program started: open requests of this node that were reported to new owners of
  /// their engines, and reservations refused by this node, by the reason.
  void setRenewedRequests(uint64_t count);
  void setRoomRefusals(uint64_t places, uint64_t memory, uint64_t reading);
  /// Reservations that owners refused because others go first.
  void setOrderRefusals(uint64_t share, uint64_t urgency);
  /// What became of reservations for the retries of refused requests.
  void setReturns(uint64_t served, uint64_t refused, uint64_t expired);
  /// Budget of a service for retries at this node: what it allows now, and what it granted and
  /// refused since the program started.
  void setRetryBudget(const ServiceId& service, double left, uint64_t granted, uint64_t refused);
  /// Era of the operators' store: it rises whenever the store came back from an old copy.
  void setStoreEra(uint64_t era) { storeEra_->Set(static_cast<double>(era)); }
  /// Entries of the store that this node could not read since the program started, each revision
  /// counted once.
  void setUnreadableEntries(uint64_t count);
  /// Live nodes that may exist beside the members, with which limits are shared.
  void setUnknownNodes(size_t count) { unknownNodes_->Set(static_cast<double>(count)); }
  /// Listed engines that say that they leave, and those that asked this node for rest.
  void setWithdrawnEngines(size_t leaving, size_t resting) {
    leavingEngines_->Set(static_cast<double>(leaving));
    restingEngines_->Set(static_cast<double>(resting));
  }
  /// Whether new connections to engines succeed, and whether data comes on established ones.
  void setEngineReach(bool connects, bool hears) {
    engineConnects_->Set(connects ? 1 : 0);
    engineHears_->Set(hears ? 1 : 0);
  }
  /// A request was handed to another node, or came from one, because the node that received it from
  /// its caller reaches no engine.
  void countHandedOn() { handedOn_->Increment(); }
  void countFromPeer() { fromPeers_->Increment(); }
  /// A caller takes a stream up again. @param isKnown its software version is known here.
  void countTakeUp(bool isKnown) { (isKnown ? takenUp_ : takeUpsRefused_)->Increment(); }
  /// A request was sent to an engine on a permit, or was refused for want of one.
  void countPermitted() { permitted_->Increment(); }
  void countUnpermitted() { unpermitted_->Increment(); }
  /// Requests that are not sent on, as they crashed several engines.
  void setQuarantined(size_t count) { quarantined_->Set(static_cast<double>(count)); }
  /// A back end began a request on weights whose bound had passed when its answer came.
  void countOldWeights() { oldWeights_->Increment(); }
  /// A request that waited at its engine was taken back near the end of a bound of new weights.
  void countTakenBack() { takenBack_->Increment(); }
  /// A request was cancelled because its caller did not read the answer.
  void countSlowCaller() { slowCallers_->Increment(); }
  /// A caller connection was closed with its request unread, for overload.
  void countClosedUnread() { closedUnread_->Increment(); }
  /// @param change of the number of bytes that are kept for callers that have not taken them.
  void addSlowCallerBytes(double change) { slowCallerBytes_->Increment(change); }
  /// Engines that hold older weights than are wanted.
  void setEnginesBehind(size_t count) { enginesBehind_->Set(static_cast<double>(count)); }
  /// Whether the last call to the platform succeeded.
  void setPlatformAvailable(bool available) { platformAvailable_->Set(available ? 1 : 0); }
  /// Bytes of node-to-node messages and of engines' events and load reports.
  void countControlSent(size_t bytes) { controlSent_->Increment(static_cast<double>(bytes)); }
  void countControlReceived(size_t bytes) {
    controlReceived_->Increment(static_cast<double>(bytes));
  }

  /// Bytes of messages that wait to be sent to other nodes.
  void setPeerQueueBytes(uint64_t bytes) { peerQueue_->Set(static_cast<double>(bytes)); }
  /// Bytes of the table in force as nodes pass it on.
  void setTableTextBytes(size_t bytes) { tableText_->Set(static_cast<double>(bytes)); }
  /// Whether new requests are refused for want of memory.
  void setSheddingForMemory(bool sheds) { shedding_->Set(sheds ? 1 : 0); }
  /// Bytes of the process that lie in memory.
  void setResidentBytes(size_t bytes) { resident_->Set(static_cast<double>(bytes)); }

  /// Sets the sums since the program started, where somebody else counts.
  void setControlBytes(uint64_t sent, uint64_t received);

  /// @return the sums of all classes, for rates over an interval.
  std::vector<ClassTotals> classTotals() const;
  /// @return everything in Prometheus text format 0.0.4.
  std::string serialize() const;

 private:
  std::unique_ptr<ClassMetrics> makeClass(const MetricClass& requestClass);

  prometheus::Registry registry_;
  prometheus::Histogram* viewAge_;
  prometheus::Gauge* tableVersion_;
  prometheus::Gauge* tableAge_;
  prometheus::Gauge* openStreams_;
  prometheus::Gauge* shortLimits_;
  prometheus::Gauge* limitedEngines_;
  prometheus::Gauge* brittleEngines_;
  prometheus::Gauge* storeEra_;
  prometheus::Counter* unreadableEntries_;
  prometheus::Gauge* unknownNodes_;
  prometheus::Gauge* leavingEngines_;
  prometheus::Gauge* restingEngines_;
  prometheus::Gauge* engineConnects_;
  prometheus::Gauge* engineHears_;
  prometheus::Counter* handedOn_;
  prometheus::Counter* fromPeers_;
  prometheus::Counter* takenUp_;
  prometheus::Counter* takeUpsRefused_;
  prometheus::Counter* renewed_;
  prometheus::Counter* refusedForPlaces_;
  prometheus::Counter* refusedForMemory_;
  prometheus::Counter* refusedForReading_;
  prometheus::Counter* refusedForShare_;
  prometheus::Counter* refusedForUrgency_;
  prometheus::Counter* returnsServed_;
  prometheus::Counter* returnsRefused_;
  prometheus::Counter* returnsExpired_;
  prometheus::Counter* permitted_;
  prometheus::Counter* unpermitted_;
  prometheus::Gauge* quarantined_;
  prometheus::Gauge* enginesBehind_;
  prometheus::Counter* oldWeights_;
  prometheus::Counter* takenBack_;
  prometheus::Counter* slowCallers_;
  prometheus::Counter* closedUnread_;
  prometheus::Gauge* slowCallerBytes_;
  prometheus::Gauge* platformAvailable_;
  prometheus::Gauge* peerQueue_;
  prometheus::Gauge* tableText_;
  prometheus::Gauge* resident_;
  prometheus::Gauge* shedding_;
  prometheus::Counter* controlSent_;
  prometheus::Counter* controlReceived_;
  prometheus::Family<prometheus::Gauge>* retryBudgetLeft_;
  prometheus::Family<prometheus::Counter>* retryBudget_;
  mutable RankedMutex mutex_{LockRank::kMetrics};
  std::map<MetricClass, std::unique_ptr<ClassMetrics>> classes_;
};

}  // namespace fernmoor
