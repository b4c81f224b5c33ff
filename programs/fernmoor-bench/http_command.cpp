/// @file
/// `fernmoor-bench http`: load over HTTP against running processes.
#include <cstdio>

#include "bench/http_load.h"
#include "commands.h"
#include "common/socket_address.h"
#include "experiment_flags.h"
#include "flags.h"

DEFINE_string(node, "127.0.0.1:8080", "http: address of the node's callers' port.");
DEFINE_string(key, "", "http: bearer key of the tenant.");
DEFINE_string(stream_service, "", "http: service of the streams that are kept open.");
DEFINE_string(probe_service, "", "http: service of the measured requests.");
DEFINE_string(probe_engine, "", "http: address of the one engine that serves it.");
DEFINE_string(probe_model, "", "http: model of that engine.");
DEFINE_int64(streams, 150, "http: streams kept open through the node, at most 300.");
DEFINE_int64(node_pid, 0, "http: process id of the node, to read its processor time and memory.");
DEFINE_double(http_seconds, 20, "http: length of the measurement, at most 120.");

namespace fernmoor::bench {

int runHttpCommand(const Arguments& arguments) {
  const std::optional<SocketAddress> node = parseSocketAddress(FLAGS_node);
  const std::optional<SocketAddress> engine = parseSocketAddress(FLAGS_probe_engine);
  if (!arguments.empty() || !node || !engine) {
    std::fprintf(stderr,
                 "fernmoor-bench http needs --node and --probe_engine as IP:PORT, --key, "
                 "--stream_service, --probe_service and --probe_model.\n");
    return kExitUsage;
  }
  HttpLoadOptions options;
  options.node = *node;
  options.key = FLAGS_key;
  options.streamService = ServiceId(FLAGS_stream_service);
  options.probeService = ServiceId(FLAGS_probe_service);
  options.probeEngine = *engine;
  options.probeModel = ModelId(FLAGS_probe_model);
  options.openStreams = FLAGS_streams;
  options.nodeProcess = FLAGS_node_pid;
  options.length = fromSeconds(FLAGS_http_seconds);
  const Result<HttpLoadReport> report = runHttpLoad(options);
  if (!isOk(report)) {
    return printError(errorOf(report));
  }
  std::printf("%s", toText(options, valueOf(report)).c_str());
  return kExitDone;
}

}  // namespace fernmoor::bench
