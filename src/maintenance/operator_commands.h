// Staff's words as the operators' door hears them, as commands. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "maintenance/maintenance_state_machine.h"

namespace beechhill::maintenance {

// `verb`: request, approve, hold, resume, cancel, done or forget. Nothing, and `fault` says what is
// wrong, where it makes no sense.
std::optional<Command> parse_operator_command(const std::string& verb,
                                              const std::map<std::string, std::string>& query,
                                              std::string& fault);

}  // namespace beechhill::maintenance
