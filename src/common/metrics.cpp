#include "common/metrics.h"

#include <prometheus/text_serializer.h>

#include <limits>

namespace fernmoor {

namespace {

/// Pairs of service and tenant with measures of their own; each takes about 11 KiB.
constexpr size_t kMaximumClasses = 128;
const char* const kOther = "other";

using Buckets = prometheus::Histogram::BucketBoundaries;

/// Seconds; fine around the few milliseconds to seconds that first tokens take.
const Buckets kFirstTokenBuckets = {0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2,
                                    0.3,   0.5,   0.75, 1,    1.5,   2.5,  5,     10,  30,   60};
const Buckets kTokenIntervalBuckets = {0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.2, 0.5, 1, 5};
const Buckets kQueueBuckets = {0.001, 0.005, 0.02, 0.1, 0.5, 1, 2, 5, 10, 30, 60, 300};
const Buckets kViewAgeBuckets = {0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry, const char* name,
                                                 const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& gauge(prometheus::Registry& registry, const char* name,
                                             const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& histogram(prometheus::Registry& registry,
                                                     const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter>& roomRefusals(prometheus::Registry& registry) {
  return counter(registry, "fernmoor_engine_room_refusals_total",
                 "Reservations at engines that their owner refused, by what was short.");
}

prometheus::Family<prometheus::Counter>& returns(prometheus::Registry& registry) {
  return counter(registry, "fernmoor_returns_total",
                 "Reservations for retries of refused requests, by what became of them.");
}

void setCounter(prometheus::Counter& counter, uint64_t total) {
  counter.Increment(static_cast<double>(total) - counter.Value());
}

}  // namespace

const char* toString(LateCause cause) {
  return cause == LateCause::kFirstEvent ? "first_event" : "pause";
}

void ClassMetrics::countRefusal(ErrorKind kind) {
  refusals_[static_cast<size_t>(kind)]->Increment();
}

void ClassMetrics::countPrefixBlocks(int64_t hit, int64_t asked) {
  blocksHit_->Increment(static_cast<double>(hit));
  blocksAsked_->Increment(static_cast<double>(asked));
}

ClassTotals ClassMetrics::totals() const {
  ClassTotals totals;
  totals.requestClass = class_;
  totals.requests = requests_->Value();
  totals.blocksHit = blocksHit_->Value();
  totals.blocksAsked = blocksAsked_->Value();
  totals.recomputedTokens = recomputedTokens_->Value();
  for (const prometheus::Counter* refusal : refusals_) {
    totals.refusals += refusal->Value();
  }
  double below = 0;
  for (const auto& bucket : firstToken_->Collect().histogram.bucket) {
    const auto cumulative = static_cast<double>(bucket.cumulative_count);
    totals.firstTokenBounds.push_back(bucket.upper_bound);
    totals.firstTokenCounts.push_back(cumulative - below);
    below = cumulative;
  }
  return totals;
}

Metrics::Metrics()
    : viewAge_(&histogram(registry_, "fernmoor_view_age_seconds",
                          "Age of the cache view by which a request was placed.")
                    .Add({}, kViewAgeBuckets)),
      tableVersion_(
          &gauge(registry_, "fernmoor_table_version", "Table version in force on this node.")
               .Add({})),
      tableAge_(&gauge(registry_, "fernmoor_table_age_seconds",
                       "Since the newest proof that the table in force is the newest.")
                     .Add({})),
      openStreams_(
          &gauge(registry_, "fernmoor_open_streams", "Answers being passed on now.").Add({})),
      shortLimits_(&gauge(registry_, "fernmoor_short_limits",
                          "Limits that give this node less than it wants.")
                        .Add({})),
      limitedEngines_(&gauge(registry_, "fernmoor_limited_engines",
                             "Engines that state how many requests a second they take.")
                           .Add({})),
      brittleEngines_(&gauge(registry_, "fernmoor_brittle_engines",
                             "Engines that state they crash if they reject too many requests.")
                           .Add({})),
      storeEra_(&gauge(registry_, "fernmoor_store_era",
                       "Rises whenever the operators' store came back from an old copy.")
                     .Add({})),
      unreadableEntries_(
          &counter(registry_, "fernmoor_store_entries_unreadable_total",
                   "Entries of the operators' store that cannot be read and are left "
                   "out; each revision counts once.")
               .Add({})),
      unknownNodes_(&gauge(registry_, "fernmoor_unknown_nodes",
                           "Nodes that may be alive beside the members; limits are shared with "
                           "them.")
                         .Add({})),
      leavingEngines_(
          &gauge(registry_, "fernmoor_leaving_engines", "Listed engines that say that they leave.")
               .Add({})),
      restingEngines_(&gauge(registry_, "fernmoor_resting_engines",
                             "Listed engines that asked this node for rest.")
                           .Add({})),
      engineConnects_(&gauge(registry_, "fernmoor_engine_connections_succeed",
                             "1 as long as new connections to engines succeed.")
                           .Add({})),
      engineHears_(
          &gauge(registry_, "fernmoor_engine_data_arrives",
                 "1 if an engine sent data within the last second or new connections succeed.")
               .Add({})),
      handedOn_(&counter(registry_, "fernmoor_handed_on_requests_total",
                         "Requests handed to another node, as this one reaches no engine.")
                     .Add({})),
      fromPeers_(&counter(registry_, "fernmoor_requests_from_nodes_total",
                          "Requests handed to this node by one that reaches no engine.")
                      .Add({})),
      takenUp_(&counter(registry_, "fernmoor_streams_taken_up_total",
                        "Streams that callers took up, of a software version known here.")
                    .Add({})),
      takeUpsRefused_(&counter(registry_, "fernmoor_streams_not_taken_up_total",
                               "Streams refused, as the version that began them is unknown.")
                           .Add({})),
      renewed_(&counter(registry_, "fernmoor_renewed_requests_total",
                        "Open requests that were reported to new owners of their engines.")
                    .Add({})),
      refusedForPlaces_(&roomRefusals(registry_).Add({{"reason", "places"}})),
      refusedForMemory_(&roomRefusals(registry_).Add({{"reason", "memory"}})),
      refusedForReading_(&roomRefusals(registry_).Add({{"reason", "reading"}})),
      refusedForShare_(&roomRefusals(registry_).Add({{"reason", "share"}})),
      refusedForUrgency_(&roomRefusals(registry_).Add({{"reason", "urgency"}})),
      returnsServed_(&returns(registry_).Add({{"result", "served"}})),
      returnsRefused_(&returns(registry_).Add({{"result", "refused"}})),
      returnsExpired_(&returns(registry_).Add({{"result", "expired"}})),
      permitted_(&counter(registry_, "fernmoor_permitted_sends_total",
                          "Requests sent to engines that state a limit, within it.")
                      .Add({})),
      unpermitted_(&counter(registry_, "fernmoor_unpermitted_requests_total",
                            "Requests refused as all engines were at the limits that they state, "
                            "or rested.")
                        .Add({})),
      quarantined_(&gauge(registry_, "fernmoor_quarantined_requests",
                          "Requests that are not sent on, as they crashed several engines.")
                        .Add({})),
      enginesBehind_(&gauge(registry_, "fernmoor_engines_behind",
                            "Engines that hold older weights than are wanted.")
                          .Add({})),
      oldWeights_(&counter(registry_, "fernmoor_old_weights_total",
                           "Requests that began on weights whose bound had passed.")
                       .Add({})),
      takenBack_(&counter(registry_, "fernmoor_taken_back_total",
                          "Requests that waited at an engine and were taken back near the end of "
                          "a bound of new weights.")
                      .Add({})),
      slowCallers_(&counter(registry_, "fernmoor_slow_callers_total",
                            "Requests that were cancelled because their callers did not read the "
                            "answers.")
                        .Add({})),
      closedUnread_(&counter(registry_, "fernmoor_closed_unread_total",
                             "Caller connections closed with their request unread, as the node "
                             "was overloaded.")
                         .Add({})),
      slowCallerBytes_(&gauge(registry_, "fernmoor_slow_caller_bytes",
                              "Bytes of answers that are kept because their callers have not taken "
                              "them yet.")
                            .Add({})),
      platformAvailable_(&gauge(registry_, "fernmoor_platform_available",
                                "1 if the last call to the platform succeeded, else 0.")
                              .Add({})),
      peerQueue_(&gauge(registry_, "fernmoor_peer_queue_bytes",
                        "Messages that wait to be sent to other nodes.")
                      .Add({})),
      tableText_(
          &gauge(registry_, "fernmoor_table_text_bytes", "The table in force as nodes pass it on.")
               .Add({})),
      resident_(&gauge(registry_, "fernmoor_resident_memory_bytes",
                       "The process in memory; its machine kills it over the machine's limit.")
                     .Add({})),
      shedding_(&gauge(registry_, "fernmoor_shedding_for_memory",
                       "1 while new requests are refused for want of memory.")
                     .Add({})),
      retryBudgetLeft_(&gauge(registry_, "fernmoor_retry_budget_left",
                              "Retries that the budget of the service allows this node now.")),
      retryBudget_(&counter(registry_, "fernmoor_retry_budget_total",
                            "Retries that the budget of the service granted or refused.")) {
  auto& control = counter(registry_, "fernmoor_control_bytes_total",
                          "Bytes between nodes and of engines' events and load reports.");
  controlSent_ = &control.Add({{"direction", "sent"}});
  controlReceived_ = &control.Add({{"direction", "received"}});
}

void Metrics::setMembers(const MemberCounts& counts) {
  auto& members = gauge(registry_, "fernmoor_members", "Nodes by state, as this node sees them.");
  members.Add({{"state", "alive"}}).Set(static_cast<double>(counts.alive));
  members.Add({{"state", "suspect"}}).Set(static_cast<double>(counts.suspect));
  members.Add({{"state", "draining"}}).Set(static_cast<double>(counts.draining));
  members.Add({{"state", "dead"}}).Set(static_cast<double>(counts.dead));
}

void Metrics::setControlBytes(uint64_t sent, uint64_t received) {
  setCounter(*controlSent_, sent);
  setCounter(*controlReceived_, received);
}

void Metrics::setUnreadableEntries(uint64_t count) {
  setCounter(*unreadableEntries_, count);
}

void Metrics::setRenewedRequests(uint64_t count) {
  setCounter(*renewed_, count);
}

void Metrics::setRoomRefusals(uint64_t places, uint64_t memory, uint64_t reading) {
  setCounter(*refusedForPlaces_, places);
  setCounter(*refusedForMemory_, memory);
  setCounter(*refusedForReading_, reading);
}

void Metrics::setOrderRefusals(uint64_t share, uint64_t urgency) {
  setCounter(*refusedForShare_, share);
  setCounter(*refusedForUrgency_, urgency);
}

void Metrics::setReturns(uint64_t served, uint64_t refused, uint64_t expired) {
  setCounter(*returnsServed_, served);
  setCounter(*returnsRefused_, refused);
  setCounter(*returnsExpired_, expired);
}

void Metrics::setRetryBudget(const ServiceId& service, double left, uint64_t granted,
                             uint64_t refused) {
  const std::string& name = service.value();
  retryBudgetLeft_->Add({{"service", name}}).Set(left);
  setCounter(retryBudget_->Add({{"service", name}, {"result", "granted"}}), granted);
  setCounter(retryBudget_->Add({{"service", name}, {"result", "refused"}}), refused);
}

ClassMetrics& Metrics::of(const ServiceId& service, const TenantId& tenant) {
  const std::lock_guard<RankedMutex> lock(mutex_);
  MetricClass requestClass{service, tenant};
  const bool known = classes_.count(requestClass) > 0;
  if (!known && classes_.size() >= kMaximumClasses) {
    requestClass = MetricClass{ServiceId(kOther), TenantId(kOther)};
  }
  std::unique_ptr<ClassMetrics>& entry = classes_[requestClass];
  if (entry == nullptr) {
    entry = makeClass(requestClass);
  }
  return *entry;
}

std::unique_ptr<ClassMetrics> Metrics::makeClass(const MetricClass& requestClass) {
  const prometheus::Labels labels = {{"service", requestClass.service.value()},
                                     {"tenant", requestClass.tenant.value()}};
  auto made = std::make_unique<ClassMetrics>();
  made->class_ = requestClass;
  made->requests_ =
      &counter(registry_, "fernmoor_requests_total", "Requests that arrived.").Add(labels);
  made->retries_ =
      &counter(registry_, "fernmoor_retries_total", "Attempts after the first.").Add(labels);
  made->blocksHit_ = &counter(registry_, "fernmoor_prefix_blocks_hit_total",
                              "Prompt blocks that the engine had cached.")
                          .Add(labels);
  made->blocksAsked_ =
      &counter(registry_, "fernmoor_prefix_blocks_asked_total", "Prompt blocks placed.")
           .Add(labels);
  made->recomputedTokens_ = &counter(registry_, "fernmoor_recomputed_tokens_total",
                                     "Tokens computed although an engine held them.")
                                 .Add(labels);
  made->firstToken_ = &histogram(registry_, "fernmoor_time_to_first_token_seconds",
                                 "From arrival to the first byte passed on.")
                           .Add(labels, kFirstTokenBuckets);
  made->tokenInterval_ = &histogram(registry_, "fernmoor_time_between_tokens_seconds",
                                    "Between tokens passed on in one stream.")
                              .Add(labels, kTokenIntervalBuckets);
  made->queueTime_ = &histogram(registry_, "fernmoor_queue_seconds", "From arrival to placement.")
                          .Add(labels, kQueueBuckets);
  auto& refusals = counter(registry_, "fernmoor_refusals_total", "Refused or failed requests.");
  for (size_t kind = 0; kind < ClassMetrics::kErrorKinds; ++kind) {
    prometheus::Labels withKind = labels;
    withKind["kind"] = toString(static_cast<ErrorKind>(kind));
    made->refusals_[kind] = &refusals.Add(withKind);
  }
  auto& late = counter(registry_, "fernmoor_late_answers_total",
                       "Delivered answers that missed the target or the maximum gap of their row.");
  for (size_t cause = 0; cause < ClassMetrics::kLateCauses; ++cause) {
    prometheus::Labels withCause = labels;
    withCause["cause"] = toString(static_cast<LateCause>(cause));
    made->late_[cause] = &late.Add(withCause);
  }
  return made;
}

std::vector<ClassTotals> Metrics::classTotals() const {
  const std::lock_guard<RankedMutex> lock(mutex_);
  std::vector<ClassTotals> all;
  for (const auto& [requestClass, metrics] : classes_) {
    all.push_back(metrics->totals());
  }
  return all;
}

std::string Metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace fernmoor
