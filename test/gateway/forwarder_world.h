/// @file
/// Scripted back ends over loopback and a caller that records what it gets, for tests of the
/// forwarder.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "admission/row_limiter.h"
#include "gateway/forwarder.h"
#include "gateway/pending_work.h"
#include "test/http/socket_pair.h"

namespace fernmoor::gateway::test {

/// What a script does with one request; returns whether the connection goes on.
using Script = std::function<bool(Poco::Net::StreamSocket&, const std::string& request)>;

/// A back end whose answers the test writes byte by byte.
class ScriptedBackend {
 public:
  explicit ScriptedBackend(Script script)
      : script_(std::move(script)),
        socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread_([this] { accept(); }) {}
  ~ScriptedBackend() {
    stopping_ = true;
    thread_.join();
    for (std::thread& connection : connections_) {
      connection.join();
    }
  }
  SocketAddress address() const { return SocketAddress{"127.0.0.1", socket_.address().port()}; }
  /// Closes the listening socket, as a crash does. Called by a script.
  void stopListening() {
    mustClose_ = true;
    while (!hasClosed_) {
      std::this_thread::yield();
    }
  }
  int requests() const { return requests_; }
  int connectionCount() const { return connectionCount_; }
  std::string lastRequest() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return lastRequest_;
  }

 private:
  void accept() {
    while (!stopping_) {
      if (mustClose_) {
        socket_.close();
        hasClosed_ = true;
        return;
      }
      if (socket_.poll(Poco::Timespan(20000), Poco::Net::Socket::SELECT_READ)) {
        Poco::Net::StreamSocket connection = socket_.acceptConnection();
        ++connectionCount_;
        connections_.emplace_back([this, connection]() mutable { serve(connection); });
      }
    }
  }
  void serve(Poco::Net::StreamSocket connection) {
    try {
      std::string waiting;
      while (!stopping_) {
        if (!connection.poll(Poco::Timespan(20000), Poco::Net::Socket::SELECT_READ)) {
          continue;
        }
        char buffer[8192];
        const int count = connection.receiveBytes(buffer, sizeof(buffer));
        if (count <= 0) {
          return;
        }
        waiting.append(buffer, static_cast<size_t>(count));
        if (!isWhole(waiting)) {
          continue;
        }
        ++requests_;
        const std::string request = std::move(waiting);
        waiting.clear();
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          lastRequest_ = request;
        }
        if (!script_(connection, request)) {
          return;
        }
      }
    } catch (const Poco::Exception&) {
      // The other side closed.
    }
  }
  static bool isWhole(const std::string& text) {
    const size_t end = text.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    const size_t length = text.find("Content-Length: ");
    return length == std::string::npos || length > end ||
           text.size() - end - 4 >= std::strtoull(text.c_str() + length + 16, nullptr, 10);
  }

  Script script_;
  Poco::Net::ServerSocket socket_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> mustClose_{false};
  std::atomic<bool> hasClosed_{false};
  std::atomic<int> requests_{0};
  std::atomic<int> connectionCount_{0};
  std::mutex mutex_;
  std::string lastRequest_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

/// Sends bytes as they are.
inline void say(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

/// A head and body with a length.
inline std::string answer(const std::string& status, const std::string& body,
                          const std::string& headers = "Id: r1\r\n") {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The head of an event stream in chunks.
inline std::string streamHead() {
  return "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}
inline std::string chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}
inline std::string event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece" + std::to_string(id) + "\n\n";
}

/// Answers each request with these bytes.
inline Script always(const std::string& bytes, bool keeps = true) {
  return [=](Poco::Net::StreamSocket& socket, const std::string&) {
    say(socket, bytes);
    return keeps;
  };
}

inline bool holdsText(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// A protocol with headers for tests only. "Id" echoes the request's id, "Not-Run" states that a
/// request did not run, "Limit" is the number of requests that the back end takes a second,
/// "Leaves" states that it leaves, and "Rest" is the number of ms for which it takes no requests.
class TestProtocol : public BackendProtocol {
 public:
  void addHeaders(const IncomingRequest& request, const SendPlan& plan, Duration timeLeft,
                  Poco::Net::HTTPRequest& head) const override {
    head.set("Expect-Life", plan.backend.id);
    head.set("Time-Left", std::to_string(timeLeft.count() / 1000));
    if (!plan.cacheScope.empty()) {
      head.set("Scope", plan.cacheScope);
    }
    if (plan.transfer.fetchFrom) {
      head.set("Fetch-From", formatSocketAddress(*plan.transfer.fetchFrom));
    }
    if (plan.transfer.saveTo) {
      head.set("Save-To", formatSocketAddress(*plan.transfer.saveTo));
    }
    if (!plan.resumeAfter.empty()) {
      head.set("Resume-After", plan.resumeAfter);
    }
  }
  AnswerFacts readAnswer(const IncomingRequest& request,
                         const Poco::Net::HTTPResponse& answer) const override {
    AnswerFacts facts;
    facts.isOurs = answer.get("Id", "") == request.id;
    facts.didNotRun = facts.isOurs && answer.has("Not-Run");
    facts.limitMention = answer.has("Limit") ? LimitMention::kStated : LimitMention::kNone;
    facts.limit = std::strtod(answer.get("Limit", "0").c_str(), nullptr);
    facts.leaves = answer.has("Leaves");
    facts.rest = std::chrono::milliseconds(std::atoi(answer.get("Rest", "0").c_str()));
    return facts;
  }
};

/// Part hints of a single node, kept in process.
class TestHints : public PartHints {
 public:
  std::vector<PartHint> find(const std::vector<PartKey>& parts) override {
    ++questions;
    std::vector<PartHint> hints;
    for (const PartKey part : parts) {
      hints.push_back(memory.find(part));
    }
    return hints;
  }
  void note(const std::vector<PartKey>& parts, uint64_t engine, bool isStored) override {
    for (const PartKey part : parts) {
      memory.note(part, engine, isStored, clock.now());
    }
  }

  SystemClock clock;
  PartMemory memory{100};
  std::atomic<int> questions{0};
};

/// Records the answers sent to a caller.
class RecordingCaller : public CallerChannel {
 public:
  bool sendHead(const AnswerHead& head) override {
    heads.push_back(head);
    return true;
  }
  bool sendBody(std::string_view bytes) override {
    body.append(bytes);
    if (onBody) {
      onBody();
    }
    return true;
  }
  bool finish() override {
    finished = true;
    return true;
  }
  void breakOff() override { broken = true; }
  void refuse(const Error& error) override { refusals.push_back(error); }
  ByteConnection& connection() override { return socket.near; }

  fernmoor::test::SocketPair socket;
  std::vector<AnswerHead> heads;
  std::string body;
  bool finished = false;
  bool broken = false;
  std::vector<Error> refusals;
  std::function<void()> onBody;
};

/// Checks for an error answer of the gateway that states that the request has not run, with a
/// retry time.
inline bool promisesNotRun(const RecordingCaller& caller) {
  return caller.refusals.size() == 1 && caller.refusals[0].runState == RunState::kNotRun &&
         caller.refusals[0].retryAfter.has_value();
}

/// Counts the load of engines in this process, as one node alone would. Where the test sets a wait,
/// all engines state a limit, and each request gets its permit after that wait.
class LocalLoads : public EngineLoads {
 public:
  std::optional<LoadAnswer> reserve(uint64_t engine, const EngineDemand& demand,
                                    const EngineRoom& room, uint64_t bound) override {
    if (isSilent) {
      return std::nullopt;
    }
    if (!permitWait) {
      return work.reserve(engine, PendingRequest{1, ++last, demand}, room, bound, clock.now());
    }
    LoadAnswer answer;
    answer.tokensPerSecond = 1;
    answer.permitWait = *permitWait;
    answer.lacksPermit = *permitWait > demand.longestPermitWait;
    answer.isGranted = !answer.lacksPermit;
    answer.ticket = LoadTicket{engine, ++last, false, answer.isGranted};
    permits += answer.isGranted ? 1 : 0;
    return answer;
  }
  void giveBack(const LoadTicket& ticket) override {
    permits -= ticket.hasPermit ? 1 : 0;
    release(ticket);
  }
  void noteStatement(const EngineStatement& statement) override { told.push_back(statement); }
  std::optional<Duration> permitDue(uint64_t) const override { return permitWait; }
  void promptRead(const LoadTicket& ticket) override {
    work.promptRead(ticket.engine, 1, ticket.id, clock.now());
  }
  void release(const LoadTicket& ticket) override {
    work.release(ticket.engine, 1, ticket.id, clock.now());
  }

  SystemClock clock;
  PendingWork work;
  std::atomic<uint32_t> last{0};
  bool isSilent = false;
  std::optional<Duration> permitWait;
  std::atomic<int> permits{0};  ///< Taken and not returned.
  std::vector<EngineStatement> told;
};

/// Admits every request unless `isOver` is set, and sums the costs.
class TestLimits : public TenantLimits {
 public:
  Result<Done> acquire(const Tenant& tenant, double cost) override {
    if (isOver) {
      return rateLimitError(tenant.limits, std::chrono::milliseconds(700));
    }
    counted += cost;
    return Done{};
  }
  void giveBack(const Tenant&, double cost) override { counted -= cost; }

  bool isOver = false;
  double counted = 0;
};

/// The machine's clock, which the test can set forward, as after a suspension.
class LeapingClock : public SystemClock {
 public:
  Time now() const override { return SystemClock::now() + leap.load(); }

  std::atomic<Duration> leap{Duration(0)};
};

/// Records reports; the test sets which requests are quarantined.
class TestQuarantine : public RequestQuarantine {
 public:
  void awaitDecision(const Suspects&) override { ++waits; }
  std::optional<Duration> timeLeft(const Suspects&) override { return left; }
  void noteCrash(const Suspects& suspects, const quarantine::CrashedRun& run) override {
    crashes.push_back(suspects.request);
    blamedParts = suspects.parts;
    lastRun = run;
    left = leftAfterCrash;
  }
  void noteServed(const Suspects& suspects) override {
    served.push_back(suspects.request);
    servedParts.insert(servedParts.end(), suspects.parts.begin(), suspects.parts.end());
  }

  std::optional<Duration> left;
  std::optional<Duration> leftAfterCrash;
  std::vector<uint64_t> crashes;
  quarantine::CrashedRun lastRun;
  std::vector<uint64_t> served;
  std::vector<uint64_t> blamedParts;  ///< Of the latest crash.
  std::vector<uint64_t> servedParts;
  int waits = 0;
};

/// Records of streams in this process.
class TestBindings : public StreamBindings {
 public:
  std::optional<StreamBinding> find(const std::string& stream) override {
    asked.push_back(stream);
    const auto found = records.find(stream);
    return found == records.end() ? std::nullopt : std::optional(found->second);
  }
  void note(const std::string& stream, const StreamBinding& binding, Duration) override {
    records[stream] = binding;
  }

  std::map<std::string, StreamBinding> records;
  std::vector<std::string> asked;
};

/// The other nodes that the test lists.
class TestNodes : public PeerNodes {
 public:
  std::vector<PeerNode> others() const override { return listed; }

  std::vector<PeerNode> listed;
};

/// A protocol between nodes for tests only: "Handed-On" is the number of earlier runs, "Software"
/// the version that a stream is bound to, and an answer with "Not-Run" is a rejection of the other
/// node.
class TestPeerProtocol : public TestProtocol {
 public:
  void addHeaders(const IncomingRequest& request, const SendPlan& plan, Duration timeLeft,
                  Poco::Net::HTTPRequest& head) const override {
    head.set("Handed-On", std::to_string(plan.earlierRuns));
    head.set("Time-Left", std::to_string(timeLeft.count() / 1000));
    head.set("Key", request.key);
    if (!plan.resumeAfter.empty()) {
      head.set("Resume-After", plan.resumeAfter);
    }
    if (plan.boundSoftware) {
      head.set("Software", *plan.boundSoftware);
    }
  }
  AnswerFacts readAnswer(const IncomingRequest& request,
                         const Poco::Net::HTTPResponse& answer) const override {
    AnswerFacts facts = TestProtocol::readAnswer(request, answer);
    if (answer.has("Software")) {
      facts.software = answer.get("Software");
    }
    return facts;
  }
};

/// Room for the answers of some requests at once.
constexpr size_t kHeldBytes = 1 << 20;

/// Silence after which a request that may run again is sent elsewhere. On a machine with all cores
/// busy, a scripted back end took more than 100 ms to begin its answer.
constexpr Duration kSilence{400000};

/// A forwarder with scripted back ends in one pool.
class ForwarderWorld {
 public:
  /// @param retriesPerRequest what each request adds to the retry budget, roughly.
  explicit ForwarderWorld(double retriesPerRequest = 20)
      : wanted(WeightBounds{}),
        connections(ConnectOptions{}),
        budget(RetryBounds{retriesPerRequest, std::chrono::seconds(10), 10 * retriesPerRequest},
               [] { return KnownNodes{}; }),
        reach(
            clock, backends,
            [this](const BackendListing& engine) {
              return connections.stillAnswers(incarnationHash(engine), engine.address, clock.now());
            },
            [](bool) {}, 1),
        cutOffRuns(
            clock, backends, [](const std::string&) { return std::nullopt; }, reach, quarantine),
        peers(nodes, peerProtocol, ConnectOptions{}, "zone", 1),
        forwarder(ForwarderServices{clock, table, backends, connections, budget, protocol, wanted,
                                    hints, loads, limits, quarantine, streams,
                                    [this](const std::string&) { return reportedStart; },
                                    cutOffRuns, reach, peers, metrics, heldBytes},
                  ForwarderOptions{"zone", std::chrono::seconds(5), 1, kSilence}) {
    row.name = "row";
    row.maxAttempts = 2;
    row.repetition = Repetition::kOnce;
    auto first = std::make_shared<TrafficTable>();
    first->version = 1;
    first->addTenant(Tenant{"sese", false, 0}, {"key"});
    table.take(first, clock.now());
  }

  ScriptedBackend& add(const std::string& id, Script script) {
    scripted.push_back(std::make_unique<ScriptedBackend>(std::move(script)));
    BackendListing listing;
    listing.id = id;
    listing.pool = "pool";
    listing.address = scripted.back()->address();
    backends.update(listing, clock.now());
    return *scripted.back();
  }
  IncomingRequest request() {
    IncomingRequest made;
    made.id = "r1";
    made.method = "POST";
    made.target = "/a/b?c=d";
    made.body = "the body";
    made.table = table.view().table;
    made.row = &row;
    made.pool = "pool";
    made.arrivedAt = clock.now();
    made.deadline = made.arrivedAt + std::chrono::seconds(20);
    return made;
  }
  void serve() { forwarder.serve(request(), caller); }

  LeapingClock clock;
  TableInForce table;
  BackendSet backends;
  DesiredWeights wanted;
  ConnectionPool connections;
  RetryBudgets budget;
  TestProtocol protocol;
  TestHints hints;
  LocalLoads loads;
  TestLimits limits;
  TestQuarantine quarantine;
  TestBindings streams;
  std::optional<int64_t> reportedStart;  ///< What each back end says of its start, in Unix ms.
  EngineReach reach;
  CutOffRuns cutOffRuns;
  TestNodes nodes;
  TestPeerProtocol peerProtocol;
  PeerPath peers;
  Metrics metrics;
  ByteBudget heldBytes{kHeldBytes};
  Forwarder forwarder;
  Row row;
  RecordingCaller caller;
  std::vector<std::unique_ptr<ScriptedBackend>> scripted;
  std::unique_ptr<ScriptedBackend> witness;  ///< A back end of another pool, if a test adds one.
};

}  // namespace fernmoor::gateway::test
