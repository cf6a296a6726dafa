// The lab's commands that open sockets, all on loopback.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::lab {

inline void add_socket_commands(CLI::App&, int&) {}

}  // namespace beechhill::lab
