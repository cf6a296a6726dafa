#include "config/toml_reader.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace beechhill::config {
namespace {

constexpr std::streamsize kMostBytes = 1 << 20;
const toml::table kEmpty;

std::string place(const std::string& file, const toml::source_region& at) {
  const std::string& from =
      at.path && !at.path->empty() ? *at.path : file;  // a table may be put together from files
  return at.begin ? from + ":" + std::to_string(at.begin.line) : file;
}

}  // namespace

toml::table parse_toml(std::string_view text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw TomlError(place(file, error.source()) + ": " + std::string(error.description()));
  }
}

toml::table load_toml(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    throw TomlError(path + ": cannot be read");
  }
  std::string text(static_cast<std::size_t>(kMostBytes) + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad()) {
    throw TomlError(path + ": cannot be read");
  }
  if (in.gcount() > kMostBytes) {
    throw TomlError(path + ": over 1 MiB");
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  return parse_toml(text, path);
}

std::optional<Duration> parse_span(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) {
    return std::nullopt;
  }
  const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  double micros = 0;
  if (unit == "ns") {
    micros = 1e-3;
  } else if (unit == "us") {
    micros = 1;
  } else if (unit == "ms") {
    micros = 1e3;
  } else if (unit == "s") {
    micros = 1e6;
  } else if (unit == "m") {
    micros = 60e6;
  } else if (unit == "h") {
    micros = 3600e6;
  } else {
    return std::nullopt;
  }
  const double all = value * micros;
  if (!(all >= 0 && all <= 366.0 * 86400e6)) {
    return std::nullopt;
  }
  return Duration(std::llround(all));
}

TomlReader::TomlReader(const toml::table& table, std::string file, std::string path)
    : table_(table), file_(std::move(file)), path_(std::move(path)) {
}

void TomlReader::fault(std::string_view key, const std::string& what) const {
  const toml::node* node = table_.get(key);
  const std::string at = place(file_, node ? node->source() : table_.source());
  throw TomlError(at + ": " + path_ + std::string(key) + ": " + what);
}

const toml::node* TomlReader::find(std::string_view key) {
  asked_.emplace(key);
  return table_.get(key);
}
const toml::node* TomlReader::raw(std::string_view key) {
  return find(key);
}

bool TomlReader::flag(std::string_view key, bool otherwise) {
  const toml::node* node = find(key);
  if (!node) {
    return otherwise;
  }
  if (!node->is_boolean()) {
    fault(key, "not true or false");
  }
  return *node->value<bool>();
}

double TomlReader::number(std::string_view key, double otherwise, double least, double most) {
  const toml::node* node = find(key);
  if (!node) {
    return otherwise;
  }
  if (!node->is_number()) {
    fault(key, "not a number");
  }
  const double value = *node->value<double>();
  if (!(value >= least && value <= most)) {
    std::ostringstream what;
    what << "not from " << least << " to " << most;
    fault(key, what.str());
  }
  return value;
}

std::int64_t TomlReader::integer(std::string_view key, std::int64_t otherwise, std::int64_t least,
                                 std::int64_t most) {
  const toml::node* node = find(key);
  if (!node) {
    return otherwise;
  }
  if (!node->is_integer()) {
    fault(key, "not a whole number");
  }
  const std::int64_t value = *node->value<std::int64_t>();
  if (value < least || value > most) {
    fault(key, "not from " + std::to_string(least) + " to " + std::to_string(most));
  }
  return value;
}

std::string TomlReader::text(std::string_view key, std::string otherwise) {
  const toml::node* node = find(key);
  if (!node) {
    return otherwise;
  }
  if (!node->is_string()) {
    fault(key, "not a text");
  }
  return *node->value<std::string>();
}

std::size_t TomlReader::word(std::string_view key, std::size_t otherwise,
                             const std::vector<std::string>& words) {
  const toml::node* node = find(key);
  if (!node) {
    return otherwise;
  }
  std::string all;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (node->value<std::string>() == words[i]) {
      return i;
    }
    all += (i ? ", " : "") + words[i];
  }
  fault(key, "not one of " + all);
}

Duration TomlReader::span(std::string_view key, Duration otherwise, Duration least) {
  const toml::node* node = find(key);
  if (!node) {
    return otherwise;
  }
  const auto value =
      node->is_string() ? parse_span(*node->value<std::string_view>()) : std::nullopt;
  if (!value) {
    fault(key, "not a span of time such as \"250ms\", \"1.5s\" or \"2m\"");
  }
  if (*value < least) {
    fault(key, "under " + std::to_string(least.count()) + "us");
  }
  return *value;
}

Range TomlReader::range(std::string_view key, Range otherwise, double least, double most) {
  const toml::node* node = find(key);
  if (!node) {
    return otherwise;
  }
  Range r;
  if (const toml::array* pair = node->as_array();
      pair && pair->size() == 2 && pair->get(0)->is_number() && pair->get(1)->is_number()) {
    r = {*pair->get(0)->value<double>(), *pair->get(1)->value<double>()};
  } else if (node->is_number()) {
    r.from = r.to = *node->value<double>();
  } else {
    fault(key, "not a number or [least, most]");
  }
  if (!(r.from >= least && r.to <= most && r.from <= r.to)) {
    std::ostringstream what;
    what << "not within " << least << " to " << most << ", the lesser first";
    fault(key, what.str());
  }
  return r;
}

std::vector<std::string> TomlReader::texts(std::string_view key) {
  std::vector<std::string> all;
  const toml::node* node = find(key);
  if (!node) {
    return all;
  }
  const toml::array* array = node->as_array();
  if (!array) {
    fault(key, "not an array of texts");
  }
  for (const toml::node& item : *array) {
    if (!item.is_string()) {
      fault(key, "not an array of texts");
    }
    all.push_back(*item.value<std::string>());
  }
  return all;
}

TomlReader TomlReader::table(std::string_view key) {
  const toml::node* node = find(key);
  if (node && !node->is_table()) {
    fault(key, "not a table");
  }
  return TomlReader(node ? *node->as_table() : kEmpty, file_, path_ + std::string(key) + ".");
}

std::vector<TomlReader> TomlReader::tables(std::string_view key) {
  std::vector<TomlReader> all;
  const toml::node* node = find(key);
  if (!node) {
    return all;
  }
  const toml::array* array = node->as_array();
  if (!array) {
    fault(key, "not an array of tables");
  }
  for (const toml::node& item : *array) {
    if (!item.is_table()) {
      fault(key, "not an array of tables");
    }
    all.emplace_back(*item.as_table(), file_,
                     path_ + std::string(key) + "[" + std::to_string(all.size()) + "].");
  }
  return all;
}

void TomlReader::finish() const {
  for (const auto& [key, node] : table_) {
    if (!asked_.contains(key.str())) {
      fault(key.str(), "unknown key");
    }
  }
}

}  // namespace beechhill::config
