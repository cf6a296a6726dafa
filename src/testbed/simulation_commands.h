// In simulated time: `membership`, what the members of a group learn of each other; `works`, rounds
// of work under drawn faults.
#pragma once

#include <CLI/CLI.hpp>

namespace beechhill::testbed {

void add_membership_command(CLI::App& app, int& code);
void add_works_command(CLI::App& app, int& code);

}  // namespace beechhill::testbed
