#include "bench/workload_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace fernmoor::bench {

namespace {

/// Thrown inside this file only; parseWorkload turns it into an Error.
struct BadWorkload {
  std::string message;
};

/// Reads the keys of one TOML table and complains of those that nobody asked for.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string place)
      : table_(table), place_(std::move(place)) {}

  std::string text(const std::string& key, const std::string& fallback) {
    return read<std::string>(key, fallback, "a string");
  }

  std::string requiredText(const std::string& key) {
    std::string value = text(key, "");
    if (value.empty()) {
      fail(key, "is missing; give it a string");
    }
    return value;
  }

  bool flag(const std::string& key, bool fallback) {
    return read<bool>(key, fallback, "true or false");
  }

  double number(const std::string& key, double fallback, double minimum) {
    const double value = read<double>(key, fallback, "a number");
    if (value < minimum) {
      fail(key, "must be at least " + std::to_string(minimum));
    }
    return value;
  }

  int64_t count(const std::string& key, int64_t fallback, int64_t minimum) {
    const int64_t value = read<int64_t>(key, fallback, "a whole number");
    if (value < minimum) {
      fail(key, "must be at least " + std::to_string(minimum));
    }
    return value;
  }

  /// Reads a length of time given in milliseconds.
  Duration milliseconds(const std::string& key, Duration fallback) {
    return fromSeconds(number(key, toMilliseconds(fallback), 0) / 1000);
  }

  const toml::table* child(const std::string& key) {
    known_.insert(key);
    return table_[key].as_table();
  }

  const toml::array* children(const std::string& key) {
    known_.insert(key);
    return table_[key].as_array();
  }

  /// Call last: every key must have been read.
  void finish() const {
    for (const auto& [key, value] : table_) {
      const std::string name(key.str());
      if (known_.count(name) == 0) {
        fail(name, "is unknown; remove it or correct its spelling");
      }
    }
  }

  [[noreturn]] void fail(const std::string& key, const std::string& what) const {
    throw BadWorkload{place_ + ": " + key + " " + what + "."};
  }

 private:
  template <class T>
  T read(const std::string& key, const T& fallback, const char* wanted) {
    known_.insert(key);
    if (!table_.contains(key)) {
      return fallback;
    }
    const auto value = table_[key].value<T>();
    if (!value) {
      fail(key, std::string("must be ") + wanted);
    }
    return *value;
  }

  const toml::table& table_;
  std::string place_;
  std::set<std::string> known_;
};

FleetSpec readFleet(const toml::table& table, const std::string& place) {
  TableReader reader(table, place);
  FleetSpec fleet;
  fleet.zones = reader.count("zones", fleet.zones, 1);
  fleet.routersPerZone = reader.count("routers_per_zone", fleet.routersPerZone, 1);
  fleet.engines = reader.count("engines", fleet.engines, 1);
  fleet.applicationEngines = reader.count("application_engines", fleet.applicationEngines, 1);
  fleet.model = ModelId(reader.requiredText("model"));
  fleet.prefillTokensPerSecond =
      reader.number("prefill_tokens_per_second", fleet.prefillTokensPerSecond, 1);
  fleet.tokenInterval = reader.milliseconds("token_interval_ms", fleet.tokenInterval);
  fleet.batchSlots = reader.count("batch_slots", fleet.batchSlots, 1);
  fleet.cacheBlocks = reader.count("cache_blocks", fleet.cacheBlocks, 1);
  fleet.sameZoneLatency = reader.milliseconds("same_zone_latency_ms", fleet.sameZoneLatency);
  fleet.crossZoneLatency = reader.milliseconds("cross_zone_latency_ms", fleet.crossZoneLatency);
  fleet.clientLatency = reader.milliseconds("client_latency_ms", fleet.clientLatency);
  fleet.applicationTime = reader.milliseconds("application_time_ms", fleet.applicationTime);
  fleet.applicationConcurrency =
      reader.count("application_concurrency", fleet.applicationConcurrency, 1);
  reader.finish();
  return fleet;
}

TenantSpec readTenant(const toml::table& table, const std::string& place) {
  TableReader reader(table, place);
  TenantSpec tenant;
  tenant.id = TenantId(reader.requiredText("name"));
  tenant.share = reader.number("share", tenant.share, 0);
  reader.finish();
  return tenant;
}

RuleBookSpec readRuleBook(const toml::table& table, const std::string& place) {
  TableReader reader(table, place);
  RuleBookSpec book;
  book.name = reader.requiredText("name");
  book.tokens = reader.count("tokens", book.tokens, 0);
  reader.finish();
  return book;
}

BurstSpec readBurst(const toml::table& table, const std::string& place) {
  TableReader reader(table, place);
  BurstSpec burst;
  burst.every = reader.milliseconds("every_ms", burst.every);
  burst.length = reader.milliseconds("length_ms", burst.length);
  burst.factor = reader.number("factor", burst.factor, 1);
  if (burst.every < burst.length) {
    reader.fail("every_ms", "must not be less than length_ms");
  }
  reader.finish();
  return burst;
}

BackEndKind readBackEnd(TableReader& reader) {
  const std::string kind = reader.text("back_end", "model");
  if (kind == "model") {
    return BackEndKind::kModel;
  }
  if (kind == "application") {
    return BackEndKind::kApplication;
  }
  reader.fail("back_end", "must be \"model\" or \"application\"");
}

DeadlineClass readDeadlineClass(TableReader& reader) {
  const std::string name = reader.text("deadline_class", "interactive");
  if (name == "interactive") {
    return DeadlineClass::kInteractive;
  }
  if (name == "deferred") {
    return DeadlineClass::kDeferred;
  }
  reader.fail("deadline_class", "must be \"interactive\" or \"deferred\"");
}

void readLayers(TableReader& reader, ClassSpec& spec) {
  spec.ruleBook = reader.text("rule_book", "");
  spec.services = reader.count("services", spec.services, 1);
  spec.serviceTokens = reader.count("service_tokens", spec.serviceTokens, 0);
  spec.leaves = reader.count("leaves", spec.leaves, 1);
  spec.leafTokens = reader.count("leaf_tokens", spec.leafTokens, 0);
  spec.ownTokens = reader.count("own_tokens", spec.ownTokens, 1);
  spec.outputTokens = reader.count("output_tokens", spec.outputTokens, 1);
  spec.hotLeaves = reader.count("hot_leaves", spec.hotLeaves, 0);
  spec.hotShare = reader.number("hot_share", spec.hotShare, 0);
  spec.hotShift = reader.milliseconds("hot_shift_ms", spec.hotShift);
  if (spec.hotShift <= Duration(0)) {
    reader.fail("hot_shift_ms", "must be greater than 0");
  }
}

ClassSpec readClass(const toml::table& table, const std::string& place) {
  TableReader reader(table, place);
  ClassSpec spec;
  spec.name = reader.requiredText("name");
  spec.backEnd = readBackEnd(reader);
  spec.deadlineClass = readDeadlineClass(reader);
  spec.priority = reader.count("priority", spec.priority, 0);
  spec.repeatable = reader.flag("repeatable", spec.repeatable);
  spec.requestsPerSecond = reader.number("requests_per_second", spec.requestsPerSecond, 0);
  spec.deadline = reader.milliseconds("deadline_ms", spec.deadline);
  spec.maxWait = reader.milliseconds("max_wait_ms", spec.maxWait);
  spec.finishEvery = reader.milliseconds("finish_every_ms", spec.finishEvery);
  spec.recomputationWeight = reader.number("recomputation_weight", spec.recomputationWeight, 0);
  spec.rowRatePerSecond = reader.number("row_rate_per_second", spec.rowRatePerSecond, 0);
  readLayers(reader, spec);
  if (const toml::table* burst = reader.child("burst")) {
    spec.burst = readBurst(*burst, place + ".burst");
  }
  reader.finish();
  return spec;
}

template <class T, class ReadOne>
std::vector<T> readAll(TableReader& reader, const std::string& key, const std::string& source,
                       ReadOne readOne) {
  std::vector<T> all;
  const toml::array* array = reader.children(key);
  if (array == nullptr) {
    return all;
  }
  for (const toml::node& node : *array) {
    std::string place = source;
    place.append(": ").append(key).append(" ").append(std::to_string(all.size() + 1));
    const toml::table* table = node.as_table();
    if (table == nullptr) {
      throw BadWorkload{place.append(" must be a table, written [[").append(key).append("]].")};
    }
    all.push_back(readOne(*table, place));
  }
  return all;
}

void checkRuleBooks(const WorkloadSpec& spec, const std::string& source) {
  for (const ClassSpec& one : spec.classes) {
    const bool known =
        one.ruleBook.empty() ||
        std::any_of(spec.ruleBooks.begin(), spec.ruleBooks.end(),
                    [&](const RuleBookSpec& book) { return book.name == one.ruleBook; });
    if (!known) {
      throw BadWorkload{source + ": class " + one.name + " names the rule book " + one.ruleBook +
                        ", which is not there; add a [[rule_book]] of that name."};
    }
  }
}

WorkloadSpec readWorkload(const toml::table& root, const std::string& source) {
  TableReader reader(root, source);
  WorkloadSpec spec;
  spec.name = reader.requiredText("name");
  const toml::table* fleet = reader.child("fleet");
  if (fleet == nullptr) {
    reader.fail("fleet", "is missing; add a table [fleet]");
  }
  spec.fleet = readFleet(*fleet, source + ": fleet");
  spec.tenants = readAll<TenantSpec>(reader, "tenant", source, readTenant);
  spec.ruleBooks = readAll<RuleBookSpec>(reader, "rule_book", source, readRuleBook);
  spec.classes = readAll<ClassSpec>(reader, "class", source, readClass);
  if (spec.tenants.empty() || spec.classes.empty()) {
    reader.fail("tenant and class", "must each be there at least once");
  }
  reader.finish();
  checkRuleBooks(spec, source);
  return spec;
}

Error invalid(const std::string& message) {
  return Error{ErrorKind::kInvalidRequest, message, RunState::kNotRun, std::nullopt};
}

}  // namespace

Result<WorkloadSpec> parseWorkload(const std::string& text, const std::string& source) {
  try {
    return readWorkload(toml::parse(text, source), source);
  } catch (const toml::parse_error& error) {
    std::ostringstream message;
    message << source << ": line " << error.source().begin.line << ": " << error.description()
            << ". Correct the TOML there.";
    return invalid(message.str());
  } catch (const BadWorkload& bad) {
    return invalid(bad.message);
  }
}

Result<WorkloadSpec> loadWorkload(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorKind::kNotFound,
                 "The workload file " + path + " cannot be read; give the path of a TOML file.",
                 RunState::kNotRun, std::nullopt};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parseWorkload(text.str(), path);
}

}  // namespace fernmoor::bench
