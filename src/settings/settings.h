/// @file
/// What a node is told when it starts: one TOML file, with command-line flags on top. Every key of
/// the file is also the name of its flag.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/ids.h"
#include "common/knobs.h"
#include "common/log_options.h"
#include "common/socket_address.h"

namespace fernmoor {

/// A bearer key of callers and the tenant that it stands for.
struct TenantKey {
  std::string key;
  TenantId tenant;
};

/// Another node that may be asked for the members.
struct SeedAddress {
  NodeId node;
  SocketAddress peerAddress;
};

/// The checked settings of one node.
struct Settings {
  NodeId nodeId;                          ///< node_id; unique in the deployment.
  ZoneId zone;                            ///< zone
  RegionId region;                        ///< region
  SocketAddress peerAddress;              ///< peer_address; UDP and TCP port for other nodes.
  SocketAddress httpAddress;              ///< http_address; callers' and operators' port.
  std::string clusterKey;                 ///< cluster_key; raw bytes, shared by all nodes.
  std::vector<SeedAddress> seeds;         ///< seeds; some other nodes, each NODE_ID@ADDRESS.
  std::string platformUrl;                ///< platform_url; empty: run without the platform.
  std::vector<std::string> operatorKeys;  ///< operator_keys
  std::vector<TenantKey> tenantKeys;      ///< tenant_keys
  LogOptions log;                         ///< log_format and log_level
  int64_t workerThreads = 0;              ///< worker_threads
  Knobs knobs;                            ///< [knobs]
};

/// A knob given on the command line.
struct KnobOverride {
  std::string name;
  double value = 0;
};

/// Flags that were given; they win over the file. Keys are left out, as any user of the machine
/// can read a command line.
struct SettingsOverrides {
  std::optional<int64_t> nodeId;
  std::optional<std::string> zone;
  std::optional<std::string> region;
  std::optional<std::string> peerAddress;
  std::optional<std::string> httpAddress;
  std::optional<std::vector<std::string>> seeds;
  std::optional<std::string> platformUrl;
  std::optional<std::string> logFormat;
  std::optional<std::string> logLevel;
  std::optional<int64_t> workerThreads;
  std::vector<KnobOverride> knobs;
};

/// One thing wrong with the settings. Values of keys are never shown.
struct SettingsProblem {
  std::string place;   ///< "FILE:LINE", "FILE" or "flag --NAME".
  std::string key;     ///< E.g. "tenant_keys[2].tenant".
  std::string found;   ///< E.g. "found \"localhost:80\"" or "is missing".
  std::string remedy;  ///< What to write instead.
};

/// @return the problem in one line: place, key, what was found, remedy.
std::string toString(const SettingsProblem& problem);

/// Outcome of reading the settings; `settings` is fit for use only without problems.
struct SettingsCheck {
  Settings settings;
  std::vector<SettingsProblem> problems;
};

/// @return the top-level keys of a settings file, for documentation.
const std::vector<std::string>& settingsKeys();

/// Reads and checks everything, and reports all problems, not just the first.
/// @param path the TOML file.
SettingsCheck checkSettings(const std::string& path, const SettingsOverrides& overrides);

/// Like checkSettings(), for a program's start.
/// @return the settings, or an error of kind kInvalidRequest with one line for each problem.
Result<Settings> loadSettings(const std::string& path, const SettingsOverrides& overrides);

}  // namespace fernmoor
