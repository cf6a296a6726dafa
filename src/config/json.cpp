#include "config/json.h"

#include <algorithm>
#include <memory>

namespace beechhill::config {
namespace {

constexpr int kMaxNesting = 64;

std::unique_ptr<Json::CharReader> make_strict_reader() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxNesting;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

void require(bool condition, const char* reason, const Json::Value& value, const char* key) {
  if (!condition) {
    throw_json_error(key, reason, &value);
  }
}

}  // namespace

JsonError::JsonError(std::string key, std::string reason, std::optional<std::size_t> offset,
                     const std::string& location)
    : std::runtime_error((location.empty() ? "" : location + ": ") + key + ": " + reason),
      key_(std::move(key)),
      reason_(std::move(reason)),
      offset_(offset) {
}

void throw_json_error(const std::string& key, const std::string& reason, const Json::Value* at) {
  std::optional<std::size_t> offset;
  // Only values that were parsed from a text have offsets.
  if (at != nullptr && at->getOffsetLimit() > 0) {
    offset = static_cast<std::size_t>(at->getOffsetStart());
  }
  throw JsonError(key, reason, offset);
}

Json::Value parse(const char* begin, const char* end, const std::string& name) {
  static const std::unique_ptr<Json::CharReader> kReader = make_strict_reader();
  Json::Value value;
  std::string errors;
  try {
    if (kReader->parse(begin, end, &value, &errors)) {
      return value;
    }
  } catch (const Json::Exception& error) {
    errors = error.what();  // The text is nested deeper than kMaxNesting.
  }
  std::replace(errors.begin(), errors.end(), '\n', ' ');
  throw_json_error(name, "not JSON: " + errors);
}

const Json::Value* find_member(const Json::Value& object, const char* key) {
  require(object.isObject(), "must be a member of a JSON object", object, key);
  const Json::Value* value = object.find(key, key + std::char_traits<char>::length(key));
  return value != nullptr && !value->isNull() ? value : nullptr;
}

const Json::Value& require_member(const Json::Value& object, const char* key) {
  if (const Json::Value* value = find_member(object, key)) {
    return *value;
  }
  throw_json_error(key, "missing", &object);
}

const Json::Value& require_object(const Json::Value& object, const char* key) {
  const Json::Value& value = require_member(object, key);
  require(value.isObject(), "not a JSON object", value, key);
  return value;
}

const Json::Value& require_array(const Json::Value& object, const char* key) {
  const Json::Value& value = require_member(object, key);
  require(value.isArray(), "not an array", value, key);
  for (const Json::Value& item : value) {
    require(item.isObject(), "not an array of JSON objects", item, key);
  }
  return value;
}

template <>
bool convert<bool>(const Json::Value& value, const char* key) {
  require(value.isBool(), "not true or false", value, key);
  return value.asBool();
}

template <>
std::string convert<std::string>(const Json::Value& value, const char* key) {
  require(value.isString(), "not a string", value, key);
  return value.asString();
}

template <>
double convert<double>(const Json::Value& value, const char* key) {
  require(value.isNumeric(), "not a number", value, key);
  return value.asDouble();
}

template <>
Duration convert<Duration>(const Json::Value& value, const char* key) {
  require(value.isInt64(), "not an integer that fits into 64 bits", value, key);
  return Duration(value.asInt64());
}

// A negative number is converted to its two's complement, because writers with signed 64-bit
// integers write values of 2^63 and above as negative numbers.
template <>
std::uint64_t convert<std::uint64_t>(const Json::Value& value, const char* key) {
  if (value.isInt64()) {
    return static_cast<std::uint64_t>(value.asInt64());
  }
  require(value.isUInt64(), "not an integer that fits into 64 bits", value, key);
  return value.asUInt64();
}

template <>
std::uint32_t convert<std::uint32_t>(const Json::Value& value, const char* key) {
  require(value.isUInt(), "not an integer from 0 to 4294967295", value, key);
  return value.asUInt();
}

}  // namespace beechhill::config
