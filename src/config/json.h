// Typed reading of JSON objects. Each error names the key that is wrong. A null counts as absent.
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

/// What is wrong with a JSON text. what() is "KEY: REASON", behind a location where it has one.
class JsonError : public std::runtime_error {
 public:
  /// `offset`: of the faulty value in the text, in bytes; absent where it is unknown.
  JsonError(std::string key, std::string reason, std::optional<std::size_t> offset = {},
            const std::string& location = "");

  const std::string& key() const { return key_; }
  const std::string& reason() const { return reason_; }
  const std::optional<std::size_t>& offset() const { return offset_; }

  /// The same error with `location`, such as "config.json:3", in front.
  JsonError at(const std::string& location) const { return {key_, reason_, offset_, location}; }

 private:
  std::string key_;
  std::string reason_;
  std::optional<std::size_t> offset_;
};

/// Throws a JsonError. `at`: the value that is wrong, or the object that lacks one.
[[noreturn]] void throw_json_error(const std::string& key, const std::string& reason,
                                   const Json::Value* at = nullptr);

/// Parses `text` strictly: nothing may follow the value, and nesting is bounded. Throws a JsonError
/// whose key is `name`.
Json::Value parse(const char* begin, const char* end, const std::string& name);

/// The member `key` of `object`; null where it is absent. Throws JsonError where `object` is none.
const Json::Value* find_member(const Json::Value& object, const char* key);
/// Like find_member(), but throws where the member is absent.
const Json::Value& require_member(const Json::Value& object, const char* key);
/// A member that is an object.
const Json::Value& require_object(const Json::Value& object, const char* key);
/// A member that is an array of objects.
const Json::Value& require_array(const Json::Value& object, const char* key);

/// `value` as a T, which is one of those below. Throws JsonError for `key` where it is of another
/// type or out of T's range. A Duration is a number of microseconds.
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

/// The member `key` of `object` as a T; must be there.
template <typename T>
T get_member(const Json::Value& object, const char* key) {
  return convert<T>(require_member(object, key), key);
}

/// The member `key` of `object` as a T, or `fallback` where it is absent.
template <typename T>
T get_member(const Json::Value& object, const char* key, T fallback) {
  const Json::Value* value = find_member(object, key);
  return value != nullptr ? convert<T>(*value, key) : fallback;
}

}  // namespace beechhill::config
