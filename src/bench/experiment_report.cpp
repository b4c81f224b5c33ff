#include "bench/experiment_report.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <cstdio>
#include <sstream>

namespace fernmoor::bench {

namespace {

constexpr int kLastErrorKind = static_cast<int>(ErrorKind::kInternal);

double ratio(int64_t part, int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

Poco::JSON::Object::Ptr quantilesToJson(const TimeQuantiles& quantiles) {
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
  object->set("p50", quantiles.p50);
  object->set("p95", quantiles.p95);
  object->set("p99", quantiles.p99);
  object->set("p999", quantiles.p999);
  return object;
}

TimeQuantiles quantilesFromJson(const Poco::JSON::Object::Ptr& object) {
  return TimeQuantiles{object->getValue<double>("p50"), object->getValue<double>("p95"),
                       object->getValue<double>("p99"), object->getValue<double>("p999")};
}

Poco::JSON::Object::Ptr groupToJson(const GroupReport& group) {
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
  object->set("name", group.name);
  object->set("offered", group.offered);
  object->set("completed", group.completed);
  object->set("in_time", group.inTime);
  object->set("retries", group.retries);
  object->set("prompt_tokens", group.promptTokens);
  object->set("recomputed_tokens", group.recomputedTokens);
  object->set("recomputed_held_tokens", group.recomputedHeldTokens);
  object->set("block_hit_rate", group.blockHitRate);
  object->set("token_hit_rate", group.tokenHitRate);
  object->set("oracle_hit_rate", group.oracleHitRate);
  object->set("first_token_ms", quantilesToJson(group.firstToken));
  object->set("between_tokens_ms", quantilesToJson(group.betweenTokens));
  object->set("queue_ms", quantilesToJson(group.queue));
  Poco::JSON::Array::Ptr curve = new Poco::JSON::Array;
  for (const double value : group.firstTokenCurve) {
    curve->add(value);
  }
  object->set("first_token_curve_ms", curve);
  Poco::JSON::Object::Ptr refusals = new Poco::JSON::Object;
  for (const RefusalCount& refusal : group.refusals) {
    refusals->set(toString(refusal.kind), refusal.count);
  }
  object->set("refusals", refusals);
  return object;
}

std::vector<RefusalCount> refusalsFromJson(const Poco::JSON::Object::Ptr& object) {
  std::vector<RefusalCount> refusals;
  for (int number = 0; number <= kLastErrorKind; ++number) {
    const auto kind = static_cast<ErrorKind>(number);
    if (object->has(toString(kind))) {
      refusals.push_back(RefusalCount{kind, object->getValue<int64_t>(toString(kind))});
    }
  }
  return refusals;
}

GroupReport groupFromJson(const Poco::JSON::Object::Ptr& object) {
  GroupReport group;
  group.name = object->getValue<std::string>("name");
  group.offered = object->getValue<int64_t>("offered");
  group.completed = object->getValue<int64_t>("completed");
  group.inTime = object->getValue<int64_t>("in_time");
  group.retries = object->getValue<int64_t>("retries");
  group.promptTokens = object->getValue<int64_t>("prompt_tokens");
  group.recomputedTokens = object->getValue<int64_t>("recomputed_tokens");
  group.recomputedHeldTokens = object->getValue<int64_t>("recomputed_held_tokens");
  group.blockHitRate = object->getValue<double>("block_hit_rate");
  group.tokenHitRate = object->getValue<double>("token_hit_rate");
  group.oracleHitRate = object->getValue<double>("oracle_hit_rate");
  group.firstToken = quantilesFromJson(object->getObject("first_token_ms"));
  group.betweenTokens = quantilesFromJson(object->getObject("between_tokens_ms"));
  group.queue = quantilesFromJson(object->getObject("queue_ms"));
  const Poco::JSON::Array::Ptr curve = object->getArray("first_token_curve_ms");
  for (size_t index = 0; index < curve->size(); ++index) {
    group.firstTokenCurve.push_back(curve->getElement<double>(static_cast<unsigned>(index)));
  }
  group.refusals = refusalsFromJson(object->getObject("refusals"));
  return group;
}

Poco::JSON::Array::Ptr groupsToJson(const std::vector<GroupReport>& groups) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const GroupReport& group : groups) {
    array->add(groupToJson(group));
  }
  return array;
}

std::vector<GroupReport> groupsFromJson(const Poco::JSON::Array::Ptr& array) {
  std::vector<GroupReport> groups;
  for (size_t index = 0; index < array->size(); ++index) {
    groups.push_back(groupFromJson(array->getObject(static_cast<unsigned>(index))));
  }
  return groups;
}

std::string refusalsToText(const GroupReport& group) {
  std::string text;
  for (const RefusalCount& refusal : group.refusals) {
    text += text.empty() ? "" : ", ";
    text += std::string(toString(refusal.kind)) + " " + std::to_string(refusal.count);
  }
  return text.empty() ? "-" : text;
}

void appendGroup(std::ostringstream& out, const GroupReport& group) {
  char line[512];
  std::snprintf(line, sizeof(line),
                "%-18s %7ld %7ld %6.1f %6.1f %6.1f %6.1f %9.0f %8.0f %8.0f %8.0f %8.0f %6.1f %6.1f "
                "%5ld  %s\n",
                group.name.c_str(), static_cast<long>(group.offered),
                static_cast<long>(group.completed), 100 * ratio(group.inTime, group.offered),
                100 * group.blockHitRate, 100 * group.tokenHitRate, 100 * group.oracleHitRate,
                static_cast<double>(group.recomputedHeldTokens) / 1000, group.firstToken.p50,
                group.firstToken.p95, group.firstToken.p99, group.firstToken.p999,
                group.betweenTokens.p50, group.betweenTokens.p99, static_cast<long>(group.retries),
                refusalsToText(group).c_str());
  out << line;
}

}  // namespace

std::string toText(const ExperimentReport& report) {
  std::ostringstream out;
  out << "workload " << report.workload << ", policy " << report.policy << ", seed " << report.seed
      << ", load factor " << report.loadFactor << ", staleness " << report.stalenessMilliseconds
      << " ms, " << report.seconds << " s measured\n";
  out << "fairness among tenants " << report.tenantFairness << ", among engines "
      << report.engineFairness << "; one choice of an engine " << report.decisionMicroseconds
      << " us of processor time\n\n";
  out << "                   offered    done in time hit blk hit tk oracle recomp ktk"
         "  ttft50   ttft95   ttft99  ttft999  tbt50  tbt99 retry  refusals\n";
  out << "                                      %      %      %      %  though held"
         "    (ms)     (ms)     (ms)     (ms)   (ms)   (ms)\n";
  appendGroup(out, report.total);
  for (const GroupReport& group : report.classes) {
    appendGroup(out, group);
  }
  out << "\n";
  for (const GroupReport& group : report.tenants) {
    appendGroup(out, group);
  }
  return out.str();
}

std::string toJson(const ExperimentReport& report) {
  Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
  object->set("workload", report.workload);
  object->set("policy", report.policy);
  object->set("seed", report.seed);
  object->set("load_factor", report.loadFactor);
  object->set("staleness_ms", report.stalenessMilliseconds);
  object->set("seconds", report.seconds);
  object->set("decision_us", report.decisionMicroseconds);
  object->set("tenant_fairness", report.tenantFairness);
  object->set("engine_fairness", report.engineFairness);
  object->set("total", groupToJson(report.total));
  object->set("classes", groupsToJson(report.classes));
  object->set("tenants", groupsToJson(report.tenants));
  std::ostringstream out;
  object->stringify(out, 1);
  out << "\n";
  return out.str();
}

Result<ExperimentReport> parseReport(const std::string& json, const std::string& source) {
  try {
    Poco::JSON::Parser parser;
    const auto object = parser.parse(json).extract<Poco::JSON::Object::Ptr>();
    ExperimentReport report;
    report.workload = object->getValue<std::string>("workload");
    report.policy = object->getValue<std::string>("policy");
    report.seed = object->getValue<uint64_t>("seed");
    report.loadFactor = object->getValue<double>("load_factor");
    report.stalenessMilliseconds = object->getValue<double>("staleness_ms");
    report.seconds = object->getValue<double>("seconds");
    report.decisionMicroseconds = object->getValue<double>("decision_us");
    report.tenantFairness = object->getValue<double>("tenant_fairness");
    report.engineFairness = object->getValue<double>("engine_fairness");
    report.total = groupFromJson(object->getObject("total"));
    report.classes = groupsFromJson(object->getArray("classes"));
    report.tenants = groupsFromJson(object->getArray("tenants"));
    return report;
  } catch (const Poco::Exception& exception) {
    return Error{ErrorKind::kInvalidRequest,
                 source + " is not a report of fernmoor-bench (" + exception.displayText() +
                     "); give a file that --out or --json wrote.",
                 RunState::kNotRun, std::nullopt};
  }
}

}  // namespace fernmoor::bench
