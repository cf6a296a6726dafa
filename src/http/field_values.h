// Values of single header fields: numbers, load reports and Retry-After.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::http {

/// The number that `text` is. Nothing where it holds something other than decimal digits, or does
/// not fit.
std::optional<std::uint64_t> parse_unsigned(std::string_view text);

/// The value of `column` in a load report such as "TEXT inflight=7, util=0.61". Nothing where it is
/// absent or no finite number. Its range is not checked.
std::optional<double> find_load_value(std::string_view report, std::string_view column);

/// `duration` as the value of Retry-After, in seconds with three decimals, rounded up.
std::string retry_after(std::chrono::microseconds duration);

}  // namespace beechhill::http
