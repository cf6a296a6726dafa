// Typed reading of JSON objects: each fault names its key. A null counts as absent.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <type_traits>

#include "beechhill/balancer.h"

namespace beechhill::config {

struct JsonError : std::runtime_error {
  explicit JsonError(const std::string& text, std::ptrdiff_t at = -1)
      : std::runtime_error(text), offset(at) {}
  std::ptrdiff_t offset;  // of the faulty value in what was parsed; negative: unknown
};
// `at`: the value that is wrong, or the object that lacks one.
[[noreturn]] inline void throw_json_error(const std::string& key, const std::string& what,
                                          const Json::Value* at = nullptr) {
  throw JsonError(key + ": " + what, at && at->getOffsetLimit() > 0 ? at->getOffsetStart() : -1);
}

inline const Json::Value* find_member(const Json::Value& object, const char* key) {
  if (!object.isObject()) {
    throw_json_error(key, "not in an object", &object);
  }
  const Json::Value* value = object.find(key, key + std::char_traits<char>::length(key));
  return value && !value->isNull() ? value : nullptr;
}
inline const Json::Value& require_member(const Json::Value& object, const char* key) {
  if (const Json::Value* value = find_member(object, key)) {
    return *value;
  }
  throw_json_error(key, "missing", &object);
}

template <typename T>
T convert(const Json::Value& value, const char* key) {
  if constexpr (std::is_same_v<T, bool>) {
    if (!value.isBool()) {
      throw_json_error(key, "not a bool", &value);
    }
    return value.asBool();
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!value.isString()) {
      throw_json_error(key, "not a string", &value);
    }
    return value.asString();
  } else if constexpr (std::is_same_v<T, double>) {
    if (!value.isNumeric()) {
      throw_json_error(key, "not a number", &value);
    }
    return value.asDouble();
  } else if constexpr (std::is_same_v<T, Duration>) {
    if (!value.isInt64()) {
      throw_json_error(key, "not an integer", &value);
    }
    return Duration(value.asInt64());
  } else if constexpr (std::is_same_v<T, std::uint64_t>) {
    if (value.isInt64()) {
      return static_cast<std::uint64_t>(value.asInt64());
    }
    if (!value.isUInt64()) {
      throw_json_error(key, "not an integer", &value);
    }
    return value.asUInt64();
  } else {
    static_assert(std::is_same_v<T, std::uint32_t>);
    if (!value.isUInt()) {
      throw_json_error(key, "not a small non-negative integer", &value);
    }
    return value.asUInt();
  }
}
template <typename T>
T get_member(const Json::Value& object, const char* key) {
  return convert<T>(require_member(object, key), key);
}
template <typename T>
T get_member(const Json::Value& object, const char* key, T otherwise) {
  const Json::Value* value = find_member(object, key);
  return value ? convert<T>(*value, key) : otherwise;
}
inline const Json::Value& require_object(const Json::Value& object, const char* key) {
  const Json::Value& value = require_member(object, key);
  if (!value.isObject()) {
    throw_json_error(key, "not an object", &value);
  }
  return value;
}
inline const Json::Value& require_array(const Json::Value& object, const char* key) {
  const Json::Value& value = require_member(object, key);
  if (!value.isArray()) {
    throw_json_error(key, "not an array", &value);
  }
  for (const Json::Value& row : value) {
    if (!row.isObject()) {
      throw_json_error(key, "holds something other than objects", &row);
    }
  }
  return value;
}

// Strict: nothing may follow the value, and nesting is bounded. Throws JsonFault naming `what`.
Json::Value parse(const char* begin, const char* end, const std::string& what);

}  // namespace beechhill::config
