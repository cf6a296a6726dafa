// Typed access to JSON objects. Every error names the invalid key. A member whose value is null
// counts as absent.
#pragma once

#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "beechhill/balancer.h"

namespace beechhill::config {

/// An error in a JSON text. what() is "KEY: REASON", preceded by "LOCATION: " if there is one.
class JsonError : public std::runtime_error {
 public:
  /// `offset`: byte offset of the invalid value in the text, if known.
  JsonError(std::string key, std::string reason, std::optional<std::size_t> offset = {},
            const std::string& location = "");

  const std::string& key() const { return key_; }
  const std::string& reason() const { return reason_; }
  const std::optional<std::size_t>& offset() const { return offset_; }

  /// Returns a copy of the error with `location`, such as "config.json:3", at the front of what().
  JsonError at(const std::string& location) const { return {key_, reason_, offset_, location}; }

 private:
  std::string key_;
  std::string reason_;
  std::optional<std::size_t> offset_;
};

/// Throws a JsonError. `at`: the invalid value, or the object that lacks a member.
[[noreturn]] void throw_json_error(const std::string& key, const std::string& reason,
                                   const Json::Value* at = nullptr);

/// Parses the text from `begin` to `end`, in which nothing may follow the value and nesting is at
/// most 64 levels deep. Throws a JsonError with the key `name`.
Json::Value parse(const char* begin, const char* end, const std::string& name);

/// Returns the member `key` of `object`, or null if it is absent. Throws JsonError if `object` is
/// not a JSON object.
const Json::Value* find_member(const Json::Value& object, const char* key);
/// Like find_member(), but throws JsonError if the member is absent.
const Json::Value& require_member(const Json::Value& object, const char* key);
/// Like require_member(), but the member must be an object.
const Json::Value& require_object(const Json::Value& object, const char* key);
/// Like require_member(), but the member must be an array of objects.
const Json::Value& require_array(const Json::Value& object, const char* key);

/// Converts `value` to T, which must be one of the types below. Throws JsonError for `key` if the
/// value has another type or is out of T's range. A Duration is given in microseconds.
template <typename T>
T convert(const Json::Value& value, const char* key);
template <>
bool convert<bool>(const Json::Value& value, const char* key);
template <>
std::string convert<std::string>(const Json::Value& value, const char* key);
template <>
double convert<double>(const Json::Value& value, const char* key);
template <>
Duration convert<Duration>(const Json::Value& value, const char* key);
template <>
std::uint64_t convert<std::uint64_t>(const Json::Value& value, const char* key);
template <>
std::uint32_t convert<std::uint32_t>(const Json::Value& value, const char* key);

/// Returns the member `key` of `object` as a T. Throws JsonError if it is absent or invalid.
template <typename T>
T get_member(const Json::Value& object, const char* key) {
  return convert<T>(require_member(object, key), key);
}

/// Returns the member `key` of `object` as a T, or `fallback` if it is absent. Throws JsonError if
/// it is invalid.
template <typename T>
T get_member(const Json::Value& object, const char* key, T fallback) {
  const Json::Value* value = find_member(object, key);
  return value != nullptr ? convert<T>(*value, key) : fallback;
}

}  // namespace beechhill::config
