// Entry point of the serving process.
#pragma once

#include <string>

namespace beechhill::bootstrap {

/// Serves until SIGTERM or SIGINT, and reloads the configuration and the operator file on SIGHUP.
/// Reads the configuration with config::load_config(). `operator_file` is the path of the operator
/// file, or empty for none. Blocks the three signals and starts the log. Throws config::JsonError,
/// config::TomlError, std::runtime_error or std::system_error if the process cannot start.
void run(const std::string& operator_file);

}  // namespace beechhill::bootstrap
