// Encodes state for storage in a file as two lines: a JSON object, and the decimal xxHash64 of the
// first line. A truncated or corrupted file fails the checksum, so a file is decoded completely or
// not at all.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace beechhill::config {

/// The number of significant decimal digits from which every double can be restored exactly.
inline constexpr int kExactDigits = 17;

/// Encodes `root`. `magic` identifies the kind of state and `format` its version; both are stored
/// in the object. Numbers are written with `significant_digits` digits.
std::string encode_checksummed(Json::Value root, const char* magic, int format,
                               int significant_digits = kExactDigits);

/// Returns the object, or nothing if the checksum of `text` does not match, its first line is not a
/// JSON object, or its stored magic or format differs from `magic` or `format`.
std::optional<Json::Value> decode_checksummed(std::string_view text, const char* magic, int format);

}  // namespace beechhill::config
