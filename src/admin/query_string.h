// Parses the query of a URL into parameters, with percent-decoding. Does no I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::admin {

using QueryParameters = std::map<std::string, std::string>;

/// Decodes `text` (RFC 3986, section 2.1). Returns nothing if an escape is truncated or contains a
/// byte that is not a hexadecimal digit.
std::optional<std::string> percent_decode(std::string_view text);

/// Returns all parameters of `query` with decoded values. Returns nothing if a parameter has no
/// name or no value, is repeated, or is encoded incorrectly.
std::optional<QueryParameters> parse_query(std::string_view query);

/// Returns the decoded value of the parameter `name` and ignores all others. Returns nothing if the
/// parameter is missing, empty, repeated or encoded incorrectly.
std::optional<std::string> find_single_parameter(std::string_view query, std::string_view name);

}  // namespace beechhill::admin
