// State that is kept in a file: one line of JSON and one with its checksum (xxHash64). It is read
// back whole or not at all.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace beechhill::config {

// `is` and `format` say what it is, and in which version; `precision`: digits of its numbers.
std::string encode_checksummed(Json::Value root, const char* is, int format, int precision = 17);
// Nothing where it is torn, or not of that kind and version.
std::optional<Json::Value> decode_checksummed(std::string_view text, const char* is, int format);

}  // namespace beechhill::config
