#include "config/toml_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <sstream>

namespace beechhill::config {
namespace {

constexpr std::streamsize kMaxFileBytes = 1 << 20;
constexpr double kMaxDurationMicroseconds = 366.0 * 86'400e6;

// Read in place of a table that is absent, so that all of its values have their defaults.
const toml::table kEmptyTable;

struct DurationUnit {
  std::string_view name;
  double microseconds;
};
constexpr DurationUnit kDurationUnits[] = {
    {"ns", 1e-3}, {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6},
};

// Returns the value of an integer or a floating-point number, or nothing for other types. An
// integer that a double cannot represent is rounded.
std::optional<double> as_number(const toml::node& node) {
  if (const toml::value<std::int64_t>* integer = node.as_integer()) {
    return static_cast<double>(integer->get());
  }
  if (const toml::value<double>* number = node.as_floating_point()) {
    return number->get();
  }
  return std::nullopt;
}

// Reads a number or an array of two numbers; returns nothing for anything else.
std::optional<Range> as_range(const toml::node& node) {
  const toml::array* const bounds = node.as_array();
  const bool is_pair = bounds != nullptr && bounds->size() == 2;
  const std::optional<double> from = as_number(is_pair ? *bounds->get(0) : node);
  const std::optional<double> to = as_number(is_pair ? *bounds->get(1) : node);
  if (!from || !to) {
    return std::nullopt;
  }
  return Range{*from, *to};
}

// Returns "FILE:LINE". A table may be merged from several files, so the path in `source`, if there
// is one, takes precedence over `file`.
std::string location(const std::string& file, const toml::source_region& source) {
  if (!source.begin) {
    return file;
  }
  const std::string& path = source.path && !source.path->empty() ? *source.path : file;
  return path + ":" + std::to_string(source.begin.line);
}

}  // namespace

toml::table parse_toml(std::string_view text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw TomlError(location(file, error.source()) + ": " + std::string(error.description()));
  }
}

toml::table load_toml(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    throw TomlError(path + ": cannot be read");
  }
  std::string text(static_cast<std::size_t>(kMaxFileBytes) + 1, '\0');
  in.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (in.bad()) {
    throw TomlError(path + ": cannot be read");
  }
  if (in.gcount() > kMaxFileBytes) {
    throw TomlError(path + ": larger than 1 MiB");
  }
  text.resize(static_cast<std::size_t>(in.gcount()));
  return parse_toml(text, path);
}

std::optional<Duration> parse_duration(std::string_view text) {
  double value = 0;
  const char* const text_begin = text.data();
  const char* const text_end = text_begin + text.size();
  const auto [number_end, error] = std::from_chars(text_begin, text_end, value);
  if (error != std::errc()) {
    return std::nullopt;
  }
  const std::string_view name(number_end, static_cast<std::size_t>(text_end - number_end));
  const auto* const unit =
      std::find_if(std::begin(kDurationUnits), std::end(kDurationUnits),
                   [name](const DurationUnit& candidate) { return candidate.name == name; });
  if (unit == std::end(kDurationUnits)) {
    return std::nullopt;
  }
  const double microseconds = value * unit->microseconds;
  // Both comparisons are false for NaN, so it is rejected.
  const bool is_in_range = microseconds >= 0 && microseconds <= kMaxDurationMicroseconds;
  return is_in_range ? std::optional(Duration(std::llround(microseconds))) : std::nullopt;
}

TomlReader::TomlReader(const toml::table& table, std::string file, std::string path)
    : table_(table), file_(std::move(file)), path_(std::move(path)) {
}

void TomlReader::throw_error(std::string_view key, const std::string& reason) const {
  const toml::node* node = table_.get(key);
  const std::string at = location(file_, node != nullptr ? node->source() : table_.source());
  throw TomlError(at + ": " + path_ + std::string(key) + ": " + reason);
}

const toml::node* TomlReader::find(std::string_view key) {
  read_keys_.emplace(key);
  return table_.get(key);
}

bool TomlReader::boolean(std::string_view key, bool fallback) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const toml::value<bool>* const value = node->as_boolean();
  if (value == nullptr) {
    throw_error(key, "not true or false");
  }
  return value->get();
}

double TomlReader::number(std::string_view key, double fallback, double min, double max) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const std::optional<double> value = as_number(*node);
  if (!value) {
    throw_error(key, "not a number");
  }
  if (!(*value >= min && *value <= max)) {
    std::ostringstream reason;
    reason << "not from " << min << " to " << max;
    throw_error(key, reason.str());
  }
  return *value;
}

std::int64_t TomlReader::integer(std::string_view key, std::int64_t fallback, std::int64_t min,
                                 std::int64_t max) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const toml::value<std::int64_t>* const integer = node->as_integer();
  if (integer == nullptr) {
    throw_error(key, "not a whole number");
  }
  const std::int64_t value = integer->get();
  if (value < min || value > max) {
    throw_error(key, "not from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return value;
}

std::string TomlReader::string(std::string_view key, std::string fallback) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const toml::value<std::string>* const value = node->as_string();
  if (value == nullptr) {
    throw_error(key, "not a string");
  }
  return value->get();
}

std::size_t TomlReader::choice(std::string_view key, std::size_t fallback,
                               const std::vector<std::string>& choices) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  std::string list;
  for (std::size_t i = 0; i < choices.size(); ++i) {
    if (node->value<std::string>() == choices[i]) {
      return i;
    }
    list += (i > 0 ? ", " : "") + choices[i];
  }
  throw_error(key, "not one of " + list);
}

Duration TomlReader::duration(std::string_view key, Duration fallback, Duration min) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const toml::value<std::string>* const text = node->as_string();
  const std::optional<Duration> value =
      text != nullptr ? parse_duration(text->get()) : std::nullopt;
  if (!value) {
    throw_error(key, "not a duration such as \"250ms\", \"1.5s\" or \"2m\"");
  }
  if (*value < min) {
    throw_error(key, "must be at least " + std::to_string(min.count()) + "us");
  }
  return *value;
}

Range TomlReader::range(std::string_view key, Range fallback, double min, double max) {
  const toml::node* node = find(key);
  if (node == nullptr) {
    return fallback;
  }
  const std::optional<Range> range = as_range(*node);
  if (!range) {
    throw_error(key, "not a number or [least, most]");
  }
  if (!(range->from >= min && range->to <= max && range->from <= range->to)) {
    std::ostringstream reason;
    reason << "not within " << min << " to " << max << ", with the smaller number first";
    throw_error(key, reason.str());
  }
  return *range;
}

std::vector<std::string> TomlReader::strings(std::string_view key) {
  std::vector<std::string> all;
  const toml::node* node = find(key);
  if (node == nullptr) {
    return all;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    throw_error(key, "not an array of strings");
  }
  for (const toml::node& item : *array) {
    const toml::value<std::string>* const text = item.as_string();
    if (text == nullptr) {
      throw_error(key, "not an array of strings");
    }
    all.push_back(text->get());
  }
  return all;
}

TomlReader TomlReader::table(std::string_view key) {
  const toml::node* node = find(key);
  if (node != nullptr && !node->is_table()) {
    throw_error(key, "not a table");
  }
  return TomlReader(node != nullptr ? *node->as_table() : kEmptyTable, file_,
                    path_ + std::string(key) + ".");
}

std::vector<TomlReader> TomlReader::tables(std::string_view key) {
  std::vector<TomlReader> all;
  const toml::node* node = find(key);
  if (node == nullptr) {
    return all;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    throw_error(key, "not an array of tables");
  }
  for (const toml::node& item : *array) {
    if (!item.is_table()) {
      throw_error(key, "not an array of tables");
    }
    all.emplace_back(*item.as_table(), file_,
                     path_ + std::string(key) + "[" + std::to_string(all.size()) + "].");
  }
  return all;
}

void TomlReader::finish() const {
  for (const auto& [key, node] : table_) {
    if (!read_keys_.contains(key.str())) {
      throw_error(key.str(), "unknown key");
    }
  }
}

}  // namespace beechhill::config
