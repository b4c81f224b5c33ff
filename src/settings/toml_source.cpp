#include "settings/toml_source.h"

#include <algorithm>
#include <sstream>

namespace fernmoor {

namespace {

constexpr size_t kMaximumShownBytes = 80;
/// A known key this many edits away or fewer is offered as what was meant.
constexpr size_t kMaximumTypingErrors = 3;

/// Levenshtein distance of two short words.
size_t editDistance(const std::string& a, const std::string& b) {
  std::vector<size_t> row(b.size() + 1);
  for (size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
    }
  }
  return row[b.size()];
}

std::string unknownKeyRemedy(const std::string& key, const std::vector<std::string>& known) {
  const auto nearest = std::min_element(
      known.begin(), known.end(),
      [&](const auto& a, const auto& b) { return editDistance(key, a) < editDistance(key, b); });
  if (nearest != known.end() && editDistance(key, *nearest) <= kMaximumTypingErrors) {
    return "did you mean " + *nearest + "? Else remove the key.";
  }
  return "remove the key; docs/OPERATIONS.md and `fernmoorctl help knobs` list those that exist.";
}

template <class T>
void setIfGiven(toml::table& root, const std::string& key, const std::optional<T>& value) {
  if (value) {
    root.insert_or_assign(key, *value);
  }
}

}  // namespace

std::string describeFound(const toml::node& value) {
  if (value.is_table()) {
    return "found a table";
  }
  if (value.is_array()) {
    return "found an array";
  }
  std::ostringstream text;
  value.visit([&](const auto& typed) {
    if constexpr (toml::is_value<decltype(typed)>) {
      text << typed;
    }
  });
  return "found " + text.str().substr(0, kMaximumShownBytes);
}

TomlSource::TomlSource(const std::string& path, const SettingsOverrides& overrides) : path_(path) {
  parse();
  if (readable_) {
    applyOverrides(overrides);
  }
}

void TomlSource::parse() {
  try {
    root_ = toml::parse_file(path_);
    readable_ = true;
  } catch (const toml::parse_error& failure) {
    const auto line = failure.source().begin.line;
    const std::string place = line == 0 ? path_ : path_ + ":" + std::to_string(line);
    const std::string remedy = line == 0 ? "give the path of a readable TOML file."
                                         : "correct the TOML syntax of this line.";
    problems_.push_back({place, "", std::string(failure.description()), remedy});
  }
}

void TomlSource::applyOverrides(const SettingsOverrides& overrides) {
  setIfGiven(root_, "node_id", overrides.nodeId);
  setIfGiven(root_, "zone", overrides.zone);
  setIfGiven(root_, "region", overrides.region);
  setIfGiven(root_, "peer_address", overrides.peerAddress);
  setIfGiven(root_, "http_address", overrides.httpAddress);
  setIfGiven(root_, "platform_url", overrides.platformUrl);
  setIfGiven(root_, "log_format", overrides.logFormat);
  setIfGiven(root_, "log_level", overrides.logLevel);
  setIfGiven(root_, "worker_threads", overrides.workerThreads);
  if (overrides.seeds) {
    toml::array seeds;
    for (const std::string& seed : *overrides.seeds) {
      seeds.push_back(seed);
    }
    root_.insert_or_assign("seeds", std::move(seeds));
  }
  for (const KnobOverride& knob : overrides.knobs) {
    const auto entry = root_.insert("knobs", toml::table{}).first;
    if (toml::table* knobs = entry->second.as_table()) {
      knobs->insert_or_assign(knob.name, knob.value);
    }
  }
}

std::string TomlSource::placeOf(const toml::node& value, const std::string& key) const {
  const auto line = value.source().begin.line;
  if (line == 0) {
    return "flag --" + key.substr(0, key.find_first_of(".["));  // Only flags bear no line.
  }
  return path_ + ":" + std::to_string(line);
}

void TomlSource::report(const toml::node& value, const std::string& key, const std::string& found,
                        const std::string& remedy) {
  problems_.push_back({placeOf(value, key), key, found, remedy});
}

void TomlSource::reportKey(const std::string& key, const std::string& found,
                           const std::string& remedy) {
  if (const toml::node* value = root_.get(key)) {
    report(*value, key, found, remedy);
    return;
  }
  problems_.push_back({path_, key, found, remedy});
}

std::optional<std::string> TomlSource::string(const std::string& key, const std::string& remedy,
                                              bool required) {
  const toml::node* value = root_.get(key);
  if (value == nullptr) {
    if (required) {
      reportKey(key, "is missing", remedy);
    }
    return std::nullopt;
  }
  if (!value->is_string()) {
    report(*value, key, describeFound(*value), remedy);
    return std::nullopt;
  }
  return value->value<std::string>();
}

std::optional<int64_t> TomlSource::integer(const std::string& key, int64_t minimum, int64_t maximum,
                                           bool required) {
  const std::string remedy = "give a whole number from " + std::to_string(minimum) + " to " +
                             std::to_string(maximum) + ".";
  const toml::node* value = root_.get(key);
  if (value == nullptr) {
    if (required) {
      reportKey(key, "is missing", remedy);
    }
    return std::nullopt;
  }
  const std::optional<int64_t> number =
      value->is_integer() ? value->value<int64_t>() : std::nullopt;
  if (!number || *number < minimum || *number > maximum) {
    report(*value, key, describeFound(*value), remedy);
    return std::nullopt;
  }
  return number;
}

void TomlSource::forEach(const std::string& key, const std::string& remedy,
                         const ElementReader& read) {
  const toml::node* value = root_.get(key);
  if (value == nullptr) {
    return;
  }
  const toml::array* elements = value->as_array();
  if (elements == nullptr) {
    report(*value, key, describeFound(*value), remedy);
    return;
  }
  for (size_t index = 0; index < elements->size(); ++index) {
    read(*elements->get(index), key + "[" + std::to_string(index) + "]");
  }
}

void TomlSource::forEachEntry(const std::string& key, const std::string& remedy,
                              const EntryReader& read) {
  const toml::node* value = root_.get(key);
  if (value == nullptr) {
    return;
  }
  const toml::table* entries = value->as_table();
  if (entries == nullptr) {
    report(*value, key, describeFound(*value), remedy);
    return;
  }
  for (const auto& [name, entry] : *entries) {
    read(entry, std::string(name.str()));
  }
}

void TomlSource::reportUnknownKeys(const toml::table& table, const std::string& prefix,
                                   const std::vector<std::string>& known) {
  for (const auto& [name, value] : table) {
    const std::string key(name.str());
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      report(value, prefix + key, "is unknown", unknownKeyRemedy(key, known));
    }
  }
}

}  // namespace fernmoor
