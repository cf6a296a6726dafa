// The query of a URL: its parameters and their percent-encoding. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::admin {

using QueryParameters = std::map<std::string, std::string>;

/// Decodes `text` (RFC 3986, section 2.1). Nothing where an escape is cut short or holds something
/// other than hexadecimal digits.
std::optional<std::string> percent_decode(std::string_view text);

/// All parameters of `query`, values decoded. Nothing where one has no name or no value, comes
/// twice or is wrongly encoded.
std::optional<QueryParameters> parse_query(std::string_view query);

/// The value of the one parameter called `name`, decoded; others are not looked at. Nothing where
/// it is missing, empty, repeated or wrongly encoded.
std::optional<std::string> find_single_parameter(std::string_view query, std::string_view name);

}  // namespace beechhill::admin
