#include "bench/capacity.h"

#include <algorithm>
#include <cstdio>

#include "bench/target_sizes.h"
#include "common/knobs.h"

namespace fernmoor::bench {

namespace {

/// Assumptions of the page: sizes that the target doesn't state.
constexpr double kPromptBlocks = 250;
constexpr double kNotRepeatableShare = 0.2;
constexpr double kHomesAskedFor = 2;
constexpr double kPlacementMarkBytes = 64;

/// Looks slopes up by name.
class SlopeBook {
 public:
  explicit SlopeBook(const std::vector<Slope>& slopes) : slopes_(slopes) {}

  bool has(const std::string& name) const { return find(name) != slopes_.end(); }
  /// @return the fitted cost at a size.
  double at(const std::string& name, double size) const { return find(name)->fit().at(size); }
  /// @return the fitted cost at the slope's own target size.
  double atTarget(const std::string& name) const { return find(name)->atTarget(); }
  /// @return the cost of one more.
  double each(const std::string& name) const { return find(name)->fit().slope; }

 private:
  std::vector<Slope>::const_iterator find(const std::string& name) const {
    return std::find_if(slopes_.begin(), slopes_.end(),
                        [&](const Slope& slope) { return slope.name == name; });
  }
  const std::vector<Slope>& slopes_;
};

constexpr const char* kNeededSlopes[] = {"hash-time",          "choice-time-least_expected_time",
                                         "view-memory",        "view-event-time",
                                         "event-json-time",    "event-json-bytes",
                                         "probe-bytes",        "probe-time",
                                         "push-bytes",         "push-cpu",
                                         "membership-bytes",   "membership-messages",
                                         "membership-cpu",     "membership-memory",
                                         "table-memory",       "table-lookup-time",
                                         "table-idle-bytes",   "table-idle-cpu",
                                         "table-change-bytes", "table-catch-up-bytes",
                                         "admission-time",     "admission-memory",
                                         "claim-bytes",        "claim-time",
                                         "claim-messages",     "claim-memory",
                                         "seal-time",          "datagram-time"};

std::string format(const char* pattern, double value) {
  char text[64];
  std::snprintf(text, sizeof(text), pattern, value);
  return text;
}

/// @return % of a core for microseconds that are spent so many times a second.
double corePercent(double microseconds, double perSecond) {
  return microseconds * perSecond * 1e-6 * 100;
}

/// Computes the roles of one node.
class CapacityModel {
 public:
  explicit CapacityModel(const std::vector<Slope>& slopes) : book_(slopes) {}

  RoleCost ingress() const {
    const double questionBytes = book_.at("probe-bytes", kHomesAskedFor);
    const double messages = 2 * kHomesAskedFor * target::kRequestsPerNode;
    const double microseconds =
        book_.at("hash-time", kPromptBlocks) + book_.at("probe-time", kHomesAskedFor) +
        book_.atTarget("choice-time-least_expected_time") + book_.atTarget("admission-time") +
        book_.atTarget("table-lookup-time");
    RoleCost cost;
    cost.role = "ingress";
    cost.state = "limits of rows in use, memory of placements, probe facts";
    cost.messages = format("%.0f/s (questions and answers)", messages);
    cost.corePercent = corePercent(microseconds, target::kRequestsPerNode) + wirePercent(messages);
    cost.bytes = book_.atTarget("admission-memory") +
                 static_cast<double>(Knobs().placementMarks) * kPlacementMarkBytes;
    cost.sentBytesPerSecond = questionBytes * target::kRequestsPerNode;
    cost.computation =
        "21.3 requests/s x (hash-time at 250 blocks + probe-time at 2 homes + choice-time + "
        "admission-time + table-lookup-time) + 85 messages/s x (seal-time + datagram-time); "
        "admission-memory at 35,000 rows + 50,000 marks x 64 bytes (the knob's statement, not "
        "measured); probe-bytes at 2 homes";
    return cost;
  }

  RoleCost engineOwner() const {
    const double pushes = target::kNodes / target::kZones - 1;
    RoleCost cost;
    cost.role = "engine owner";
    cost.state = format("views of %.2f engines", target::kEnginesPerNode);
    cost.messages = format("%.0f/s (load pushes)", pushes);
    cost.corePercent =
        corePercent(book_.atTarget("view-event-time") / 1000, target::kCacheEventsPerNode) +
        corePercent(book_.each("event-json-time"), target::kCacheEventsPerNode) +
        book_.atTarget("push-cpu") + wirePercent(pushes);
    cost.bytes = target::kEnginesPerNode * book_.atTarget("view-memory");
    cost.sentBytesPerSecond = book_.atTarget("push-bytes");
    cost.backEndBytesPerSecond = book_.each("event-json-bytes") * target::kCacheEventsPerNode;
    cost.computation =
        "2,737 events/s (both owners take them) x (view-event-time at 183,333 blocks + one event "
        "of event-json-time) + push-cpu + 53 messages/s x (seal-time + datagram-time); 3.16 x "
        "view-memory; push-bytes";
    return cost;
  }

  RoleCost tableWatcher() const {
    const double changes = target::kChangesPerDay / target::kSecondsPerDay;
    const double restarts =
        (target::kReplacementsPerDay + target::kFailuresPerDay) / target::kSecondsPerDay;
    RoleCost cost;
    cost.role = "table watcher";
    cost.state = "35,000 rows";
    cost.messages = "1/s (versions)";
    cost.corePercent = book_.atTarget("table-idle-cpu") + wirePercent(1);
    cost.bytes = book_.atTarget("table-memory");
    cost.sentBytesPerSecond = book_.atTarget("table-idle-bytes") +
                              changes * book_.atTarget("table-change-bytes") +
                              restarts * book_.atTarget("table-catch-up-bytes") / target::kNodes;
    cost.computation =
        "table-idle-cpu; table-memory at 35,000 rows; table-idle-bytes + 1,200 changes a day x "
        "table-change-bytes + 94 restarts a day x table-catch-up-bytes / 380";
    return cost;
  }

  RoleCost claimReplica() const {
    const double claims = kNotRepeatableShare * target::kRequestsPerNode;
    const double records =
        claims * static_cast<double>(Knobs().claimReplicaCount) * toSeconds(Knobs().claimRetention);
    const double messages = claims * book_.each("claim-messages");
    RoleCost cost;
    cost.role = "claim replica";
    cost.state = format("%.0f records kept for 2 h", records);
    cost.messages = format("%.0f/s", messages);
    cost.corePercent = corePercent(book_.each("claim-time"), claims) + wirePercent(messages);
    cost.bytes = records * book_.each("claim-memory");
    cost.sentBytesPerSecond = claims * book_.each("claim-bytes");
    cost.computation =
        "4.3 claims/s (20 % of the requests: an assumption) x (claim-time, claim-bytes, "
        "claim-messages x (seal-time + datagram-time)); 3 replicas x 7,200 s x claim-memory";
    return cost;
  }

  RoleCost membership() const {
    RoleCost cost;
    cost.role = "membership";
    cost.state = "380 members";
    cost.messages = format("%.1f/s", book_.atTarget("membership-messages"));
    cost.corePercent =
        book_.atTarget("membership-cpu") + wirePercent(book_.atTarget("membership-messages"));
    cost.bytes = book_.atTarget("membership-memory");
    cost.sentBytesPerSecond = book_.atTarget("membership-bytes");
    cost.computation =
        "membership-cpu + membership-messages x (seal-time + datagram-time); "
        "membership-memory; membership-bytes";
    return cost;
  }

  RoleCost operatorEndpoint() const {
    RoleCost cost;
    cost.role = "operator endpoint";
    cost.state = "none between calls";
    cost.messages = "380 questions for a change, on one node";
    cost.computation = "not measured: 1,200 calls a day over 380 nodes are 3 a day for each node";
    return cost;
  }

 private:
  /// A message costs its sender the sealing and its receiver the opening; a node sends and takes
  /// as many.
  double wirePercent(double messagesPerSecond) const {
    return corePercent(book_.atTarget("seal-time") + book_.atTarget("datagram-time"),
                       messagesPerSecond);
  }

  SlopeBook book_;
};

std::string roleRow(const RoleCost& cost) {
  return "| " + cost.role + " | " + cost.state + " | " + cost.messages + " | " +
         format("%.3f", cost.corePercent) + " | " + format("%.2f", cost.bytes / 1e6) + " | " +
         format("%.0f", cost.sentBytesPerSecond) + " | " +
         format("%.0f", cost.backEndBytesPerSecond) + " |\n";
}

}  // namespace

std::vector<RoleCost> computeCapacity(const std::vector<Slope>& slopes) {
  const SlopeBook book(slopes);
  for (const char* name : kNeededSlopes) {
    if (!book.has(name)) {
      return {};
    }
  }
  const CapacityModel model(slopes);
  return {model.ingress(),      model.engineOwner(), model.tableWatcher(),
          model.claimReplica(), model.membership(),  model.operatorEndpoint()};
}

std::string capacityTable(const std::vector<RoleCost>& roles) {
  std::string table =
      "| role | state | messages sent | % of a core | MB | bytes/s sent to nodes | bytes/s taken "
      "from engines |\n|---|---|---|---|---|---|---|\n";
  RoleCost sum;
  for (const RoleCost& cost : roles) {
    table += roleRow(cost);
    sum.corePercent += cost.corePercent;
    sum.bytes += cost.bytes;
    sum.sentBytesPerSecond += cost.sentBytesPerSecond;
    sum.backEndBytesPerSecond += cost.backEndBytesPerSecond;
  }
  sum.role = "**sum**";
  table += roleRow(sum);
  table += "| **budget** | | | " + format("%.3f", target::kBudgetCorePercent) + " | " +
           format("%.2f", target::kBudgetMegabytes) + " | " +
           format("%.0f", target::kBudgetBytesPerSecond) + " | counted apart |\n\n";
  for (const RoleCost& cost : roles) {
    table += "- " + cost.role + ": " + cost.computation + ".\n";
  }
  return table;
}

}  // namespace fernmoor::bench
