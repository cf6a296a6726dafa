// Parsing and formatting of HTTP field values: numbers, load reports and Retry-After.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::http {

/// Parses a decimal number. Returns nullopt if `text` is empty, contains anything but decimal
/// digits or exceeds 64 bits.
std::optional<std::uint64_t> parse_unsigned(std::string_view text);

/// Returns the value of `column` in a load report such as "TEXT inflight=7, util=0.61", or nullopt
/// if the column is absent or its value is not a finite number. The value's range is not
/// checked.
std::optional<double> find_load_value(std::string_view report, std::string_view column);

/// Formats `duration` as a Retry-After value: seconds with three decimals, rounded up.
std::string format_retry_after(std::chrono::microseconds duration);

}  // namespace beechhill::http
