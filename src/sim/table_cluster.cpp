#include "sim/table_cluster.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "table/platform_table.h"
#include "table/row_codec.h"

namespace fernmoor::sim {

namespace {

/// A change reaches a long poll's reader this much later.
constexpr Duration kWatchLatency = std::chrono::milliseconds(2);
constexpr Duration kVersionCheckInterval = std::chrono::milliseconds(10);
constexpr size_t kTenants = 8;

}  // namespace

/// The running nodes, as a membership without delay or error would show them.
class TableCluster::Members : public MembershipView {
 public:
  Members(TableCluster& owner, Placement placement)
      : owner_(owner), placement_(std::move(placement)) {}

  Member self() const override { return memberOf(owner_.cluster_.node(placement_.node)); }
  std::vector<Member> members() const override {
    std::vector<Member> members;
    for (const auto& node : owner_.cluster_.nodes()) {
      if (node->isRunning()) {
        members.push_back(memberOf(*node));
      }
    }
    return members;
  }

 private:
  static Member memberOf(const SimulatedNode& node) {
    Member member;
    member.life = node.life();
    member.zone = node.placement().zone;
    member.region = node.placement().region;
    return member;
  }

  TableCluster& owner_;
  Placement placement_;
};

/// The platform as one zone reaches it.
class TableCluster::ZonePlatform : public ObjectStoreClient {
 public:
  explicit ZonePlatform(FakePlatform& platform) : platform_(platform) {}
  bool cut = false;

  Result<PlatformObject> get(const CollectionName& collection, const ObjectName& name) override {
    return cut ? away() : platform_.get(collection, name);
  }
  Result<CollectionRevision> put(const CollectionName& collection, const ObjectChange& change,
                                 const ChangeId& changeId) override {
    return cut ? away() : platform_.put(collection, change, changeId);
  }
  Result<CollectionRevision> apply(const CollectionName& collection,
                                   const ChangeBatch& batch) override {
    return cut ? away() : platform_.apply(collection, batch);
  }
  Result<CollectionSnapshot> list(const CollectionName& collection) override {
    return cut ? away() : platform_.list(collection);
  }
  Result<WatchBatch> watch(const CollectionName& collection, CollectionRevision after,
                           Duration wait) override {
    return cut ? away() : platform_.watch(collection, after, wait);
  }
  Result<CollectionRevision> findChange(const CollectionName& collection,
                                        const ChangeId& changeId) override {
    return cut ? away() : platform_.findChange(collection, changeId);
  }
  Result<std::vector<Machine>> machines() override { return cut ? away() : platform_.machines(); }

 private:
  static Error away() {
    return Error{ErrorKind::kUnavailable, "the platform is cut off.", RunState::kNotRun,
                 std::nullopt};
  }
  FakePlatform& platform_;
};

/// What lasts over a node's lives.
struct TableCluster::Seat {
  Seat(TableCluster& owner, const Placement& place)
      : placement(place), members(owner, place), platform(owner.platform_) {}
  Placement placement;
  Members members;
  ZonePlatform platform;
  std::weak_ptr<NodeBundle> bundle;
  TableVersion lastSeen;
};

/// What one life holds.
struct TableCluster::NodeBundle {
  NodeBundle(TableCluster& owner, Seat& seat, uint64_t seed)
      : role(table, seat.members, owner.settings_.knobs, seed),
        watcher(seat.platform, role, table, owner.cluster_.clock(),
                owner.cluster_.network().senderOf(seat.placement.node), owner.settings_.knobs,
                seed) {}
  Table table;
  TableRole role;
  TableWatcher watcher;
};

TableCluster::TableCluster(const TableClusterSettings& settings)
    : settings_(settings), cluster_(settings.seed, settings.network), platform_(cluster_.clock()) {
  // The platform in memory answers a watch at once; the latency of a long poll is added here.
  settings_.knobs.platformWatchWait = Duration(0);
  const std::vector<Placement> places = spreadOverZones(settings.nodes, settings.zones, 1);
  for (size_t index = 0; index < places.size(); ++index) {
    seats_.push_back(std::make_unique<Seat>(*this, places[index]));
    cluster_.addNode(
        places[index],
        [this, index](NodeLife life, Time now) { return makeRoles(index, life, now); },
        settings_.tickInterval);
  }
  cluster_.startAll();
  checkVersions();
}

TableCluster::~TableCluster() = default;

std::vector<HostedRole> TableCluster::makeRoles(size_t index, NodeLife life, Time now) {
  Seat& seat = *seats_[index];
  const uint64_t seed =
      settings_.seed * 1000003 + uint64_t{life.node.value()} * 1009 + life.incarnation.value();
  auto bundle = std::make_shared<NodeBundle>(*this, seat, seed);
  seat.bundle = bundle;
  seat.lastSeen = TableVersion();
  const std::weak_ptr<NodeBundle> weak = bundle;
  cluster_.queue().scheduleAfter(kWatchLatency, [this, index, weak] { runWatcher(index, weak); });
  return {{proto::Envelope::kTable, std::shared_ptr<Role>(bundle, &bundle->role)}};
}

void TableCluster::runWatcher(size_t index, const std::weak_ptr<NodeBundle>& weak) {
  const auto bundle = weak.lock();
  if (bundle == nullptr) {
    return;
  }
  Duration pause = kWatchLatency;
  if (!cluster_.node(seats_[index]->placement.node).isFrozen()) {
    pause = std::max(pause, bundle->watcher.runOnce());
  }
  cluster_.queue().scheduleAfter(pause + platform_.answerDelay(),
                                 [this, index, weak] { runWatcher(index, weak); });
}

void TableCluster::checkVersions() {
  for (const auto& seat : seats_) {
    const auto bundle = seat->bundle.lock();
    if (bundle == nullptr) {
      continue;
    }
    const TableVersion version = bundle->table.version();
    reversals_ += version < seat->lastSeen ? 1 : 0;
    seat->lastSeen = version;
  }
  cluster_.queue().scheduleAfter(kVersionCheckInterval, [this] { checkVersions(); });
}

TableCluster::Seat& TableCluster::seatOf(NodeId node) {
  return **std::find_if(seats_.begin(), seats_.end(),
                        [&](const auto& seat) { return seat->placement.node == node; });
}

std::shared_ptr<const Table> TableCluster::table(NodeId node) {
  const auto bundle = seatOf(node).bundle.lock();
  return bundle == nullptr ? nullptr : std::shared_ptr<const Table>(bundle, &bundle->table);
}

std::shared_ptr<TableRole> TableCluster::role(NodeId node) {
  const auto bundle = seatOf(node).bundle.lock();
  return bundle == nullptr ? nullptr : std::shared_ptr<TableRole>(bundle, &bundle->role);
}

const MembershipView& TableCluster::membershipOf(NodeId node) {
  return seatOf(node).members;
}

TableVersion TableCluster::store(const std::vector<Row>& rows) {
  const auto present = platform_.list(tableCollection());
  ChangeBatch batch;
  batch.changeId = ChangeId("store-" + std::to_string(valueOf(present).revision.value()));
  for (const Row& row : rows) {
    ObjectChange change{ObjectName(rowObjectName(row.key)), {}, rowToJsonText(row)};
    for (const PlatformObject& object : valueOf(present).objects) {
      change.expectedVersion = object.name == change.name ? object.version : change.expectedVersion;
    }
    batch.changes.push_back(std::move(change));
  }
  return TableVersion(valueOf(platform_.apply(tableCollection(), batch)).value());
}

size_t TableCluster::nodesWith(TableVersion version) {
  return static_cast<size_t>(std::count_if(seats_.begin(), seats_.end(), [&](const auto& seat) {
    const auto bundle = seat->bundle.lock();
    return bundle != nullptr && bundle->table.version() >= version;
  }));
}

void TableCluster::setPlatformCut(const ZoneId& zone, bool cut) {
  for (const auto& seat : seats_) {
    if (seat->placement.zone == zone) {
      seat->platform.cut = cut;
    }
  }
}

std::optional<Duration> TableCluster::runUntilInForce(TableVersion version, double share,
                                                      Duration limit) {
  const auto running =
      static_cast<double>(std::count_if(cluster_.nodes().begin(), cluster_.nodes().end(),
                                        [](const auto& node) { return node->isRunning(); }));
  const auto wanted = static_cast<size_t>(std::ceil(running * share));
  const Time begin = cluster_.now();
  const bool reached =
      cluster_.queue().runUntil(begin + limit, [&] { return nodesWith(version) >= wanted; });
  return reached ? std::optional<Duration>(cluster_.now() - begin) : std::nullopt;
}

Row exampleTableRow(size_t index) {
  Row row;
  row.key.service = ServiceId("gauge-summary-" + std::to_string(index / kTenants));
  row.key.tenant = TenantId("district-" + std::to_string(index % kTenants));
  row.model = ModelId("base-7b");
  row.deadlineClass = index % 2 == 0 ? DeadlineClass::kInteractive : DeadlineClass::kDeferred;
  row.ratePerSecond = 10;
  row.burst = 20;
  return row;
}

}  // namespace fernmoor::sim
