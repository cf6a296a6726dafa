#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>

#include <cmath>

#include "log/log.h"

namespace beechhill::log {
namespace {

const char* level_name(Level level) {
  constexpr const char* kNames[] = {"debug", "info", "warning", "error", "off"};
  return kNames[static_cast<std::size_t>(level)];
}

// Returns whether `text` can be written as a logfmt value without quotes.
bool is_bare(std::string_view text) {
  if (text.empty()) {
    return false;
  }
  for (const char c : text) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
      return false;
    }
  }
  return true;
}

// Quotes `text` with jsoncpp, which escapes quotes, control bytes and invalid UTF-8, so that the
// value cannot end the line.
std::string quote(std::string_view text) {
  static const Json::StreamWriterBuilder kBuilder = [] {
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    return compact;
  }();
  return Json::writeString(kBuilder, Json::Value(text.data(), text.data() + text.size()));
}

std::string format_value(Format, bool value) {
  return value ? "true" : "false";
}
std::string format_value(Format, std::int64_t value) {
  return std::to_string(value);
}
std::string format_value(Format, std::uint64_t value) {
  return std::to_string(value);
}
// Formats a floating-point value. JSON cannot represent infinity and NaN, so they are written as
// null.
std::string format_value(Format format, double value) {
  return format == Format::kJson && !std::isfinite(value) ? "null" : fmt::format("{:g}", value);
}
std::string format_value(Format format, std::string_view value) {
  return format == Format::kJson || !is_bare(value) ? quote(value) : std::string(value);
}

std::string format_value(Format format, const Field& field) {
  return std::visit([format](const auto& value) { return format_value(format, value); },
                    field.value);
}

std::string format_time(std::chrono::system_clock::time_point at) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch());
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(at)),
                     milliseconds.count() % 1000);
}

std::string json_line(Level level, std::string_view name, const Field* fields, std::size_t count,
                      const std::chrono::system_clock::time_point* at) {
  std::string line = "{";
  if (at != nullptr) {
    line += "\"time\":\"" + format_time(*at) + "\",";
  }
  line += fmt::format("\"level\":\"{}\",\"event\":{}", level_name(level), quote(name));
  for (std::size_t i = 0; i < count; ++i) {
    line += fmt::format(",{}:{}", quote(fields[i].name), format_value(Format::kJson, fields[i]));
  }
  return line + "}";
}

std::string logfmt_line(Level level, std::string_view name, const Field* fields, std::size_t count,
                        const std::chrono::system_clock::time_point* at) {
  std::string line;
  if (at != nullptr) {
    line = format_time(*at) + " ";
  }
  line += name;
  if (level >= Level::kWarning) {
    line += fmt::format(" level={}", level_name(level));
  }
  for (std::size_t i = 0; i < count; ++i) {
    line += fmt::format(" {}={}", fields[i].name, format_value(Format::kLogfmt, fields[i]));
  }
  return line;
}

}  // namespace

std::string format_line(Format format, Level level, std::string_view name, const Field* fields,
                        std::size_t count, const std::chrono::system_clock::time_point* at) {
  return format == Format::kJson ? json_line(level, name, fields, count, at)
                                 : logfmt_line(level, name, fields, count, at);
}

}  // namespace beechhill::log
