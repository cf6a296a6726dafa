// The calls that operators may make: which method and path stand for which command. No I/O.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "admin/query_string.h"

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
  CommandType type = CommandType::kReady;
  /// Of kExclude and kInclude.
  std::string backend_id;
  /// Of kMaintenanceCommand: what follows "/api/maintenance/" in the path.
  std::string action;
  /// Of kMaintenanceStatus and kMaintenanceCommand.
  QueryParameters parameters;
};

enum class CommandError { kMalformed, kUnknown, kWrongMethod };

/// The HTTP status code that answers a call with this error.
int status_code(CommandError error);

using ParsedCommand = std::variant<Command, CommandError>;

/// `target` is in origin form (RFC 9112, section 3.2.1): path and query.
ParsedCommand parse_command(std::string_view method, std::string_view target);

}  // namespace beechhill::admin
