/// @file
/// Overload tests of the admission controller on virtual time: goodput, wait of alerts, fairness.
#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <queue>

#include "admission/admission_controller.h"

namespace fernmoor {

namespace {

constexpr int64_t kPlaces = 20;
constexpr double kServiceSeconds = 0.2;
constexpr double kCapacityPerSecond = kPlaces / kServiceSeconds;
const PoolId kPool("m");

struct Outcome {
  int64_t offered = 0;
  int64_t served = 0;
  std::vector<double> waits;
  double wait(double quantile) {
    std::sort(waits.begin(), waits.end());
    return waits.empty()
               ? 0
               : waits[static_cast<size_t>(quantile * (static_cast<double>(waits.size()) - 1.0))];
  }
};

struct Running {
  Time end;
  AdmissionRequest request;
  bool operator<(const Running& other) const { return end > other.end; }
};

/// One tenth of the capacity is alerts, a third each is notes of three tenants and deferred work.
class OverloadRun {
 public:
  explicit OverloadRun(double factor) : factor_(factor) {
    controller_.setCapacity(kPool, kPlaces, now_);
  }

  void run(double seconds) {
    const Time end = now_ + fromSeconds(seconds);
    Time nextArrival = now_;
    while (now_ < end) {
      if (now_ >= nextArrival) {
        arrive();
        nextArrival = now_ + fromSeconds(random_.exponential(1 / (factor_ * kCapacityPerSecond)));
      }
      now_ += Duration(500);
      finishRunning();
      takeDecisions();
    }
  }

  std::map<std::string, Outcome> outcomes;

 private:
  AdmissionRequest draw() {
    AdmissionRequest request;
    request.pool = kPool;
    request.deadline = now_ + Duration(10000000);
    request.maxWait = Duration(2000000);
    const double kind = random_.unit() * factor_;
    const std::string tenant = random_.chance(0.8) ? "large" : "small";
    request.limits.row = RowKey{ServiceId("note"), TenantId(tenant)};
    if (kind < 0.1) {
      request.limits.row.service = ServiceId("alert");
      request.priority = 0;
    } else if (random_.chance(0.5)) {
      request.limits.row.service = ServiceId("summary");
      request.deadlineClass = DeadlineClass::kDeferred;
    }
    return request;
  }

  void arrive() {
    const AdmissionRequest request = draw();
    Outcome& outcome = outcomes[nameOf(request)];
    ++outcome.offered;
    const auto result = controller_.admit(request, now_);
    if (!isOk(result)) {
      return;
    }
    if (const auto* queued = std::get_if<Queued>(&valueOf(result))) {
      waiting_[queued->ticket] = request;
    } else {
      start(request, 0);
    }
  }

  static std::string nameOf(const AdmissionRequest& request) {
    const RowKey& row = request.limits.row;
    return row.service.value() + "/" + (row.service.value() == "alert" ? "" : row.tenant.value());
  }

  void start(const AdmissionRequest& request, double waited) {
    Outcome& outcome = outcomes[nameOf(request)];
    ++outcome.served;
    outcome.waits.push_back(waited);
    running_.push(Running{now_ + fromSeconds(kServiceSeconds), request});
  }

  void finishRunning() {
    while (!running_.empty() && running_.top().end <= now_) {
      controller_.release(running_.top().request, now_);
      running_.pop();
    }
  }

  void takeDecisions() {
    for (const TicketDecision& decision : controller_.takeDecisions(now_)) {
      if (isOk(decision.result)) {
        start(waiting_[decision.ticket], toSeconds(decision.waited));
      }
      waiting_.erase(decision.ticket);
    }
  }

  double factor_;
  Time now_{Duration(1000000)};
  Random random_{7};
  AdmissionController controller_{Knobs{}, std::make_shared<LocalRowLimiter>(), 1};
  std::map<TicketId, AdmissionRequest> waiting_;
  std::priority_queue<Running> running_;
};

int64_t servedInAll(const OverloadRun& run) {
  int64_t served = 0;
  for (const auto& entry : run.outcomes) {
    served += entry.second.served;
  }
  return served;
}

}  // namespace

TEST_CASE("at two and ten times the capacity goodput, alerts and small tenants are preserved") {
  constexpr double kSeconds = 60;
  for (const double factor : {2.0, 10.0}) {
    OverloadRun run(factor);
    run.run(kSeconds);
    const double goodput = static_cast<double>(servedInAll(run)) / (kSeconds * kCapacityPerSecond);
    Outcome& alerts = run.outcomes["alert/"];
    const auto smallNotes = static_cast<double>(run.outcomes["note/small"].served);
    const auto largeNotes = static_cast<double>(run.outcomes["note/large"].served);
    const auto summaries = static_cast<double>(run.outcomes["summary/small"].served +
                                               run.outcomes["summary/large"].served);
    MESSAGE("load x" << factor << ": goodput " << goodput << ", alerts " << alerts.served << " of "
                     << alerts.offered << ", wait p99 " << alerts.wait(0.99) << " s; notes small "
                     << smallNotes << " large " << largeNotes << ", summaries " << summaries);
    CHECK(goodput > 0.9);
    CHECK(alerts.served == alerts.offered);
    CHECK(alerts.wait(0.99) < 0.2);
    // While alerts wait, the band of the notes is overdue as well and gets every second overdue
    // grant. Deferred work therefore gets at least one eighth of the slots, except in the first
    // second.
    CHECK(summaries > 0.11 * kSeconds * kCapacityPerSecond);
    // Equal weights: the small tenant gets its whole demand or half the slots, although it sends
    // only a fifth of the requests.
    CHECK(smallNotes >
          0.9 * std::min(largeNotes, static_cast<double>(run.outcomes["note/small"].offered)));
  }
}

}  // namespace fernmoor
