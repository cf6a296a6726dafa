// The serving program from its start to its end.
#pragma once

#include <string>

namespace beechhill::bootstrap {

/// Serves until SIGTERM or SIGINT, and reads its files again on SIGHUP. The configuration is that
/// of config::load_config(); `operator_file` is the operator file's path, or empty. Blocks these
/// signals and starts the log. Throws config::JsonError, config::TomlError, std::runtime_error or
/// std::system_error where it cannot start.
void run(const std::string& operator_file);

}  // namespace beechhill::bootstrap
