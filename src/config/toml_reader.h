// Typed reading of TOML tables, for the operator file, scenarios and experiments. Each error names
// the file, the line and the key. A key that was not read is an error too.
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

/// What is wrong with a TOML file. what() is "FILE:LINE: KEY: REASON", without the parts that do
/// not apply.
class TomlError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Parses `text`. Throws TomlError with `file` and the line.
toml::table parse_toml(std::string_view text, const std::string& file);
/// Reads and parses a file of at most 1 MiB. Throws TomlError.
toml::table load_toml(const std::string& path);

/// A duration such as "250ms", "1.5s", "2m", "1h", "70us" or "30ns", rounded to microseconds.
/// Nothing where `text` is none, or is over 366 days.
std::optional<Duration> parse_duration(std::string_view text);

/// Bounds of a uniform distribution.
struct Range {
  double from = 0;
  double to = 0;
};

/// Reads one table: the caller reads each key that it knows and then calls finish(), which rejects
/// all others. The table must outlive the reader.
class TomlReader {
 public:
  /// `path`: what stands before the keys in errors, such as "log.".
  TomlReader(const toml::table& table, std::string file, std::string path = "");

  bool has(std::string_view key) const { return table_.contains(key); }

  // Each of these returns `fallback` where the key is absent, and throws TomlError where its value
  // has another type or is outside the bounds, which are inclusive.
  bool flag(std::string_view key, bool fallback);
  double number(std::string_view key, double fallback, double min, double max);
  std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t min,
                       std::int64_t max);
  std::string text(std::string_view key, std::string fallback);
  /// One of `choices`, as its index.
  std::size_t word(std::string_view key, std::size_t fallback,
                   const std::vector<std::string>& choices);
  Duration span(std::string_view key, Duration fallback, Duration min = Duration{0});
  /// One number, or an array of two with the lesser first.
  Range range(std::string_view key, Range fallback, double min, double max);

  // An absent key reads as an empty array or table.
  std::vector<std::string> texts(std::string_view key);
  TomlReader table(std::string_view key);
  std::vector<TomlReader> tables(std::string_view key);

  /// The value of any type; null where the key is absent.
  const toml::node* raw(std::string_view key);

  /// Throws TomlError where the table holds a key that was not read.
  void finish() const;
  /// Throws a TomlError for `key`, at its line where the key is there.
  [[noreturn]] void fault(std::string_view key, const std::string& reason) const;

 private:
  const toml::table& table_;
  std::string file_;
  std::string path_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace beechhill::config
