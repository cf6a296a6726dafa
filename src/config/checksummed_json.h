// State that is kept in a file, as two lines: one JSON object, and the decimal xxHash64 of that
// line. A file that is torn or damaged fails the checksum, so it is read back completely or not at
// all.
#pragma once

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace beechhill::config {

/// Significant decimal digits that give every double back exactly.
inline constexpr int kExactDigits = 17;

/// Returns `root` as text. `magic` names the kind of state and `format` its version; both are
/// stored in the object. Numbers keep `significant_digits`.
std::string encode_checksummed(Json::Value root, const char* magic, int format,
                               int significant_digits = kExactDigits);

/// Returns the object, or nothing where `text` fails its checksum, is no JSON object, or is not of
/// the kind `magic` and the version `format`.
std::optional<Json::Value> decode_checksummed(std::string_view text, const char* magic, int format);

}  // namespace beechhill::config
