// Parses operators' maintenance calls, as received by the admin server, into commands. Performs no
// I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "maintenance/maintenance_commands.h"

namespace beechhill::maintenance {

/// `verb` is request, approve, hold, resume, cancel, done or forget; `query` has the decoded
/// parameters of the call. If they are invalid, returns nullopt and sets `error` to a message for
/// the operator.
std::optional<Command> parse_operator_command(const std::string& verb,
                                              const std::map<std::string, std::string>& query,
                                              std::string& error);

}  // namespace beechhill::maintenance
