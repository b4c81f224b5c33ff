#include "settings/settings.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <set>

#include "settings/toml_source.h"

namespace fernmoor {

namespace {

constexpr size_t kMinimumClusterKeyBytes = 16;
constexpr size_t kMinimumBearerKeyBytes = 8;
constexpr size_t kMaximumBearerKeyBytes = 256;
constexpr size_t kMaximumNameBytes = 64;
constexpr int64_t kMaximumNodeId = 4294967295;
constexpr int64_t kMaximumWorkerThreads = 1024;
constexpr int64_t kDefaultWorkerThreads = 64;
const char* const kHexPrefix = "hex:";

const char* const kAddressRemedy =
    "give an IP number and a port, e.g. \"127.0.0.1:7100\" or \"[::1]:7100\"; names are not "
    "resolved.";
const char* const kSeedRemedy =
    "give node id and peer address of another node, e.g. \"2@127.0.0.1:7100\".";
const char* const kNameRemedy = "give a name of 1 to 64 letters, digits, '.', '_' or '-'.";
const char* const kClusterKeyRemedy =
    "give the same secret on all nodes: 16 bytes or more of text, or \"hex:\" and 32 or more hex "
    "digits.";
const char* const kBearerKeyRemedy =
    "give 8 to 256 printable characters without spaces, each key only once.";
const char* const kTenantKeysRemedy =
    "give an array of tables, e.g. tenant_keys = [{key = \"...\", tenant = \"ward\"}].";

bool isName(const std::string& text) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaximumNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool isBearerKey(const std::string& text) {
  const auto printable = [](unsigned char c) { return std::isgraph(c) != 0; };
  return text.size() >= kMinimumBearerKeyBytes && text.size() <= kMaximumBearerKeyBytes &&
         std::all_of(text.begin(), text.end(), printable);
}

/// Reads "2@127.0.0.1:7100".
std::optional<SeedAddress> parseSeed(const std::string& text) {
  const size_t separator = text.find('@');
  uint32_t node = 0;
  const char* end = text.data() + (separator == std::string::npos ? 0 : separator);
  const auto number = std::from_chars(text.data(), end, node);
  if (number.ec != std::errc{} || number.ptr != end || node == 0) {
    return std::nullopt;
  }
  const auto address = parseSocketAddress(text.substr(separator + 1));
  if (!address) {
    return std::nullopt;
  }
  return SeedAddress{NodeId(node), *address};
}

/// Decodes "hex:..."; other text stands for its own bytes.
std::optional<std::string> decodeSecret(const std::string& text) {
  const std::string prefix = kHexPrefix;
  if (text.compare(0, prefix.size(), prefix) != 0) {
    return text;
  }
  const std::string digits = text.substr(prefix.size());
  const auto isDigit = [](unsigned char c) { return std::isxdigit(c) != 0; };
  if (digits.size() % 2 != 0 || !std::all_of(digits.begin(), digits.end(), isDigit)) {
    return std::nullopt;
  }
  std::string bytes;
  for (size_t i = 0; i < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

/// Fills a Settings from the source; each method reads one group of keys.
class SettingsReader {
 public:
  explicit SettingsReader(TomlSource& source) : source_(source) {}

  Settings read() {
    source_.reportUnknownKeys(source_.root(), "", settingsKeys());
    readIdentity();
    readAddresses();
    readClusterKey();
    readPlatform();
    readOperatorKeys();
    readTenantKeys();
    readLog();
    readKnobs();
    settings_.workerThreads = source_.integer("worker_threads", 1, kMaximumWorkerThreads, false)
                                  .value_or(kDefaultWorkerThreads);
    return std::move(settings_);
  }

 private:
  void readIdentity() {
    const auto nodeId = source_.integer("node_id", 1, kMaximumNodeId, true);
    settings_.nodeId = NodeId(static_cast<uint32_t>(nodeId.value_or(0)));
    settings_.zone = ZoneId(readName("zone"));
    settings_.region = RegionId(readName("region"));
  }

  std::string readName(const std::string& key) {
    const auto text = source_.string(key, kNameRemedy, true);
    if (text && !isName(*text)) {
      source_.reportKey(key, describeFound(*source_.root().get(key)), kNameRemedy);
    }
    return text.value_or("");
  }

  void readAddresses() {
    settings_.peerAddress = readAddress("peer_address");
    settings_.httpAddress = readAddress("http_address");
    source_.forEach("seeds", "give an array of NODE_ID@PEER_ADDRESS texts.",
                    [this](const toml::node& value, const std::string& key) {
                      const auto text = value.value_exact<std::string>();
                      const auto seed = parseSeed(text.value_or(""));
                      if (!seed) {
                        source_.report(value, key, describeFound(value), kSeedRemedy);
                        return;
                      }
                      settings_.seeds.push_back(*seed);
                    });
  }

  SocketAddress readAddress(const std::string& key) {
    const auto text = source_.string(key, kAddressRemedy, true);
    if (!text) {
      return {};
    }
    const auto address = parseSocketAddress(*text);
    if (!address) {
      source_.reportKey(key, describeFound(*source_.root().get(key)), kAddressRemedy);
    }
    return address.value_or(SocketAddress{});
  }

  void readClusterKey() {
    const auto text = source_.string("cluster_key", kClusterKeyRemedy, true);
    if (!text) {
      return;
    }
    const auto secret = decodeSecret(*text);
    if (!secret) {
      source_.reportKey("cluster_key", "holds no whole hex bytes after \"hex:\"",
                        kClusterKeyRemedy);
      return;
    }
    if (secret->size() < kMinimumClusterKeyBytes) {
      source_.reportKey("cluster_key", "has only " + std::to_string(secret->size()) + " bytes",
                        kClusterKeyRemedy);
    }
    settings_.clusterKey = *secret;
  }

  void readPlatform() {
    const std::string remedy = "give http://IP-NUMBER:PORT of the platform's object API.";
    const auto url = source_.string("platform_url", remedy, false);
    if (!url || url->empty()) {
      return;
    }
    if (!isPlatformUrl(*url)) {
      source_.reportKey("platform_url", describeFound(*source_.root().get("platform_url")), remedy);
    }
    settings_.platformUrl = *url;
  }

  static bool isPlatformUrl(const std::string& text) {
    try {
      const Poco::URI uri(text);
      const SocketAddress address{uri.getHost(), uri.getPort()};
      return uri.getScheme() == "http" && uri.getPathAndQuery().size() <= 1 &&
             parseSocketAddress(formatSocketAddress(address)).has_value();
    } catch (const Poco::Exception&) {
      return false;
    }
  }

  void readOperatorKeys() {
    source_.forEach("operator_keys", "give an array of strings.",
                    [this](const toml::node& value, const std::string& key) {
                      if (const auto bearer = readBearerKey(value, key)) {
                        settings_.operatorKeys.push_back(*bearer);
                      }
                    });
  }

  void readTenantKeys() {
    source_.forEach("tenant_keys", kTenantKeysRemedy,
                    [this](const toml::node& value, const std::string& key) {
                      const toml::table* entry = value.as_table();
                      if (entry == nullptr) {
                        source_.report(value, key, "is no table", kTenantKeysRemedy);
                        return;
                      }
                      readTenantKey(*entry, key);
                    });
  }

  void readTenantKey(const toml::table& entry, const std::string& key) {
    source_.reportUnknownKeys(entry, key + ".", {"key", "tenant"});
    const toml::node* bearer = entry.get("key");
    const toml::node* tenant = entry.get("tenant");
    if (bearer == nullptr || tenant == nullptr) {
      source_.report(entry, key, "lacks key or tenant", kTenantKeysRemedy);
      return;
    }
    const auto name = tenant->value_exact<std::string>();
    if (!name || !isName(*name)) {
      source_.report(*tenant, key + ".tenant", describeFound(*tenant), kNameRemedy);
      return;
    }
    if (const auto text = readBearerKey(*bearer, key + ".key")) {
      settings_.tenantKeys.push_back(TenantKey{*text, TenantId(*name)});
    }
  }

  std::optional<std::string> readBearerKey(const toml::node& value, const std::string& key) {
    auto text = value.value_exact<std::string>();
    if (!text || !isBearerKey(*text)) {
      source_.report(value, key, "is no usable key", kBearerKeyRemedy);
      return std::nullopt;
    }
    if (!bearerKeys_.insert(*text).second) {
      source_.report(value, key, "is given more than once", kBearerKeyRemedy);
      return std::nullopt;
    }
    return text;
  }

  void readLog() {
    const std::string formats = "give \"text\" or \"json\".";
    const auto format = source_.string("log_format", formats, false).value_or("text");
    if (format != "text" && format != "json") {
      source_.reportKey("log_format", describeFound(*source_.root().get("log_format")), formats);
    }
    settings_.log.format = format == "json" ? LogFormat::kJson : LogFormat::kText;
    const std::string levels = "give \"debug\", \"info\", \"warning\" or \"error\".";
    const auto name = source_.string("log_level", levels, false).value_or("info");
    const auto level = parseLogLevel(name);
    if (!level) {
      source_.reportKey("log_level", describeFound(*source_.root().get("log_level")), levels);
    }
    settings_.log.level = level.value_or(LogLevel::kInfo);
  }

  void readKnobs() {
    std::vector<std::string> names;
    for (const KnobDescription& knob : knobDescriptions()) {
      names.push_back(knob.name);
    }
    if (const toml::table* knobs = source_.root()["knobs"].as_table()) {
      source_.reportUnknownKeys(*knobs, "knobs.", names);
    }
    source_.forEachEntry("knobs", "give a table, e.g. [knobs] and lines of name = number.",
                         [this, &names](const toml::node& value, const std::string& name) {
                           if (std::find(names.begin(), names.end(), name) != names.end()) {
                             readKnob(value, name);
                           }
                         });
  }

  void readKnob(const toml::node& value, const std::string& name) {
    const std::string key = "knobs." + name;
    if (!value.is_number()) {
      source_.report(value, key, describeFound(value), "give a number.");
      return;
    }
    const auto outcome = setKnob(settings_.knobs, name, value.value<double>().value_or(0));
    if (!isOk(outcome)) {
      source_.report(value, key, describeFound(value), errorOf(outcome).message);
    }
  }

  TomlSource& source_;
  Settings settings_;
  std::set<std::string> bearerKeys_;
};

}  // namespace

const std::vector<std::string>& settingsKeys() {
  static const std::vector<std::string> kKeys = {
      "node_id",     "zone",      "region",         "peer_address",  "http_address",
      "cluster_key", "seeds",     "platform_url",   "operator_keys", "tenant_keys",
      "log_format",  "log_level", "worker_threads", "knobs"};
  return kKeys;
}

std::string toString(const SettingsProblem& problem) {
  const std::string key = problem.key.empty() ? "" : problem.key + " ";
  return problem.place + ": " + key + problem.found + "; " + problem.remedy;
}

SettingsCheck checkSettings(const std::string& path, const SettingsOverrides& overrides) {
  TomlSource source(path, overrides);
  SettingsCheck check;
  if (source.readable()) {
    check.settings = SettingsReader(source).read();
  }
  check.problems = source.problems();
  return check;
}

Result<Settings> loadSettings(const std::string& path, const SettingsOverrides& overrides) {
  SettingsCheck check = checkSettings(path, overrides);
  if (check.problems.empty()) {
    return std::move(check.settings);
  }
  std::string message;
  for (const SettingsProblem& problem : check.problems) {
    message += (message.empty() ? "" : "\n") + toString(problem);
  }
  return Error{ErrorKind::kInvalidRequest, message, RunState::kNotRun, std::nullopt};
}

}  // namespace fernmoor
