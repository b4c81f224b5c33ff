/// @file
/// The settings file and the flags as one TOML tree that remembers where each value came from.
#pragma once

#include <toml++/toml.h>

#include <functional>
#include <string>
#include <vector>

#include "settings/settings.h"

namespace fernmoor {

/// Reads typed values out of the tree and collects the problems it meets. Not thread-safe.
class TomlSource {
 public:
  /// Reads the file; a file that cannot be read or parsed is the first problem.
  TomlSource(const std::string& path, const SettingsOverrides& overrides);

  /// @return whether the file could be read at all.
  bool readable() const { return readable_; }
  const std::vector<SettingsProblem>& problems() const { return problems_; }

  /// @return the string at a top-level key; reports a missing required one or another type.
  std::optional<std::string> string(const std::string& key, const std::string& remedy,
                                    bool required);
  /// @return the whole number at a top-level key if it lies in [minimum, maximum].
  std::optional<int64_t> integer(const std::string& key, int64_t minimum, int64_t maximum,
                                 bool required);

  /// Called for each element of a top-level array.
  using ElementReader = std::function<void(const toml::node&, const std::string& elementKey)>;
  /// Visits the elements of an array; reports a value that is no array.
  void forEach(const std::string& key, const std::string& remedy, const ElementReader& read);
  /// Called for each entry of a top-level table.
  using EntryReader = std::function<void(const toml::node&, const std::string& name)>;
  /// Visits the entries of a table; reports a value that is no table.
  void forEachEntry(const std::string& key, const std::string& remedy, const EntryReader& read);

  /// Reports every key of the table that is not among the known ones, with the nearest known name.
  void reportUnknownKeys(const toml::table& table, const std::string& prefix,
                         const std::vector<std::string>& known);
  const toml::table& root() const { return root_; }

  /// Adds a problem at the value's place.
  void report(const toml::node& value, const std::string& key, const std::string& found,
              const std::string& remedy);
  /// Adds a problem at a top-level key, or in the file where the key is missing.
  void reportKey(const std::string& key, const std::string& found, const std::string& remedy);

 private:
  void parse();
  void applyOverrides(const SettingsOverrides& overrides);
  std::string placeOf(const toml::node& value, const std::string& key) const;

  std::string path_;
  toml::table root_;
  bool readable_ = false;
  std::vector<SettingsProblem> problems_;
};

/// @return the value as an error message shows it, e.g. `found "x"` or `found an array`.
std::string describeFound(const toml::node& value);

}  // namespace fernmoor
