// The serving program: wires the actors together, reads its configuration again on SIGHUP and ends
// in good order on SIGTERM or SIGINT.
#pragma once

#include <string>

namespace beechhill::bootstrap {

// Serves until it is told to end. The configuration is the one of config::load_config();
// `operator_file` may be empty. Throws JsonFault, TomlFault or std::system_error where it cannot
// start.
void run(const std::string& operator_file);

}  // namespace beechhill::bootstrap
