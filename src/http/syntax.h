// Character classes and basic grammar rules of HTTP fields (RFC 9110, section 5.6).
#pragma once

#include <string_view>

namespace beechhill::http {

inline constexpr std::string_view kLineEnd = "\r\n";

/// Returns whether `a` and `b` are equal without regard to the case of ASCII letters.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Returns `text` without leading and trailing spaces and tabs.
std::string_view trim(std::string_view text);

/// Returns whether `text` is a token: one or more ASCII letters, digits and characters of
/// "!#$%&'*+-.^_`|~".
bool is_token(std::string_view text);

/// Returns whether `text` contains no control characters and no whitespace. Bytes over 0x7f are
/// accepted.
bool is_visible(std::string_view text);

/// Like is_visible(), but also accepts spaces and tabs.
bool is_field_value(std::string_view text);

/// Removes the first item from a comma-separated `list` and returns it, trimmed.
std::string_view take_list_item(std::string_view& list);

}  // namespace beechhill::http
