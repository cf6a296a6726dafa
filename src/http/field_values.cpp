#include "http/field_values.h"

#include <charconv>
#include <cmath>

#include "http/syntax.h"

namespace beechhill::http {
namespace {

constexpr std::string_view kReportPrefix = "TEXT ";
constexpr int kMillisecondsPerSecond = 1000;
constexpr std::size_t kDecimals = 3;

std::optional<double> parse_finite(std::string_view text) {
  double value = 0;
  const char* const begin = text.data();
  const char* const end = begin + text.size();
  const auto [stop, error] = std::from_chars(begin, end, value);
  if (error != std::errc{} || stop != end || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::optional<std::uint64_t> parse_unsigned(std::string_view text) {
  std::uint64_t value = 0;
  const char* const begin = text.data();
  const char* const end = begin + text.size();
  const auto [stop, error] = std::from_chars(begin, end, value);
  if (text.empty() || error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> find_load_value(std::string_view report, std::string_view column) {
  report = trim(report);
  if (!report.starts_with(kReportPrefix)) {
    return std::nullopt;
  }
  report.remove_prefix(kReportPrefix.size());
  while (!report.empty()) {
    const std::string_view item = take_list_item(report);
    const auto equals = item.find('=');
    if (equals != std::string_view::npos && trim(item.substr(0, equals)) == column) {
      return parse_finite(trim(item.substr(equals + 1)));
    }
  }
  return std::nullopt;
}

std::string format_retry_after(std::chrono::microseconds duration) {
  const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  std::string decimals = std::to_string(milliseconds % kMillisecondsPerSecond);
  decimals.insert(0, kDecimals - decimals.size(), '0');
  return std::to_string(milliseconds / kMillisecondsPerSecond) + "." + decimals;
}

}  // namespace beechhill::http
