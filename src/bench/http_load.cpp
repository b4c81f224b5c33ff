#include "bench/http_load.h"

#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>
#include <thread>

#include "http/http_client.h"
#include "prefix/block_chain.h"

namespace fernmoor::bench {

namespace {

constexpr int64_t kMostStreams = 300;
constexpr Duration kLongestRun{120000000};
/// Time for all streams to be open before anything is measured.
constexpr Duration kRampTime{3000000};
constexpr Duration kReadTimeout{5000000};
constexpr Duration kPauseAfterFailure{200000};
constexpr int64_t kProbeTokens = 2;
constexpr const char* kStreamEnd = "[DONE]";

using SteadyClock = std::chrono::steady_clock;

double millisecondsSince(SteadyClock::time_point start) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count();
}

/// A prompt that no cache has seen: its start is unique.
std::string freshPrompt(const std::string& label, int64_t number, int64_t tokens) {
  std::string prompt = label + " " + std::to_string(getpid()) + " " + std::to_string(number) + " ";
  prompt.resize(static_cast<size_t>(tokens * kBytesPerToken), 'x');
  return prompt;
}

HttpCall nodeCall(const HttpLoadOptions& options, const ServiceId& service,
                  const std::string& prompt, int64_t tokens) {
  HttpCall call;
  call.address = options.node;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = {{"Authorization", "Bearer " + options.key}};
  call.body = R"({"model":")" + service.value() + R"(","prompt":")" + prompt +
              R"(","max_tokens":)" + std::to_string(tokens) + R"(,"stream":true})";
  call.timeout = kReadTimeout;
  return call;
}

HttpCall engineCall(const HttpLoadOptions& options, const std::string& prompt, int64_t number) {
  const std::string name = std::to_string(getpid()) + "-" + std::to_string(number);
  HttpCall call;
  call.address = options.probeEngine;
  call.method = "POST";
  call.path = "/v1/generate";
  call.body = R"({"attempt":"bench-)" + name + R"(.1","request":"bench-)" + name +
              R"(","tenant":"bench","model":")" + options.probeModel.value() +
              R"(","adapter":"","incarnation":0,"weights_version":0,"priority":5,"prompt":")" +
              prompt + R"(","first_position":0,"max_tokens":)" + std::to_string(kProbeTokens) + "}";
  call.timeout = kReadTimeout;
  return call;
}

/// Reads a stream to its end.
/// @param onFrame called for each event but the last marker.
/// @return whether it ended by itself.
template <class FrameHandler>
bool readStream(EventStream& stream, FrameHandler onFrame) {
  while (true) {
    const StreamRead read = stream.next(kReadTimeout, nullptr);
    if (const auto* event = std::get_if<StreamEvent>(&read)) {
      if (event->data != kStreamEnd) {
        onFrame();
      }
      continue;
    }
    return std::holds_alternative<StreamClosed>(read);
  }
}

/// Keeps one stream open after the other until it is told to stop.
class StreamKeeper {
 public:
  StreamKeeper(const HttpLoadOptions& options, HttpClient& client)
      : options_(options), client_(client) {}

  void run(int64_t keeper) {
    for (int64_t round = 0; !stopping_; ++round) {
      const std::string prompt =
          freshPrompt("stream", keeper * 100000 + round, options_.promptTokens);
      StreamOutcome outcome =
          client_.open(nodeCall(options_, options_.streamService, prompt, options_.streamTokens));
      auto* stream = std::get_if<std::unique_ptr<EventStream>>(&outcome);
      if (stream == nullptr || !readStream(**stream, [this] { ++frames_; })) {
        ++failures_;
        std::this_thread::sleep_for(kPauseAfterFailure);
      }
    }
  }

  void stop() { stopping_ = true; }
  int64_t frames() const { return frames_; }
  int64_t failures() const { return failures_; }

 private:
  const HttpLoadOptions& options_;
  HttpClient& client_;
  std::atomic<bool> stopping_{false};
  std::atomic<int64_t> frames_{0};
  std::atomic<int64_t> failures_{0};
};

/// Measures the time to the first event of a call.
/// @return false where it failed.
bool measureFirstToken(HttpClient& client, const HttpCall& call, Samples& samples) {
  const auto start = SteadyClock::now();
  StreamOutcome outcome = client.open(call);
  auto* stream = std::get_if<std::unique_ptr<EventStream>>(&outcome);
  if (stream == nullptr) {
    return false;
  }
  double firstToken = -1;
  const bool ended = readStream(
      **stream, [&] { firstToken = firstToken < 0 ? millisecondsSince(start) : firstToken; });
  if (!ended || firstToken < 0) {
    return false;
  }
  samples.add(firstToken);
  return true;
}

/// @return processor time of a process in seconds (fields 14 and 15 of /proc/PID/stat).
double cpuSecondsOf(int64_t process) {
  std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
  std::string field;
  double ticks = 0;
  for (int number = 1; number <= 15 && stat >> field; ++number) {
    ticks += number >= 14 ? std::stod(field) : 0;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// @return resident memory of a process in bytes (field 2 of /proc/PID/statm, in pages).
int64_t residentBytesOf(int64_t process) {
  std::ifstream statm("/proc/" + std::to_string(process) + "/statm");
  int64_t size = 0;
  int64_t resident = 0;
  statm >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

bool isLoopback(const SocketAddress& address) {
  return address.host.rfind("127.", 0) == 0;
}

Result<Done> check(const HttpLoadOptions& options) {
  if (!isLoopback(options.node) || !isLoopback(options.probeEngine)) {
    return Error{ErrorKind::kInvalidRequest,
                 "The load goes to loopback addresses only; give addresses in 127.0.0.0/8.",
                 RunState::kNotRun, std::nullopt};
  }
  if (options.openStreams < 0 || options.openStreams > kMostStreams ||
      options.length > kLongestRun || options.length <= Duration(0)) {
    return Error{ErrorKind::kInvalidRequest,
                 "The load is bounded: at most 300 streams and more than 0, at most 120 seconds.",
                 RunState::kNotRun, std::nullopt};
  }
  return Done{};
}

void measureInTurn(const HttpLoadOptions& options, HttpClient& client, HttpLoadReport& report) {
  const auto start = SteadyClock::now();
  const double lengthMilliseconds = toMilliseconds(options.length);
  for (int64_t number = 0; millisecondsSince(start) < lengthMilliseconds; ++number) {
    const std::string prompt = freshPrompt("node", number, options.promptTokens);
    const HttpCall throughNode = nodeCall(options, options.probeService, prompt, kProbeTokens);
    if (!measureFirstToken(client, throughNode, report.throughNodeMilliseconds)) {
      ++report.probeFailures;
    }
    const std::string directPrompt = freshPrompt("direct", number, options.promptTokens);
    if (!measureFirstToken(client, engineCall(options, directPrompt, number),
                           report.directMilliseconds)) {
      ++report.probeFailures;
    }
  }
  report.seconds = millisecondsSince(start) / 1000;
}

}  // namespace

Result<HttpLoadReport> runHttpLoad(const HttpLoadOptions& options) {
  const Result<Done> checked = check(options);
  if (!isOk(checked)) {
    return errorOf(checked);
  }
  HttpLoadReport report;
  report.nodeBytesIdle = residentBytesOf(options.nodeProcess);
  HttpClient client;
  StreamKeeper keeper(options, client);
  // One thread for each stream: they sleep until a frame comes.
  std::vector<std::thread> threads;
  for (int64_t number = 0; number < options.openStreams; ++number) {
    threads.emplace_back([&keeper, number] { keeper.run(number); });
  }
  std::this_thread::sleep_for(kRampTime);
  const int64_t framesBefore = keeper.frames();
  const double cpuBefore = cpuSecondsOf(options.nodeProcess);
  measureInTurn(options, client, report);
  report.nodeCpuSeconds = cpuSecondsOf(options.nodeProcess) - cpuBefore;
  report.relayedFrames = keeper.frames() - framesBefore;
  report.nodeBytesOpen = residentBytesOf(options.nodeProcess);
  keeper.stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
  report.streamFailures = keeper.failures();
  return report;
}

std::string toText(const HttpLoadOptions& options, const HttpLoadReport& report) {
  const auto added = [&](double fraction) {
    return report.throughNodeMilliseconds.quantile(fraction) -
           report.directMilliseconds.quantile(fraction);
  };
  const double frames = static_cast<double>(report.relayedFrames);
  const double perFrame = frames > 0 ? 1e6 * report.nodeCpuSeconds / frames : 0;
  const double streams = static_cast<double>(options.openStreams);
  const double perStream =
      streams > 0 ? static_cast<double>(report.nodeBytesOpen - report.nodeBytesIdle) / streams : 0;
  char text[1024];
  std::snprintf(
      text, sizeof(text),
      "| %ld | %zu | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %.1f | %.0f | %ld |\n",
      static_cast<long>(options.openStreams), report.throughNodeMilliseconds.count(),
      report.directMilliseconds.quantile(0.5), report.throughNodeMilliseconds.quantile(0.5),
      added(0.5), report.directMilliseconds.quantile(0.95),
      report.throughNodeMilliseconds.quantile(0.95), added(0.95), frames / report.seconds, perFrame,
      perStream / 1024, static_cast<long>(report.streamFailures + report.probeFailures));
  return text;
}

}  // namespace fernmoor::bench
