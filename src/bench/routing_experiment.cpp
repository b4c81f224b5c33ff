#include "bench/routing_experiment.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "bench/application_fleet.h"
#include "bench/experiment_admission.h"
#include "bench/experiment_flight.h"
#include "bench/experiment_metrics.h"
#include "bench/hollow_router.h"
#include "bench/workload.h"
#include "sim/virtual_clock.h"

namespace fernmoor::bench {

namespace {

/// Attempts of one request at most.
constexpr int64_t kMaxAttempts = 3;
/// After the last arrival, work may still finish for this long.
constexpr Duration kDrainTime{60000000};
constexpr uint64_t kCrashSeed = 0x637261;

class RoutingExperiment {
 public:
  RoutingExperiment(const WorkloadSpec& spec, const ExperimentOptions& options)
      : spec_(spec),
        options_(options),
        queue_(clock_),
        random_(options.seed ^ kCrashSeed),
        engines_(spec.fleet, options.staleness, options.seed, queue_,
                 [this](size_t engine, const standin::EngineFrame& frame) { onFrame(frame); }),
        applications_(spec.fleet, queue_),
        writer_(spec),
        metrics_(spec),
        recomputedByEngine_(engines_.size(), 0),
        admission_(routers_, PoolId(spec.fleet.model.value()), queue_, handlers()) {}

  Result<Done> prepare() {
    const int64_t routers = spec_.fleet.zones * spec_.fleet.routersPerZone;
    for (int64_t index = 0; index < routers; ++index) {
      Result<std::unique_ptr<RoutingPolicy>> policy =
          makeRoutingPolicy(options_.policy, options_.knobs);
      if (!isOk(policy)) {
        return errorOf(policy);
      }
      HollowRouterOptions router;
      router.zone = index % spec_.fleet.zones;
      router.routers = routers;
      router.seed = options_.seed * 100 + static_cast<uint64_t>(index);
      router.knobs = options_.knobs;
      routers_.push_back(
          std::make_unique<HollowRouter>(std::move(valueOf(policy)), engines_, router));
    }
    return Done{};
  }

  ExperimentReport run() {
    requests_ = generateWorkload(
        spec_, WorkloadOptions{options_.seed, options_.length, options_.loadFactor});
    flights_.resize(requests_.size());
    start_ = queue_.now();
    scheduleArrival(0);
    scheduleCrash();
    if (options_.admission) {
      admission_.begin();
    }
    queue_.runUntil(start_ + options_.length + kDrainTime);
    return report();
  }

 private:
  AdmissionHandlers handlers() {
    return AdmissionHandlers{
        [this](size_t number) { start(number); },
        [this](size_t number, const Error& error) { refuse(number, error.kind); },
        [this](size_t number, Duration time) { waited(number, time); }};
  }

  void scheduleArrival(size_t number) {
    if (number >= requests_.size()) {
      return;
    }
    queue_.schedule(start_ + requests_[number].arrival, [this, number] {
      scheduleArrival(number + 1);
      arrive(number);
    });
  }

  void scheduleCrash() {
    if (options_.crashEvery <= Duration(0)) {
      return;
    }
    const Duration delay = fromSeconds(random_.exponential(toSeconds(options_.crashEvery)));
    queue_.scheduleAfter(delay, [this] {
      crash(random_.below(engines_.size()));
      scheduleCrash();
    });
  }

  void waited(size_t number, Duration time) {
    const double milliseconds = toMilliseconds(time);
    count(number, [&](GroupMetrics& metrics) { metrics.queueMilliseconds.add(milliseconds); });
  }

  void admit(size_t number) {
    if (!options_.admission) {
      start(number);
      return;
    }
    const Flight& flight = flights_[number];
    AdmissionRequest request = admissionRequestOf(flight.row, queue_.now());
    request.deadline = start_ + requests_[number].deadline;
    admission_.admit(number, flight.router, request);
  }

  void start(size_t number) {
    if (flights_[number].row.backEnd == BackEndKind::kApplication) {
      runApplication(number);
    } else {
      place(number);
    }
  }

  bool isCounted(size_t number) const { return requests_[number].arrival >= options_.warmUp; }

  template <class Change>
  void count(size_t number, Change change) {
    if (isCounted(number)) {
      metrics_.update(requests_[number], change);
    }
  }

  void arrive(size_t number) {
    const WorkloadRequest& request = requests_[number];
    Flight& flight = flights_[number];
    flight.arrivedAt = queue_.now();
    flight.row = workloadRow(spec_, request.classIndex, request.tenantIndex, request.service);
    const auto local = static_cast<int64_t>(number) % spec_.fleet.routersPerZone;
    flight.router = static_cast<size_t>(request.zone + local * spec_.fleet.zones);
    count(number, [](GroupMetrics& metrics) { ++metrics.offered; });
    queue_.schedule(start_ + request.deadline, [this, number] { expire(number); });
    if (flight.row.backEnd == BackEndKind::kModel) {
      flight.prompt = writer_.write(request);
      const ChainSeed seed{flight.row.key.tenant, flight.row.model, flight.row.adapter,
                           WeightsVersion(1)};
      flight.chain = hashPrompt(seed, flight.prompt);
    }
    queue_.scheduleAfter(spec_.fleet.clientLatency, [this, number] { admit(number); });
  }

  Duration latencyTo(const Flight& flight, int64_t zone) const {
    return routers_[flight.router]->zone() == zone ? spec_.fleet.sameZoneLatency
                                                   : spec_.fleet.crossZoneLatency;
  }

  void runApplication(size_t number) {
    Flight& flight = flights_[number];
    const size_t engine = applications_.leastBusy();
    // A claim of a not-repeatable request waits for a majority of replicas in other zones.
    const Duration claim = flight.row.repeatable ? Duration(0) : 2 * spec_.fleet.crossZoneLatency;
    const Duration latency = latencyTo(flight, static_cast<int64_t>(engine) % spec_.fleet.zones);
    queue_.scheduleAfter(claim + latency, [this, number, engine, latency] {
      applications_.submit(engine, [this, number, latency] {
        queue_.scheduleAfter(latency + spec_.fleet.clientLatency, [this, number] {
          if (!flights_[number].finished) {
            countFirstToken(number, queue_.now());
            complete(number);
          }
        });
      });
    });
  }

  /// Chooses an engine; the question to the owners takes one round trip between zones.
  void place(size_t number) {
    Flight& flight = flights_[number];
    if (flight.finished) {
      return;
    }
    RoutingRequest request;
    request.row = flight.row.key;
    request.priority = flight.row.priority;
    request.deadlineClass = flight.row.deadlineClass;
    request.recomputationWeight = flight.row.recomputationWeight;
    request.chain = &flight.chain;
    request.expectedOutputTokens = requests_[number].outputTokens;
    const RouterPlacement placed = routers_[flight.router]->place(request, queue_.now());
    flight.engine = placed.engine;
    flight.placement = placed.placement;
    ++flight.attempt;
    const Duration latency = latencyTo(flight, engines_.zoneOf(flight.engine));
    queue_.scheduleAfter(2 * spec_.fleet.crossZoneLatency + latency,
                         [this, number, attempt = flight.attempt] { submit(number, attempt); });
  }

  static AttemptId attemptId(size_t number, int64_t attempt) {
    return AttemptId(std::to_string(number) + "." + std::to_string(attempt));
  }

  void submit(size_t number, int64_t attempt) {
    Flight& flight = flights_[number];
    if (flight.finished || attempt != flight.attempt) {
      return;
    }
    standin::EngineRequest request;
    request.attempt = attemptId(number, attempt);
    request.request = RequestId(std::to_string(number));
    request.tenant = flight.row.key.tenant;
    request.model = flight.row.model;
    request.placedIncarnation = flight.placement.incarnation;
    request.placedWeights = flight.placement.weightsVersion;
    request.priority = flight.row.priority;
    request.prompt = flight.prompt;
    request.firstPosition = flight.delivered;
    request.maxTokens = requests_[number].outputTokens;
    flight.oracleBlocks = engines_.mostCachedBlocks(flight.chain);
    flight.running = true;
    const Result<Done> taken = engines_.submit(flight.engine, request);
    if (!isOk(taken)) {
      flight.running = false;
      retry(number, errorOf(taken).kind);
    }
  }

  void retry(size_t number, ErrorKind kind) {
    Flight& flight = flights_[number];
    HollowRouter& router = *routers_[flight.router];
    router.reportEnded(flight.placement, queue_.now());
    if (flight.attempt >= kMaxAttempts || !router.admission().tryRetry(queue_.now())) {
      refuse(number, kind);
      return;
    }
    count(number, [](GroupMetrics& metrics) { ++metrics.retries; });
    queue_.scheduleAfter(spec_.fleet.crossZoneLatency, [this, number] { place(number); });
  }

  void crash(size_t engine) {
    engines_.crash(engine);
    for (size_t number = 0; number < flights_.size(); ++number) {
      Flight& flight = flights_[number];
      if (flight.running && !flight.finished && flight.engine == engine) {
        flight.running = false;
        retry(number, ErrorKind::kUnavailable);
      }
    }
  }

  void onFrame(const standin::EngineFrame& frame) {
    const size_t number = std::stoull(frame.attempt.value());
    Flight& flight = flights_[number];
    if (flight.finished || frame.attempt != attemptId(number, flight.attempt)) {
      return;
    }
    const Duration latency =
        latencyTo(flight, engines_.zoneOf(flight.engine)) + spec_.fleet.clientLatency;
    const Time receivedAt = queue_.now() + latency;
    if (frame.tokens > 0) {
      countTokens(number, frame, receivedAt);
    }
    if (frame.end) {
      complete(number);
    }
  }

  void countTokens(size_t number, const standin::EngineFrame& frame, Time receivedAt) {
    Flight& flight = flights_[number];
    if (!flight.lastFrameAt) {
      routers_[flight.router]->reportCacheHit(flight.placement, flight.chain,
                                              frame.cachedTokens / kTokensPerBlock);
      countFirstToken(number, receivedAt);
      countPrefix(number, frame);
    } else {
      const double gap = toMilliseconds(receivedAt - *flight.lastFrameAt);
      count(number, [&](GroupMetrics& metrics) {
        metrics.betweenTokensMilliseconds.add(gap / static_cast<double>(frame.tokens));
      });
    }
    flight.lastFrameAt = receivedAt;
    flight.delivered = frame.position + frame.tokens;
  }

  void countFirstToken(size_t number, Time receivedAt) {
    const double milliseconds = toMilliseconds(receivedAt - flights_[number].arrivedAt);
    count(number, [&](GroupMetrics& metrics) { metrics.firstTokenMilliseconds.add(milliseconds); });
  }

  void countPrefix(size_t number, const standin::EngineFrame& frame) {
    const Flight& flight = flights_[number];
    const int64_t held = flight.oracleBlocks * kTokensPerBlock;
    const int64_t missedHeld = std::max<int64_t>(0, held - frame.cachedTokens);
    if (isCounted(number)) {
      recomputedByEngine_[flight.engine] +=
          static_cast<double>(frame.promptTokens - frame.cachedTokens);
    }
    count(number, [&](GroupMetrics& metrics) {
      metrics.promptTokens += frame.promptTokens;
      metrics.cachedTokens += frame.cachedTokens;
      metrics.oracleTokens += std::max(held, frame.cachedTokens);
      metrics.recomputedHeldTokens += missedHeld;
      metrics.promptBlocks += static_cast<int64_t>(flight.chain.hashes.size());
      metrics.cachedBlocks += frame.cachedTokens / kTokensPerBlock;
    });
  }

  void complete(size_t number) {
    const bool inTime = queue_.now() <= start_ + requests_[number].deadline;
    count(number, [&](GroupMetrics& metrics) {
      ++metrics.completed;
      metrics.inTime += inTime ? 1 : 0;
    });
    finish(number);
  }

  void refuse(size_t number, ErrorKind kind) {
    count(number, [&](GroupMetrics& metrics) { metrics.countRefusal(kind); });
    finish(number);
  }

  /// The deadline passed: the caller is told, and the engine's work is cancelled.
  void expire(size_t number) {
    Flight& flight = flights_[number];
    if (flight.finished) {
      return;
    }
    const bool running = flight.running;
    const size_t engine = flight.engine;
    const AttemptId attempt = attemptId(number, flight.attempt);
    refuse(number, ErrorKind::kTimeout);
    if (running) {
      engines_.cancel(engine, attempt);
    }
  }

  void finish(size_t number) {
    Flight& flight = flights_[number];
    HollowRouter& router = *routers_[flight.router];
    if (flight.attempt > 0) {
      router.reportEnded(flight.placement, queue_.now());
    }
    admission_.end(number);
    flight.finished = true;
    flight.running = false;
    std::string().swap(flight.prompt);
    std::vector<BlockHash>().swap(flight.chain.hashes);
  }

  ExperimentReport report() const {
    ExperimentReport report;
    report.workload = spec_.name;
    report.policy = options_.policy;
    report.seed = options_.seed;
    report.loadFactor = options_.loadFactor;
    report.stalenessMilliseconds =
        options_.staleness.perfect ? 0 : toMilliseconds(options_.staleness.age);
    report.seconds = toSeconds(options_.length - options_.warmUp);
    double seconds = 0;
    int64_t choices = 0;
    for (const auto& router : routers_) {
      seconds += router->policySeconds();
      choices += router->choices();
    }
    report.decisionMicroseconds = choices > 0 ? 1e6 * seconds / static_cast<double>(choices) : 0;
    report.engineFairness = jainIndex(recomputedByEngine_);
    metrics_.fill(report);
    return report;
  }

  const WorkloadSpec& spec_;
  const ExperimentOptions& options_;
  sim::VirtualClock clock_;
  sim::EventQueue queue_;
  Random random_;
  EngineFleet engines_;
  ApplicationFleet applications_;
  PromptWriter writer_;
  MetricsBook metrics_;
  std::vector<double> recomputedByEngine_;
  std::vector<std::unique_ptr<HollowRouter>> routers_;
  ExperimentAdmission admission_;
  std::vector<WorkloadRequest> requests_;
  std::vector<Flight> flights_;
  Time start_;
};

}  // namespace

Result<ExperimentReport> runRoutingExperiment(const WorkloadSpec& spec,
                                              const ExperimentOptions& options) {
  RoutingExperiment experiment(spec, options);
  const Result<Done> prepared = experiment.prepare();
  if (!isOk(prepared)) {
    return errorOf(prepared);
  }
  return experiment.run();
}

}  // namespace fernmoor::bench
