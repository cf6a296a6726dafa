// Operators' calls about maintenance, as the admin server receives them, made into commands. No
// I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "maintenance/maintenance_commands.h"

namespace beechhill::maintenance {

/// `verb`: request, approve, hold, resume, cancel, done or forget; `query`: the call's decoded
/// parameters. Where they are wrong, nothing, and `error` names what is, for people.
std::optional<Command> parse_operator_command(const std::string& verb,
                                              const std::map<std::string, std::string>& query,
                                              std::string& error);

}  // namespace beechhill::maintenance
