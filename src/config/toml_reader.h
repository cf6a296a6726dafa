// Typed access to TOML tables, for the operator file, scenarios and experiments. Every error names
// the file, the line and the key. An unknown key is an error.
#pragma once

#include <toml++/toml.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::config {

/// An error in a TOML file. what() is "FILE:LINE: KEY: REASON", without the parts that do not
/// apply.
class TomlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Parses `text`. Throws TomlError with the name `file` and the line.
toml::table parse_toml(std::string_view text, const std::string& file);
/// Reads and parses a file of at most 1 MiB. Throws TomlError.
toml::table load_toml(const std::string& path);

/// Parses a duration such as "250ms", "1.5s", "2m", "1h", "70us" or "30ns" and rounds it to
/// microseconds. Returns nothing if `text` is not a duration or is longer than 366 days.
std::optional<Duration> parse_duration(std::string_view text);

/// Bounds of a uniform distribution; equal bounds stand for a constant.
struct Range {
  double from = 0;
  double to = 0;
};

/// Reads one table. The caller reads each key that it knows and then calls finish(), which rejects
/// all other keys. The table must outlive the reader.
class TomlReader {
 public:
  /// `path`: prefix of the keys in error messages, such as "log.".
  TomlReader(const toml::table& table, std::string file, std::string path = "");

  bool has(std::string_view key) const { return table_.contains(key); }

  // Each of these functions returns `fallback` if the key is absent, and throws TomlError if the
  // value has another type or is outside the bounds, which are inclusive.
  bool boolean(std::string_view key, bool fallback);
  double number(std::string_view key, double fallback, double min, double max);
  std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t min,
                       std::int64_t max);
  std::string string(std::string_view key, std::string fallback);
  /// Returns the index in `choices` of the value, which must be one of them.
  std::size_t choice(std::string_view key, std::size_t fallback,
                     const std::vector<std::string>& choices);
  Duration duration(std::string_view key, Duration fallback, Duration min = Duration{0});
  /// Reads one number, or an array of two numbers with the smaller one first.
  Range range(std::string_view key, Range fallback, double min, double max);

  // Each of these functions returns an empty array or table if the key is absent.
  std::vector<std::string> strings(std::string_view key);
  TomlReader table(std::string_view key);
  std::vector<TomlReader> tables(std::string_view key);

  /// Returns the value as a node of any type, or null if the key is absent. The node is owned by
  /// the table.
  const toml::node* find(std::string_view key);

  /// Throws TomlError if the table contains a key that was not read.
  void finish() const;
  /// Throws a TomlError for `key`, with its line if the table contains it.
  [[noreturn]] void throw_error(std::string_view key, const std::string& reason) const;

 private:
  const toml::table& table_;
  std::string file_;
  std::string path_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace beechhill::config
