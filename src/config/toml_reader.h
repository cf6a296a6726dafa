// Typed reading of TOML tables for the operator file, scenarios and experiments. Every fault names
// the file, the line and the key; a key that nobody asked for is a fault too.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::config {

struct TomlError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses `text`. Throws TomlFault with `file` and the line.
toml::table parse_toml(std::string_view text, const std::string& file);
// Reads and parses a file of 1 MiB at most. Throws TomlFault.
toml::table load_toml(const std::string& path);

// "250ms", "1.5s", "2m", "1h", "70us", "30ns"; nothing where that is no span of at most a year.
std::optional<Duration> parse_span(std::string_view text);

struct Range {  // from which something is drawn evenly
  double from = 0, to = 0;
};

// One table. The caller asks for each key it knows, then calls finish(), which refuses all others.
// Borrows the table, which must outlive it.
class TomlReader {
 public:
  TomlReader(const toml::table& table, std::string file, std::string path = "");

  bool has(std::string_view key) const { return table_.contains(key); }
  // Each takes what counts where the key is absent, and inclusive bounds.
  bool flag(std::string_view key, bool otherwise);
  double number(std::string_view key, double otherwise, double least, double most);
  std::int64_t integer(std::string_view key, std::int64_t otherwise, std::int64_t least,
                       std::int64_t most);
  std::string text(std::string_view key, std::string otherwise);
  // One of `words`, as its index.
  std::size_t word(std::string_view key, std::size_t otherwise,
                   const std::vector<std::string>& words);
  Duration span(std::string_view key, Duration otherwise, Duration least = Duration{0});
  Range range(std::string_view key, Range otherwise, double least, double most);
  std::vector<std::string> texts(std::string_view key);
  // An absent table reads as an empty one; an absent array of tables as none.
  TomlReader table(std::string_view key);
  std::vector<TomlReader> tables(std::string_view key);
  const toml::node* raw(std::string_view key);

  void finish() const;
  [[noreturn]] void fault(std::string_view key, const std::string& what) const;

 private:
  const toml::node* find(std::string_view key);

  const toml::table& table_;
  std::string file_, path_;
  std::set<std::string, std::less<>> asked_;
};

}  // namespace beechhill::config
