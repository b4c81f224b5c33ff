/// @file
/// The stand-ins as processes: engine, kvstore, appengine and platform.
#include <gflags/gflags.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include "common/time.h"
#include "measure_engine_model.h"
#include "standin/application_server.h"
#include "standin/engine_server.h"
#include "standin/json_client.h"
#include "standin/kv_store_server.h"
#include "standin/machine_registration.h"
#include "standin/platform_server.h"

DEFINE_string(listen, "127.0.0.1:0", "address to listen on; port 0 takes a free one");
DEFINE_string(platform, "", "address of the platform, in whose machine list to register");
DEFINE_string(id, "",
              "name in the machine list; by default the kind with the port, or with the process id "
              "for port 0");
DEFINE_string(zone, "", "zone told to the platform");
DEFINE_string(region, "", "region told to the platform");
DEFINE_double(leave_seconds, 3,
              "longest lag of the machine list: after SIGTERM new work is taken "
              "for that long when registered at a platform");
DEFINE_double(drain_seconds, 60, "longest wait for running work after SIGTERM");

DEFINE_string(model, "m", "engine: model served at the start");
DEFINE_string(adapters, "", "engine: adapters loaded at the start, with commas between");
DEFINE_uint64(weights_version, 1, "engine: version of the weights served at the start");
DEFINE_uint64(incarnation, 0, "engine, appengine: incarnation; 0: from the wall clock");
DEFINE_string(role, "mixed", "engine: mixed, prefill or decode");
DEFINE_double(prefill_tokens_per_second, 20000, "engine: prefill rate");
DEFINE_double(token_interval_ms, 25, "engine: time between tokens of a stream");
DEFINE_int64(batch_slots, 32, "engine: streams served at once");
DEFINE_int64(cache_blocks, 8192, "engine, kvstore: blocks held at most");
DEFINE_int32(warm_threads, 64, "engine: connections that need not wait for a new thread");
DEFINE_double(event_delay_ms, 200, "engine: time between a cache change and its event");
DEFINE_double(load_lag_ms, 250, "engine: age of the reported load");
DEFINE_double(weights_load_ms, 500, "engine, platform: time of one load of weights");

DEFINE_double(work_ms, 20, "appengine: time of one operation");
DEFINE_int64(max_running, 64, "appengine: operations at once");

DEFINE_double(machine_lag_ms, 500, "platform: age of the machine list");
DEFINE_int64(parallel_loads, 2, "platform: loads of weights at full rate");
DEFINE_int64(maximum_loads, 16, "platform: loads of weights served at once");
DEFINE_int64(kept_changes, 10000, "platform: length of each collection's history");

namespace fernmoor::standin {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;

Duration fromMilliseconds(double milliseconds) {
  return fromSeconds(milliseconds / 1000);
}

/// What main() needs of a stand-in, whichever it is.
struct Service {
  std::string machineKind;  ///< Empty: not in the machine list.
  std::function<Result<Done>()> start;
  std::function<uint16_t()> port;
  std::function<bool()> busy;
  std::function<void()> stop;
};

template <class Server>
Service serviceOf(const std::shared_ptr<Server>& server, const std::string& machineKind) {
  Service service;
  service.machineKind = machineKind;
  service.start = [server] { return server->start(); };
  service.port = [server] { return server->port(); };
  service.busy = [] { return false; };
  service.stop = [server] { server->stop(); };
  return service;
}

/// A later process is a later incarnation, also on a machine that keeps nothing.
Incarnation startIncarnation() {
  const auto milliseconds = static_cast<uint64_t>(SystemClock().wallMicroseconds()) / 1000;
  return Incarnation(FLAGS_incarnation != 0 ? FLAGS_incarnation : milliseconds);
}

std::vector<AdapterId> parseAdapters() {
  std::vector<AdapterId> adapters;
  std::istringstream text(FLAGS_adapters);
  std::string name;
  while (std::getline(text, name, ',')) {
    adapters.emplace_back(name);
  }
  return adapters;
}

EngineOptions engineOptions() {
  EngineOptions options;
  options.id = EngineId(FLAGS_id);
  options.model = ModelId(FLAGS_model);
  options.adapters = parseAdapters();
  options.weightsVersion = WeightsVersion(FLAGS_weights_version);
  options.incarnation = startIncarnation();
  options.role = parseRole(FLAGS_role);
  options.prefillTokensPerSecond = FLAGS_prefill_tokens_per_second;
  options.tokenInterval = fromMilliseconds(FLAGS_token_interval_ms);
  options.batchSlots = FLAGS_batch_slots;
  options.cacheBlocks = FLAGS_cache_blocks;
  options.eventDelay = fromMilliseconds(FLAGS_event_delay_ms);
  options.loadLag = fromMilliseconds(FLAGS_load_lag_ms);
  options.weightsLoadTime = fromMilliseconds(FLAGS_weights_load_ms);
  return options;
}

Service makeEngine(const SocketAddress& listen, const std::optional<SocketAddress>& platform) {
  EngineServerOptions options;
  options.engine = engineOptions();
  options.listen = listen;
  options.platform = platform;
  options.warmThreads = FLAGS_warm_threads;
  const auto server = std::make_shared<EngineServer>(options);
  Service service = serviceOf(server, "engine");
  service.busy = [server] { return server->busy(); };
  return service;
}

Service makeApplicationEngine(const SocketAddress& listen) {
  ApplicationServerOptions options;
  options.id = EngineId(FLAGS_id);
  options.incarnation = startIncarnation();
  options.listen = listen;
  options.workTime = fromMilliseconds(FLAGS_work_ms);
  options.maxRunning = FLAGS_max_running;
  const auto server = std::make_shared<ApplicationServer>(options);
  Service service = serviceOf(server, "application");
  service.busy = [server] { return server->busy(); };
  return service;
}

Service makeKvStore(const SocketAddress& listen) {
  KvStoreServerOptions options;
  options.listen = listen;
  options.cacheBlocks = FLAGS_cache_blocks;
  return serviceOf(std::make_shared<KvStoreServer>(options), "kvstore");
}

Service makePlatform(const SocketAddress& listen) {
  PlatformServerOptions options;
  options.listen = listen;
  options.machineLag = fromMilliseconds(FLAGS_machine_lag_ms);
  options.weights.loadTime = fromMilliseconds(FLAGS_weights_load_ms);
  options.weights.parallelLoads = FLAGS_parallel_loads;
  options.weights.maximumLoads = FLAGS_maximum_loads;
  options.keptChanges = static_cast<size_t>(FLAGS_kept_changes);
  return serviceOf(std::make_shared<PlatformServer>(options), "");
}

std::optional<Service> makeService(const std::string& kind, const SocketAddress& listen,
                                   const std::optional<SocketAddress>& platform) {
  if (kind == "engine") {
    return makeEngine(listen, platform);
  }
  if (kind == "appengine") {
    return makeApplicationEngine(listen);
  }
  if (kind == "kvstore") {
    return makeKvStore(listen);
  }
  if (kind == "platform") {
    return makePlatform(listen);
  }
  return std::nullopt;
}

Machine describeMachine(const Service& service, const SocketAddress& listen) {
  Machine machine;
  machine.name = FLAGS_id;
  machine.kind = service.machineKind;
  machine.address = listen.host;
  machine.port = service.port();
  machine.zone = FLAGS_zone;
  machine.region = FLAGS_region;
  return machine;
}

/// The signals that end the program. Blocked before any thread starts, so that only
/// waitForSignal() takes them.
sigset_t endingSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// @return the signal, or 0 once the time is over.
int waitForSignal(Duration duration) {
  const sigset_t signals = endingSignals();
  timespec time{};
  time.tv_sec = duration.count() / 1000000;
  time.tv_nsec = duration.count() % 1000000 * 1000;
  const int signal = sigtimedwait(&signals, nullptr, &time);
  return signal < 0 ? 0 : signal;
}

/// After SIGTERM: takes new work until the machine list told everybody, and finishes what runs. A
/// second signal, or SIGINT, ends that.
void drain(const Service& service, bool registered) {
  const SystemClock clock;
  const Time begin = clock.now();
  const Time told = begin + (registered ? fromSeconds(FLAGS_leave_seconds) : Duration(0));
  const Time latest = told + fromSeconds(FLAGS_drain_seconds);
  constexpr Duration kCheck{50000};
  while (clock.now() < told || (service.busy() && clock.now() < latest)) {
    if (waitForSignal(kCheck) != 0) {
      return;
    }
  }
  waitForSignal(kCheck);  // For the last bytes of the answers to leave.
}

int fail(const std::string& message, int exitCode) {
  std::fprintf(stderr, "%s\n", message.c_str());
  return exitCode;
}

int serve(Service& service, const SocketAddress& listen,
          const std::optional<SocketAddress>& platform) {
  const auto started = service.start();
  if (!isOk(started)) {
    return fail(errorOf(started).message, kExitFailure);
  }
  std::printf("listening on %s:%u\n", listen.host.c_str(), service.port());
  std::fflush(stdout);
  std::unique_ptr<MachineRegistration> registration;
  if (platform && !service.machineKind.empty()) {
    registration =
        std::make_unique<MachineRegistration>(*platform, describeMachine(service, listen));
  }
  int signal = 0;
  const sigset_t signals = endingSignals();
  sigwait(&signals, &signal);
  if (registration) {
    registration->leave();
  }
  if (signal == SIGTERM) {
    drain(service, registration != nullptr);
  }
  registration.reset();
  service.stop();
  return 0;
}

int run(int argc, char** argv) {
  gflags::SetUsageMessage(
      "engine|kvstore|appengine|platform|measure [--listen=ADDRESS:PORT] [flags]\n"
      "Examples:\n"
      "  fernmoor-standin platform --listen=127.0.0.1:7000\n"
      "  fernmoor-standin engine --id=e1 --model=m --platform=127.0.0.1:7000 --zone=a");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string kind = argc == 2 ? argv[1] : "";
  if (kind == "measure") {
    return measureEngineModel();
  }
  const auto listen = parseAddress(FLAGS_listen);
  if (!isOk(listen)) {
    return fail(errorOf(listen).message, kExitUsage);
  }
  std::optional<SocketAddress> platform;
  if (!FLAGS_platform.empty()) {
    const auto address = parseAddress(FLAGS_platform);
    if (!isOk(address)) {
      return fail(errorOf(address).message, kExitUsage);
    }
    platform = valueOf(address);
  }
  if (FLAGS_id.empty()) {
    const int port = valueOf(listen).port;
    FLAGS_id = kind + "-" + std::to_string(port != 0 ? port : getpid());
  }
  auto service = makeService(kind, valueOf(listen), platform);
  if (!service) {
    return fail(
        "Name what to run: fernmoor-standin engine|kvstore|appengine|platform [flags]; "
        "see --help.",
        kExitUsage);
  }
  return serve(*service, valueOf(listen), platform);
}

}  // namespace
}  // namespace fernmoor::standin

int main(int argc, char** argv) {
  const sigset_t signals = fernmoor::standin::endingSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return fernmoor::standin::run(argc, argv);
}
