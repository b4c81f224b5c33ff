/// @file
/// What a request costs at the node that counts for its engine, and at the node that sends it:
/// counting, order and shares, the messages between both, the choice of the side of its pool, and
/// the delivery of its events.
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <limits>
#include <memory>
#include <string>

#include "bench/owner_load.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "common/rendezvous.h"
#include "gateway/caller_buffer.h"
#include "gateway/kind_sides.h"
#include "peers/load_demand_codec.h"
#include "peers/load_directory.h"

namespace fernmoor::bench {

namespace {

constexpr size_t kTenantCounts[] = {16, 64, 256};
constexpr size_t kPartCounts[] = {0, 2, 4, 8};
constexpr size_t kEngineCounts[] = {60, 600, 2400, 9675};
constexpr uint64_t kNodeCounts[] = {100, 380, 985, 1970};
constexpr size_t kEventBytes[] = {64, 128, 256, 1024};
/// Calls in each trial of a state that ends after some ten thousand.
constexpr int64_t kCallsOfState = 3000;
constexpr double kMicroseconds = 1e6;
constexpr uint32_t kSlots = 32;
constexpr int kSmallBuffer = 16384;

double secondsAtOwner(const OwnerLoadSizes& sizes, bool isRefused) {
  return secondsPerCall(
      [&] {
        auto load = std::make_shared<OwnerLoad>(sizes);
        return [load, isRefused] { isRefused ? load->askForMore() : load->serve(); };
      },
      kCallsOfState);
}

std::vector<Slope> measureOwner() {
  const char* const mechanism =
      "PendingWork (src/gateway/pending_work.cpp), 64 requests present, "
      "512 known parts, 64 reservations";
  Slope quiet{"owner-request-time",
              "processor time of reserve, promptRead and release",
              "tenants",
              "us",
              mechanism,
              {},
              target::kTenantsOfEngine};
  Slope waiting = quiet;
  waiting.name = "owner-request-time-waiting";
  waiting.what += " while all tenants have refused requests";
  Slope refusal = quiet;
  refusal.name = "owner-refusal-time";
  refusal.what = "processor time of a reserve that is refused for the tenant's share";
  for (const size_t count : kTenantCounts) {
    const auto size = static_cast<double>(count);
    OwnerLoadSizes sizes;
    sizes.tenants = count;
    quiet.points.push_back(Point{size, secondsAtOwner(sizes, false) * kMicroseconds});
    sizes.areTenantsWaiting = true;
    waiting.points.push_back(Point{size, secondsAtOwner(sizes, false) * kMicroseconds});
    refusal.points.push_back(Point{size, secondsAtOwner(sizes, true) * kMicroseconds});
  }
  return {quiet, waiting, refusal};
}

gateway::EngineDemand makeDemand(size_t parts) {
  gateway::EngineDemand demand;
  demand.promptTokens = 9190;
  demand.memoryTokens = 9244;
  demand.urgency = 2;
  demand.tenant = 0x9e3779b97f4a7c15U;
  demand.requestKey = 0xbf58476d1ce4e5b9U;
  demand.longestPause = std::chrono::milliseconds(600);
  for (size_t part = 0; part < parts; ++part) {
    demand.sharedParts.push_back(gateway::SharedPart{demand.tenant * (part + 1), 3150});
  }
  return demand;
}

/// Two nodes in one process: one sends requests, the other one owns all engines but those of the
/// first.
class AskingNode : public MessageSender {
 public:
  explicit AskingNode(uint64_t nodes)
      : asker_(kAsker, clock_, *this), owner_(kOwner, clock_, *this) {
    auto members = std::make_shared<MembershipSnapshot>();
    for (uint64_t id = 1; id <= nodes; ++id) {
      Member member;
      member.life = NodeLife{NodeId(id), Incarnation(1)};
      members->members.push_back(member);
    }
    asker_.setMembers(members);
    owner_.setMembers(members);
  }

  /// Counts a request, reports that its prompt was read, and that it ended.
  bool sendRequest() {
    const uint64_t engine = stableHash("engine-" + std::to_string(++calls_ % kEnginesAsked));
    const auto answer = asker_.reserve(engine, demand_, gateway::EngineRoom{kSlots, 95466},
                                       std::numeric_limits<uint32_t>::max());
    if (!answer || !answer->isGranted) {
      return false;
    }
    asker_.promptRead(answer->ticket);
    asker_.release(answer->ticket);
    return true;
  }
  void send(NodeId to, const proto::Envelope& envelope) override {
    peers::LoadDirectory& receiver = to == kAsker ? asker_ : owner_;
    const NodeId from = to == kAsker ? kOwner : kAsker;
    receiver.onMessage(NodeLife{from, Incarnation(1)}, envelope, clock_.now(), *this);
  }

 private:
  static constexpr NodeId kAsker{1};
  static constexpr NodeId kOwner{2};
  static constexpr uint64_t kEnginesAsked = 600;

  SystemClock clock_;
  gateway::EngineDemand demand_ = makeDemand(2);
  peers::LoadDirectory asker_;
  peers::LoadDirectory owner_;
  uint64_t calls_ = 0;
};

Slope measureAsking() {
  Slope slope{"asking-time",
              "processor time of one question, its answer and two releases, at both nodes, without "
              "encoding",
              "nodes",
              "us",
              "LoadDirectory (src/peers/load_directory.cpp)",
              {},
              target::kNodes};
  for (const uint64_t nodes : kNodeCounts) {
    AskingNode node(nodes);
    if (node.sendRequest()) {
      slope.points.push_back(Point{static_cast<double>(nodes),
                                   secondsPerCall([&] { node.sendRequest(); }) * kMicroseconds});
    }
  }
  return slope;
}

proto::LoadMessage makeQuestion(const gateway::EngineDemand& demand) {
  proto::LoadMessage message;
  proto::LoadQuestion& question = *message.mutable_question();
  peers::encodeDemand(4711, demand.requestKey, demand, gateway::EngineRoom{kSlots, 95466},
                      question);
  question.set_bound(9190);
  return message;
}

/// Sets the fields that LoadDirectory sets for a granted request at an engine without statements.
proto::LoadMessage makeAnswer() {
  proto::LoadMessage message;
  proto::LoadAnswer& answer = *message.mutable_answer();
  answer.set_question_id(4711);
  answer.set_engine(0xbf58476d1ce4e5b9U);
  answer.set_granted(true);
  answer.set_pending_tokens(2890);
  answer.set_tokens_per_second(40800);
  answer.set_first_event_base_milliseconds(20);
  answer.set_reading_tokens(2890);
  answer.set_present_requests(21);
  return message;
}

std::vector<Slope> measureCodec() {
  Slope time{"load-codec-time",
             "processor time of encoding and decoding one question to an owner and its answer",
             "shared parts named",
             "us",
             "LoadQuestion, LoadAnswer (src/peers/load_demand_codec.cpp)",
             {},
             2};
  Slope bytes = time;
  bytes.name = "load-question-bytes";
  bytes.what = "encoded bytes of one question, not sealed";
  bytes.costUnit = "bytes";
  for (const size_t parts : kPartCounts) {
    const gateway::EngineDemand demand = makeDemand(parts);
    const auto size = static_cast<double>(parts);
    bytes.points.push_back(Point{size, static_cast<double>(makeQuestion(demand).ByteSizeLong())});
    size_t decodedParts = 0;
    const double seconds = secondsPerCall([&] {
      proto::LoadMessage received;
      received.ParseFromString(makeQuestion(demand).SerializeAsString());
      decodedParts += peers::decodeDemand(received.question()).sharedParts.size();
      proto::LoadMessage answer;
      answer.ParseFromString(makeAnswer().SerializeAsString());
      decodedParts += answer.answer().granted() ? 1 : 0;
    });
    time.points.push_back(Point{size, seconds * kMicroseconds});
  }
  return {time, bytes};
}

/// Requests of one node to one pool, three of four with short prompts.
class SideChoices {
 public:
  explicit SideChoices(size_t engines)
      : nodes_(
            static_cast<size_t>(static_cast<double>(engines) * target::kNodes / target::kEngines)) {
    for (size_t index = 0; index < engines; ++index) {
      BackendView view;
      view.incarnation = stableHash("engine-" + std::to_string(index));
      members_.push_back(view);
    }
    short_.name = "short";
    short_.longestPause = std::chrono::milliseconds(600);
    long_.name = "long";
    long_.longestPause = short_.longestPause;
    request_.pool = "model-engines";
  }

  /// @return the engines that the next request may use; all if the rows are not separated.
  size_t choose() {
    now_ += fromSeconds(1 / target::kRequestsPerNode);
    const bool isLong = ++calls_ % 4 == 0;
    request_.row = isLong ? &long_ : &short_;
    const auto side = sides_.sideOf(request_, members_, kSlots, nodes_, now_);
    size_t usable = 0;
    for (const BackendView& each : members_) {
      usable += !side || side->contains(each.incarnation) ? 1 : 0;
    }
    const uint64_t tokens = isLong ? 2890 : 628;
    sides_.noteSent(request_, gateway::SentPrompt{tokens, isLong ? 9190U : 826U, 40800}, now_);
    sides_.noteFirstEvent(request_, tokens, std::chrono::milliseconds(100), now_);
    sides_.noteEnded(request_, now_);
    return usable;
  }
  /// Sends requests until the rows are separated. @return whether they are.
  bool separate() {
    for (int call = 0; call < kCallsOfState; ++call) {
      if (choose() < members_.size()) {
        return true;
      }
    }
    return false;
  }

 private:
  size_t nodes_;
  std::vector<BackendView> members_;
  gateway::Row short_;
  gateway::Row long_;
  gateway::IncomingRequest request_;
  gateway::KindSides sides_;
  size_t calls_ = 0;
  Time now_{std::chrono::hours(1000)};
};

Slope measureSides() {
  Slope slope{"side-choice-time",
              "processor time of finding a request's side of its pool and the engines there, and "
              "of its three notes",
              "engines of the pool",
              "us",
              "KindSides, EngineSide::contains (src/gateway/kind_sides.cpp)",
              {},
              target::kEngines};
  for (const size_t engines : kEngineCounts) {
    SideChoices choices(engines);
    if (choices.separate()) {
      slope.points.push_back(Point{static_cast<double>(engines),
                                   secondsPerCall([&] { choices.choose(); }) * kMicroseconds});
    }
  }
  return slope;
}

/// An answer on its way to a caller on loopback.
class EventDelivery {
 public:
  explicit EventDelivery(size_t bytes)
      : listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        caller_(listener_.address()),
        connection_(listener_.acceptConnection()),
        buffer_(connection_, budget_, metrics_, clock_),
        event_(bytes, 'e'),
        received_(bytes, ' ') {
    connection_.socket().setSendBufferSize(kSmallBuffer);
    caller_.setReceiveBufferSize(kSmallBuffer);
    buffer_.setDeadline(clock_.now() + std::chrono::hours(1));
  }

  void sendDirectly() {
    connection_.socket().sendBytes(event_.data(), static_cast<int>(event_.size()));
    receive();
  }
  void sendThroughBuffer() {
    buffer_.write(event_);
    buffer_.mayGoOn();
    receive();
  }
  /// The caller reads nothing.
  void keep() {
    if (buffer_.size() + event_.size() > gateway::CallerBuffer::kMaxBytes) {
      buffer_.clear();
    }
    buffer_.write(event_);
    buffer_.mayGoOn();
  }

 private:
  void receive() {
    caller_.receiveBytes(received_.data(), static_cast<int>(received_.size()), MSG_WAITALL);
  }

  Poco::Net::ServerSocket listener_;
  Poco::Net::StreamSocket caller_;
  ByteConnection connection_;
  gateway::ByteBudget budget_{0};
  Metrics metrics_;
  SystemClock clock_;
  gateway::CallerBuffer buffer_;
  std::string event_;
  std::string received_;
};

std::vector<Slope> measureEvents() {
  Slope direct{"event-send-time",
               "processor time of sending one event on loopback and receiving it, without a buffer",
               "bytes of the event",
               "us",
               "Poco::Net::StreamSocket",
               {},
               256};
  Slope buffered = direct;
  buffered.name = "event-buffer-time";
  buffered.what = "processor time of the same through the buffer of a caller that reads";
  buffered.mechanism = "CallerBuffer (src/gateway/caller_buffer.cpp)";
  Slope kept = buffered;
  kept.name = "event-keep-time";
  kept.what = "processor time of one event that is kept as its caller reads nothing";
  for (const size_t bytes : kEventBytes) {
    const auto size = static_cast<double>(bytes);
    EventDelivery plain(bytes);
    direct.points.push_back(
        Point{size, secondsPerCall([&] { plain.sendDirectly(); }) * kMicroseconds});
    EventDelivery read(bytes);
    buffered.points.push_back(
        Point{size, secondsPerCall([&] { read.sendThroughBuffer(); }) * kMicroseconds});
    EventDelivery unread(bytes);
    kept.points.push_back(Point{size, secondsPerCall([&] { unread.keep(); }) * kMicroseconds});
  }
  return {direct, buffered, kept};
}

}  // namespace

std::vector<Slope> measureRequestPath() {
  std::vector<Slope> slopes = measureOwner();
  for (Slope& slope : measureCodec()) {
    slopes.push_back(std::move(slope));
  }
  slopes.push_back(measureAsking());
  slopes.push_back(measureSides());
  for (Slope& slope : measureEvents()) {
    slopes.push_back(std::move(slope));
  }
  return slopes;
}

}  // namespace fernmoor::bench
