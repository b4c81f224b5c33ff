/// @file
/// Load over HTTP against running processes: streams kept open through a node, and beside them the
/// time to first token through the node and directly at the same engine, in turn.
#pragma once

#include <string>
#include <vector>

#include "bench/statistics.h"
#include "common/error.h"
#include "common/ids.h"
#include "common/time.h"
#include "membership/member.h"

namespace fernmoor::bench {

struct HttpLoadOptions {
  SocketAddress node;
  std::string key;          ///< Bearer key of the tenant on the node.
  ServiceId streamService;  ///< Service of the streams kept open.
  ServiceId probeService;   ///< Service of the measured requests, served by one idle engine.
  SocketAddress probeEngine;
  ModelId probeModel;
  int64_t openStreams = 150;   ///< At most 300.
  int64_t streamTokens = 200;  ///< Length of each answer of the streams.
  int64_t promptTokens = 64;   ///< Of the measured requests; each prompt is new.
  Duration length{20000000};   ///< At most 120 s.
  int64_t nodeProcess = 0;     ///< Process id of the node, for its processor time; 0: not read.
};

struct HttpLoadReport {
  Samples throughNodeMilliseconds;
  Samples directMilliseconds;
  int64_t relayedFrames = 0;  ///< Of the streams kept open, during the measurement.
  int64_t streamFailures = 0;
  int64_t probeFailures = 0;
  double seconds = 0;
  double nodeCpuSeconds = 0;
  int64_t nodeBytesIdle = 0;  ///< Resident memory before the streams were opened.
  int64_t nodeBytesOpen = 0;  ///< Resident memory at the end.
};

/// Runs the load; blocks for its length and a little more.
/// @return kInvalidRequest for addresses outside 127.0.0.0/8 or sizes beyond the bounds.
Result<HttpLoadReport> runHttpLoad(const HttpLoadOptions& options);

/// @return the report as text.
std::string toText(const HttpLoadOptions& options, const HttpLoadReport& report);

}  // namespace fernmoor::bench
