// Commands of the operators' HTTP API, parsed from method and request target. Does no I/O.
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

/// A parsed call.
struct Command {
  CommandType type = CommandType::kReady;
  /// Id of the backend that kExclude or kInclude affects; empty for other commands.
  std::string backend_id;
  /// For kMaintenanceCommand, the part of the path after "/api/maintenance/"; otherwise empty.
  std::string action;
  /// Parameters of kMaintenanceStatus or kMaintenanceCommand; empty for other commands.
  QueryParameters parameters;
};

enum class CommandError { kMalformed, kUnknown, kWrongMethod };

/// Returns the HTTP status code of the response to a call that has this error.
int status_code(CommandError error);

using ParsedCommand = std::variant<Command, CommandError>;

/// Parses a call. `target` is a path and a query in origin form (RFC 9112, section 3.2.1).
ParsedCommand parse_command(std::string_view method, std::string_view target);

}  // namespace beechhill::admin
