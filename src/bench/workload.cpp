#include "bench/workload.h"

#include <algorithm>
#include <cmath>
#include <cstring>

#include "common/random.h"
#include "common/rendezvous.h"
#include "prefix/block_chain.h"

namespace fernmoor::bench {

namespace {

/// Share of a payment period in which new work arrives; the rest is left for finishing it.
constexpr double kArrivalPartOfPeriod = 0.75;
/// Services of one tenant differ in size as 1, 1/2, 1/3, ... (Zipf's law with exponent 1).
constexpr double kServiceSkew = 1.0;

size_t pickWeighted(const std::vector<double>& weights, double total, Random& random) {
  double left = random.unit() * total;
  for (size_t index = 0; index + 1 < weights.size(); ++index) {
    left -= weights[index];
    if (left < 0) {
      return index;
    }
  }
  return weights.size() - 1;
}

/// Length between half and one and a half of the mean.
int64_t aroundMean(int64_t mean, Random& random) {
  const int64_t half = std::max<int64_t>(1, mean / 2);
  return half + static_cast<int64_t>(random.below(static_cast<uint64_t>(mean) + 1));
}

/// Position within a period, from 0 to 1.
double phase(Duration at, Duration period) {
  return static_cast<double>(at.count() % period.count()) / static_cast<double>(period.count());
}

double burstFactor(const BurstSpec& burst, Duration at) {
  if (burst.every <= Duration(0) || burst.length <= Duration(0)) {
    return 1;
  }
  const double position = phase(at, burst.every) * toSeconds(burst.every) / toSeconds(burst.length);
  if (position >= 1) {
    return 1;
  }
  const double height = 1 - std::abs(2 * position - 1);
  return 1 + (burst.factor - 1) * height;
}

double finishFactor(const ClassSpec& spec, Duration at) {
  if (spec.finishEvery <= Duration(0)) {
    return 1;
  }
  return phase(at, spec.finishEvery) < kArrivalPartOfPeriod ? 1 / kArrivalPartOfPeriod : 0;
}

double rateAt(const ClassSpec& spec, Duration at) {
  return spec.requestsPerSecond * burstFactor(spec.burst, at) * finishFactor(spec, at);
}

double highestRate(const ClassSpec& spec) {
  const double finish = spec.finishEvery > Duration(0) ? 1 / kArrivalPartOfPeriod : 1;
  return spec.requestsPerSecond * spec.burst.factor * finish;
}

Duration deadlineOf(const ClassSpec& spec, Duration arrival) {
  if (spec.finishEvery <= Duration(0)) {
    return arrival + spec.deadline;
  }
  return spec.finishEvery * (arrival / spec.finishEvery + 1);
}

/// One of the leaves that are hot at a time; they move from service to service.
struct HotLeaf {
  size_t tenant = 0;
  int64_t service = 0;
  int64_t leaf = 0;
};

/// Draws the requests of one class.
class ClassGenerator {
 public:
  ClassGenerator(const WorkloadSpec& spec, size_t classIndex, const WorkloadOptions& options)
      : spec_(spec),
        class_(spec.classes[classIndex]),
        classIndex_(classIndex),
        options_(options),
        random_(rendezvousWeight(options.seed, stableHash(class_.name))) {
    for (const TenantSpec& tenant : spec.tenants) {
      tenantWeights_.push_back(tenant.share);
      tenantTotal_ += tenant.share;
    }
    for (int64_t service = 0; service < class_.services; ++service) {
      serviceWeights_.push_back(1 / std::pow(static_cast<double>(service + 1), kServiceSkew));
      serviceTotal_ += serviceWeights_.back();
    }
  }

  /// Poisson arrivals at the highest rate, thinned to the rate of the moment.
  void generate(std::vector<WorkloadRequest>& requests) {
    const double highest = highestRate(class_) * options_.loadFactor;
    if (highest <= 0) {
      return;
    }
    Duration at{0};
    while (true) {
      at += std::max(Duration(1), fromSeconds(random_.exponential(1 / highest)));
      if (at >= options_.length) {
        return;
      }
      if (random_.chance(rateAt(class_, at) * options_.loadFactor / highest)) {
        requests.push_back(draw(at));
      }
    }
  }

 private:
  WorkloadRequest draw(Duration at) {
    WorkloadRequest request;
    request.arrival = at;
    request.deadline = deadlineOf(class_, at);
    request.classIndex = classIndex_;
    drawPlace(at, request);
    request.ownTokens = aroundMean(class_.ownTokens, random_);
    request.outputTokens = aroundMean(class_.outputTokens, random_);
    request.zone = static_cast<int64_t>(random_.below(static_cast<uint64_t>(spec_.fleet.zones)));
    return request;
  }

  void drawPlace(Duration at, WorkloadRequest& request) {
    if (class_.hotLeaves > 0 && random_.chance(class_.hotShare)) {
      const HotLeaf hot = hotLeaf(at, random_.below(static_cast<uint64_t>(class_.hotLeaves)));
      request.tenantIndex = hot.tenant;
      request.service = hot.service;
      request.leaf = hot.leaf;
      return;
    }
    request.tenantIndex = pickWeighted(tenantWeights_, tenantTotal_, random_);
    request.service = static_cast<int64_t>(pickWeighted(serviceWeights_, serviceTotal_, random_));
    request.leaf = static_cast<int64_t>(random_.below(static_cast<uint64_t>(class_.leaves)));
  }

  HotLeaf hotLeaf(Duration at, uint64_t index) const {
    const auto shift = static_cast<uint64_t>(at / class_.hotShift);
    const uint64_t key = rendezvousWeight(options_.seed, stableHash(class_.name));
    Random random(rendezvousWeight(key, shift * static_cast<uint64_t>(class_.hotLeaves) + index));
    HotLeaf hot;
    hot.tenant = pickWeighted(tenantWeights_, tenantTotal_, random);
    hot.service = static_cast<int64_t>(random.below(static_cast<uint64_t>(class_.services)));
    hot.leaf = static_cast<int64_t>(random.below(static_cast<uint64_t>(class_.leaves)));
    return hot;
  }

  const WorkloadSpec& spec_;
  const ClassSpec& class_;
  size_t classIndex_;
  WorkloadOptions options_;
  Random random_;
  std::vector<double> tenantWeights_;
  double tenantTotal_ = 0;
  std::vector<double> serviceWeights_;
  double serviceTotal_ = 0;
};

/// Letters that stand for words; the engines count bytes, so the text needs no meaning.
std::string makeText(uint64_t key, int64_t tokens) {
  static const char kLetters[] = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ -";
  std::string text(static_cast<size_t>(tokens * kBytesPerToken), ' ');
  Random random(key);
  uint64_t bits = 0;
  for (size_t index = 0; index < text.size(); ++index) {
    if (index % 10 == 0) {
      bits = random.next();
    }
    text[index] = kLetters[bits & 63U];
    bits >>= 6U;
  }
  return text;
}

}  // namespace

std::vector<WorkloadRequest> generateWorkload(const WorkloadSpec& spec,
                                              const WorkloadOptions& options) {
  std::vector<WorkloadRequest> requests;
  for (size_t index = 0; index < spec.classes.size(); ++index) {
    ClassGenerator(spec, index, options).generate(requests);
  }
  std::stable_sort(
      requests.begin(), requests.end(),
      [](const WorkloadRequest& a, const WorkloadRequest& b) { return a.arrival < b.arrival; });
  for (size_t index = 0; index < requests.size(); ++index) {
    requests[index].number = index;
  }
  return requests;
}

Row workloadRow(const WorkloadSpec& spec, size_t classIndex, size_t tenantIndex, int64_t service) {
  const ClassSpec& one = spec.classes[classIndex];
  Row row;
  row.key.service = ServiceId(one.name + "-" + std::to_string(service));
  row.key.tenant = spec.tenants[tenantIndex].id;
  row.backEnd = one.backEnd;
  row.model = spec.fleet.model;
  row.operationPath = ServiceId(one.name);
  row.deadlineClass = one.deadlineClass;
  row.priority = one.priority;
  row.ratePerSecond = one.rowRatePerSecond;
  row.burst = std::max(1.0, one.rowRatePerSecond);
  row.deadline = one.finishEvery > Duration(0) ? one.finishEvery : one.deadline;
  row.maxWait = one.maxWait;
  row.repeatable = one.repeatable;
  row.recomputationWeight = one.recomputationWeight;
  return row;
}

std::string PromptWriter::write(const WorkloadRequest& request) {
  const ClassSpec& one = spec_.classes[request.classIndex];
  std::string prompt;
  for (const RuleBookSpec& book : spec_.ruleBooks) {
    if (book.name == one.ruleBook) {
      prompt += layer("rules/" + book.name, book.tokens);
    }
  }
  const std::string service = one.name + "/" + spec_.tenants[request.tenantIndex].id.value() + "/" +
                              std::to_string(request.service);
  prompt += layer(service, one.serviceTokens);
  prompt += makeText(stableHash(service + "/" + std::to_string(request.leaf)), one.leafTokens);
  prompt += makeText(rendezvousWeight(stableHash("own"), request.number), request.ownTokens);
  return prompt;
}

const std::string& PromptWriter::layer(const std::string& name, int64_t tokens) {
  const auto found = layers_.find(name);
  if (found != layers_.end()) {
    return found->second;
  }
  return layers_.emplace(name, makeText(stableHash(name), tokens)).first->second;
}

}  // namespace fernmoor::bench
