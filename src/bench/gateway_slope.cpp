/// @file
/// Costs of a gateway that grow with the back ends listed in the operators' store, or with the
/// gateways: choosing a back end, upkeep of the list, answering questions about the list, planning
/// moves to new weights, and the duties that follow from the members.
#include <memory>
#include <string>

#include "backends/backend_set.h"
#include "backends/revision_times.h"
#include "backends/wanted_weights.h"
#include "bench/resource_usage.h"
#include "bench/slopes.h"
#include "bench/target_sizes.h"
#include "gateway/backend_choice.h"
#include "membership/membership_snapshot.h"
#include "peers/mirror_content.h"
#include "peers/mirror_role.h"
#include "peers/state_mirror.h"
#include "weights/weight_plan.h"

namespace fernmoor::bench {

namespace {

using peers::MirrorDelta;
using peers::MirrorEntry;
using peers::MirrorKind;

constexpr size_t kBackendCounts[] = {600, 2400, 9675, 19350};
constexpr uint64_t kNodeCounts[] = {100, 300, 985, 1970};
constexpr size_t kZones = 5;
constexpr const char* kModelPool = "model-engines";
constexpr const char* kModel = "m0";
/// One back end in this many belongs to another pool.
constexpr size_t kOtherPoolInterval = 30;
/// JSON text of an entry in the store's list.
constexpr size_t kEntryTextBytes = 200;
constexpr double kMicroseconds = 1e6;
const Time kNow{std::chrono::hours(1000)};

BackendListing makeListing(size_t index) {
  BackendListing listing;
  listing.id = "back-end-" + std::to_string(index);
  listing.startedAt = static_cast<int64_t>(index) + 1;
  listing.pool = index % kOtherPoolInterval == 0 ? "applications" : kModelPool;
  listing.address = SocketAddress{"10.0." + std::to_string(index / 250) + ".1", 8000};
  listing.zone = "zone-" + std::to_string(index % kZones);
  listing.slots = 16;
  listing.weights = {HeldWeights{kModel, 1}};
  return listing;
}

std::vector<BackendListing> makeListings(size_t count) {
  std::vector<BackendListing> listings;
  listings.reserve(count);
  for (size_t index = 0; index < count; ++index) {
    listings.push_back(makeListing(index));
  }
  return listings;
}

/// Knows no load of any engine, so a choice queries no other node.
class UnknownLoads : public gateway::EngineLoads {
 public:
  std::optional<gateway::LoadAnswer> reserve(uint64_t, const gateway::EngineDemand&,
                                             const gateway::EngineRoom&, uint64_t) override {
    return std::nullopt;
  }
  void promptRead(const gateway::LoadTicket&) override {}
  void release(const gateway::LoadTicket&) override {}
};

double secondsPerBackendChoice(const BackendSet& backends) {
  gateway::Row row;
  row.usesPrefixes = true;
  gateway::IncomingRequest request;
  request.row = &row;
  request.pool = kModelPool;
  request.model = kModel;
  const std::set<std::string> tried;
  UnknownLoads loads;
  size_t call = 0;
  return secondsPerCall([&] {
    request.parts = {gateway::PromptPart{std::to_string(++call), 3000},
                     gateway::PromptPart{"own", 500}};
    const auto members = backends.membersOf(request.pool, request.model, kNow);
    const gateway::ChoiceContext context{"zone-1", tried, {}, kNow};
    chooseHome(request, members, context, loads);
  });
}

MirrorDelta listDelta(size_t count) {
  MirrorDelta delta;
  delta.toRevision = count + 1;
  for (size_t index = 0; index < count; ++index) {
    delta.entries.push_back(MirrorEntry{"back-end-" + std::to_string(index), index + 1, false,
                                        std::string(kEntryTextBytes, 'x')});
  }
  return delta;
}

std::unique_ptr<peers::StateMirror> makeMirror(size_t count) {
  auto mirror = std::make_unique<peers::StateMirror>(
      [](MirrorKind, const std::vector<MirrorEntry>&, bool) {}, [](MirrorKind, uint64_t, Time) {});
  mirror->apply(MirrorKind::kBackends, listDelta(count));
  return mirror;
}

Slope makeSlope(const std::string& name, const std::string& what, const std::string& costUnit,
                const std::string& mechanism) {
  Slope slope;
  slope.name = name;
  slope.what = what;
  slope.sizeUnit = "back ends";
  slope.costUnit = costUnit;
  slope.mechanism = mechanism;
  slope.targetSize = target::kListedBackends;
  return slope;
}

std::vector<Slope> measureBackendSet() {
  Slope memory = makeSlope("backends-memory", "heap of the set of back ends", "bytes",
                           "BackendSet (src/backends/backend_set.cpp)");
  Slope choice = makeSlope("backend-choice-time", "processor time of choosing one back end", "us",
                           "BackendSet::membersOf, chooseHome (src/gateway/home_choice.cpp)");
  Slope upkeep = makeSlope("backends-upkeep-time",
                           "processor time of one periodic upkeep in which nothing is due", "us",
                           "BackendSet::forgetOld, ten times a second");
  Slope plan = makeSlope("weight-plan-time",
                         "processor time of one plan of moves in which nothing is to be moved",
                         "us", "WeightMover::step, planMoves (src/weights/weight_plan.cpp)");
  for (const size_t count : kBackendCounts) {
    const auto size = static_cast<double>(count);
    const std::vector<BackendListing> listings = makeListings(count);
    const int64_t before = heapBytes();
    BackendSet backends;
    backends.replaceAll(listings, kNow);
    memory.points.push_back(Point{size, static_cast<double>(heapBytes() - before)});
    choice.points.push_back(Point{size, secondsPerBackendChoice(backends) * kMicroseconds});
    upkeep.points.push_back(
        Point{size, secondsPerCall([&] { backends.forgetOld(kNow); }) * kMicroseconds});
    const DesiredWeights wanted(WeightBounds{});
    plan.points.push_back(Point{size, secondsPerCall([&] {
                                        weights::planMoves(backends.all(), wanted, {});
                                      }) * kMicroseconds});
  }
  return {memory, choice, upkeep, plan};
}

std::vector<Slope> measureMirror() {
  Slope memory = makeSlope("mirror-memory", "heap of the copy of the store's list", "bytes",
                           "StateMirror (src/peers/state_mirror.cpp)");
  Slope question = makeSlope("mirror-question-time",
                             "processor time of finding the one change that an asker lacks", "us",
                             "MirrorContent::fitsInDatagram, since (src/peers/mirror_content.cpp)");
  Slope whole = makeSlope("mirror-list-bytes", "packed bytes of the whole list", "bytes",
                          "packEntries (src/peers/packed_entries.cpp)");
  for (const size_t count : kBackendCounts) {
    const auto size = static_cast<double>(count);
    const int64_t before = heapBytes();
    const std::unique_ptr<peers::StateMirror> mirror = makeMirror(count);
    memory.points.push_back(Point{size, static_cast<double>(heapBytes() - before)});
    peers::MirrorContent content(*mirror);
    MirrorDelta change;
    change.fromRevision = count + 1;
    change.toRevision = count + 2;
    change.entries = {MirrorEntry{"back-end-1", count + 2, false, "changed"}};
    mirror->apply(MirrorKind::kBackends, change);
    question.points.push_back(Point{size, secondsPerCall([&] {
                                            content.fitsInDatagram(MirrorKind::kBackends,
                                                                   count + 1);
                                            content.since(MirrorKind::kBackends, count + 1);
                                          }) * kMicroseconds});
    whole.points.push_back(
        Point{size, static_cast<double>(content.since(MirrorKind::kBackends, 0)->bytes)});
  }
  return {memory, question, whole};
}

std::shared_ptr<MembershipSnapshot> makeMembers(uint64_t count) {
  auto members = std::make_shared<MembershipSnapshot>();
  for (uint64_t id = 1; id <= count; ++id) {
    Member member;
    member.life = NodeLife{NodeId(id), Incarnation(1)};
    member.zone = ZoneId("zone-" + std::to_string(id % kZones));
    member.linkMegabits = id % 20 == 0 ? 200 : 20;
    members->members.push_back(member);
  }
  return members;
}

Slope measureDuties() {
  Slope duties = makeSlope("duties-time", "processor time of taking in one membership snapshot",
                           "us", "MirrorRole::setMembers, relayTiers (src/peers/relay_tiers.cpp)");
  duties.sizeUnit = "nodes";
  duties.targetSize = target::kGateways;
  const std::unique_ptr<peers::StateMirror> mirror = makeMirror(1);
  DesiredWeights wanted(WeightBounds{});
  RevisionTimes revisionTimes;
  peers::MirrorRole role(NodeId(7), *mirror, wanted, revisionTimes, kNow);
  for (const uint64_t count : kNodeCounts) {
    const std::shared_ptr<const MembershipSnapshot> snapshots[] = {makeMembers(count),
                                                                   makeMembers(count)};
    size_t call = 0;
    duties.points.push_back(
        Point{static_cast<double>(count),
              secondsPerCall([&] { role.setMembers(snapshots[++call % 2]); }) * kMicroseconds});
  }
  return duties;
}

}  // namespace

std::vector<Slope> measureGateway() {
  std::vector<Slope> slopes = measureBackendSet();
  for (Slope& slope : measureMirror()) {
    slopes.push_back(std::move(slope));
  }
  slopes.push_back(measureDuties());
  return slopes;
}

}  // namespace fernmoor::bench
