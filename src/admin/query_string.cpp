#include "admin/query_string.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <utility>

namespace beechhill::admin {
namespace {

constexpr std::size_t kEscapeLength = 3;  // length of an escape such as "%2F" in bytes
constexpr int kHexadecimal = 16;

struct RawParameter {
  std::string_view name;
  std::optional<std::string_view> value;  // the undecoded value; absent if there is no '='
};

// Removes the first parameter from the front of `query` and returns it.
RawParameter take_parameter(std::string_view& query) {
  const std::string_view text = query.substr(0, query.find('&'));
  query.remove_prefix(std::min(query.size(), text.size() + 1));
  const auto equals = text.find('=');
  if (equals == std::string_view::npos) {
    return {text, std::nullopt};
  }
  return {text.substr(0, equals), text.substr(equals + 1)};
}

}  // namespace

std::optional<std::string> percent_decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (text.size() - i < kEscapeLength) {
      return std::nullopt;
    }
    unsigned char byte = 0;
    const char* const digits = text.data() + i + 1;
    const char* const end = text.data() + i + kEscapeLength;
    const auto [stop, error] = std::from_chars(digits, end, byte, kHexadecimal);
    if (error != std::errc{} || stop != end) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byte);
    i += kEscapeLength - 1;
  }
  return decoded;
}

std::optional<QueryParameters> parse_query(std::string_view query) {
  QueryParameters parameters;
  while (!query.empty()) {
    const RawParameter raw = take_parameter(query);
    if (raw.name.empty() || !raw.value) {
      return std::nullopt;
    }
    std::optional<std::string> value = percent_decode(*raw.value);
    if (!value || !parameters.emplace(std::string(raw.name), std::move(*value)).second) {
      return std::nullopt;
    }
  }
  return parameters;
}

std::optional<std::string> find_single_parameter(std::string_view query, std::string_view name) {
  std::optional<std::string> found;
  while (!query.empty()) {
    const RawParameter raw = take_parameter(query);
    if (raw.name != name) {
      continue;
    }
    if (found || !raw.value) {
      return std::nullopt;
    }
    found = percent_decode(*raw.value);
    if (!found || found->empty()) {
      return std::nullopt;
    }
  }
  return found;
}

}  // namespace beechhill::admin
