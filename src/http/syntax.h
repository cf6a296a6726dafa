// The character classes and small grammars that HTTP fields are made of (RFC 9110, section 5.6).
#pragma once

#include <string_view>

namespace beechhill::http {

inline constexpr std::string_view kLineEnd = "\r\n";

/// Compares ASCII letters in any case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// `text` without the spaces and tabs around it.
std::string_view trim(std::string_view text);

/// Whether `text` is a token: not empty, and of letters, digits and "!#$%&'*+-.^_`|~" alone.
bool is_token(std::string_view text);

/// Whether `text` holds no control characters and no whitespace. Bytes over 0x7f are accepted.
bool is_visible(std::string_view text);

/// Like is_visible(), but spaces and tabs are accepted too.
bool is_field_value(std::string_view text);

/// Takes the next item off the front of a comma-separated `list`, trimmed.
std::string_view take_list_item(std::string_view& list);

}  // namespace beechhill::http
