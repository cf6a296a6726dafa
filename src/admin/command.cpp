#include "admin/command.h"

#include <optional>
#include <utility>

namespace beechhill::admin {
namespace {

constexpr std::string_view kMaintenanceCommandPrefix = "/api/maintenance/";

enum class Arguments { kNone, kBackendId, kParameters };

struct Route {
  std::string_view method;
  std::string_view path;
  CommandType type;
  Arguments arguments;
};

constexpr Route kRoutes[] = {
    {"GET", "/api/ready", CommandType::kReady, Arguments::kNone},
    {"GET", "/api/telemetry", CommandType::kTelemetry, Arguments::kNone},
    {"PUT", "/api/exclude", CommandType::kExclude, Arguments::kBackendId},
    {"PUT", "/api/include", CommandType::kInclude, Arguments::kBackendId},
    {"PUT", "/api/evacuate", CommandType::kDrain, Arguments::kNone},
    {"PUT", "/api/rejoin", CommandType::kResume, Arguments::kNone},
    {"GET", "/api/members", CommandType::kMembers, Arguments::kNone},
    {"GET", "/api/maintenance", CommandType::kMaintenanceStatus, Arguments::kParameters},
};

// Route of maintenance commands. The name of the action follows the prefix in the path.
constexpr Route kMaintenanceCommandRoute = {
    "PUT", kMaintenanceCommandPrefix, CommandType::kMaintenanceCommand, Arguments::kParameters};

const Route* find_route(std::string_view path) {
  for (const Route& route : kRoutes) {
    if (path == route.path) {
      return &route;
    }
  }
  return path.starts_with(kMaintenanceCommandPrefix) ? &kMaintenanceCommandRoute : nullptr;
}

// Reads the command's arguments from `query`. Returns false if they are missing or malformed.
bool read_arguments(Arguments arguments, std::string_view query, Command& command) {
  switch (arguments) {
    case Arguments::kNone:
      return true;
    case Arguments::kBackendId: {
      std::optional<std::string> id = find_single_parameter(query, "target");
      if (!id) {
        return false;
      }
      command.backend_id = std::move(*id);
      return true;
    }
    case Arguments::kParameters: {
      std::optional<QueryParameters> parameters = parse_query(query);
      if (!parameters) {
        return false;
      }
      command.parameters = std::move(*parameters);
      return true;
    }
  }
  return false;
}

}  // namespace

int status_code(CommandError error) {
  switch (error) {
    case CommandError::kMalformed:
      return 400;
    case CommandError::kUnknown:
      return 404;
    case CommandError::kWrongMethod:
      return 405;
  }
  return 400;
}

ParsedCommand parse_command(std::string_view method, std::string_view target) {
  const auto question_mark = target.find('?');
  const std::string_view path = target.substr(0, question_mark);
  const std::string_view query = question_mark == std::string_view::npos
                                     ? std::string_view{}
                                     : target.substr(question_mark + 1);
  const Route* const route = find_route(path);
  if (route == nullptr) {
    return CommandError::kUnknown;
  }
  if (method != route->method) {
    return CommandError::kWrongMethod;
  }
  Command command;
  command.type = route->type;
  if (command.type == CommandType::kMaintenanceCommand) {
    command.action = path.substr(kMaintenanceCommandPrefix.size());
  }
  if (!read_arguments(route->arguments, query, command)) {
    return CommandError::kMalformed;
  }
  return command;
}

}  // namespace beechhill::admin
