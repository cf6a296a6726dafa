// What operators may call: method and path to a call, or the status that says what is wrong. No
// I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace beechhill::admin {

enum class CommandType {
  kReady,
  kTelemetry,
  kExclude,
  kInclude,
  kDrain,
  kResume,
  kMembers,
  kMaintenanceStatus,
  kMaintenanceCommand
};

struct Command {
  int error_status = 0;  // 0: it can be carried out; else 400, 404 or 405
  CommandType type = CommandType::kReady;
  std::string target;                        // a backend's id, for kExclude and kInclude
  std::string action;                        // of kWorksOrder: the last part of its path
  std::map<std::string, std::string> query;  // of kWorks and kWorksOrder
};

// `target` in origin form: path and query.
Command parse_command(std::string_view method, std::string_view target);

// RFC 3986, section 2.1. Nothing where an escape is cut short or holds no hexadecimal digits.
std::optional<std::string> percent_decode(std::string_view text);

}  // namespace beechhill::admin
