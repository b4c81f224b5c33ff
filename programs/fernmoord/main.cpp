/// @file
/// The router's daemon: reads its settings, serves until SIGTERM or SIGINT, then drains.
#include <gflags/gflags.h>
#include <pthread.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <thread>

#include "common/log.h"
#include "node/node.h"
#include "settings/settings.h"

DEFINE_string(settings, "", "TOML file with this node's settings");
DEFINE_string(check_settings, "", "check this TOML file, print every problem, and exit");
DEFINE_string(platform_url, "", "overrides platform_url of the settings file");
DEFINE_string(http_address, "", "overrides http_address of the settings file, e.g. 127.0.0.1:8080");
DEFINE_string(peer_address, "", "overrides peer_address of the settings file");
DEFINE_string(zone, "", "overrides zone of the settings file");
DEFINE_string(region, "", "overrides region of the settings file");
DEFINE_string(log_level, "",
              "overrides log_level of the settings file: debug, info, warning, error");
DEFINE_string(log_format, "", "overrides log_format of the settings file: text or json");
DEFINE_int64(node_id, 0, "overrides node_id of the settings file");

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;
constexpr fernmoor::Duration kDrainPatience{120000000};

template <class Target>
void overrideText(const std::string& flag, Target& target) {
  if (!flag.empty()) {
    target = flag;
  }
}

fernmoor::SettingsOverrides overridesFromFlags() {
  fernmoor::SettingsOverrides overrides;
  overrideText(FLAGS_platform_url, overrides.platformUrl);
  overrideText(FLAGS_http_address, overrides.httpAddress);
  overrideText(FLAGS_peer_address, overrides.peerAddress);
  overrideText(FLAGS_zone, overrides.zone);
  overrideText(FLAGS_region, overrides.region);
  overrideText(FLAGS_log_level, overrides.logLevel);
  overrideText(FLAGS_log_format, overrides.logFormat);
  if (FLAGS_node_id != 0) {
    overrides.nodeId = FLAGS_node_id;
  }
  return overrides;
}

int checkSettingsFile() {
  const auto check = fernmoor::checkSettings(FLAGS_check_settings, overridesFromFlags());
  for (const auto& problem : check.problems) {
    std::cerr << fernmoor::toString(problem) << "\n";
  }
  if (!check.problems.empty()) {
    return kExitSettings;
  }
  std::cout << FLAGS_check_settings << ": no problems\n";
  return 0;
}

/// Blocks the stop signals in all threads; the main thread waits for them.
sigset_t blockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int serve(fernmoor::Settings settings) {
  const sigset_t signals = blockStopSignals();
  fernmoor::startLog(settings.log, settings.nodeId);
  fernmoor::Node node(std::move(settings));
  node.start();
  std::thread signalWaiter([&] {
    int received = 0;
    sigwait(&signals, &received);
    node.stopWaiting();
  });
  node.waitForDrainOrder();
  // Where an operator gave the order, the waiter still waits for its signal.
  kill(getpid(), SIGTERM);
  signalWaiter.join();
  fernmoor::logInfo("draining");
  node.drainAndStop(kDrainPatience);
  fernmoor::logInfo("stopped");
  fernmoor::stopLog();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "routes language-model requests.\n  fernmoord --settings node.toml\n"
      "  fernmoord --check_settings node.toml");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (!FLAGS_check_settings.empty()) {
    return checkSettingsFile();
  }
  auto settings = fernmoor::loadSettings(FLAGS_settings, overridesFromFlags());
  if (!fernmoor::isOk(settings)) {
    std::cerr << fernmoor::errorOf(settings).message << "\n";
    return kExitSettings;
  }
  try {
    return serve(std::move(fernmoor::valueOf(settings)));
  } catch (const std::exception& exception) {
    std::cerr << "cannot start: " << exception.what()
              << "; check that the addresses are free and belong to this machine.\n";
    return kExitStart;
  }
}
