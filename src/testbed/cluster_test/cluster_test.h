// Plays of many proxies under a fault plan, each against a control without the faults of processes:
// with real processes on loopback, or in the emulator. The verdict comes from the clients' and the
// backends' books.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

#include "emulator/metrics.h"

namespace beechhill::testbed {

struct Play {
  Json::Value result;     // in the emulator's form, with its series
  emulator::Return back;  // against the control
  double goodput = 0, control_goodput = 0;
  // At one backend in one second, after the warm-up.
  std::uint64_t most_connections = 0, most_arrivals = 0, control_connections = 0,
                control_arrivals = 0;
  std::uint64_t most_lists = 0;  // that one proxy asked of discovery; 0 in the emulator
  std::uint64_t broken = 0;      // rules, and answers to other requests than asked
  std::string broken_text;       // the first few, with their traces
};

struct Player {  // what plays it
  bool emulated = false;
  std::string policy = "module";  // in the emulator
  std::string program;            // on sockets
  bool control = true;            // without it, nothing is known of the return
};
// Blocks; on sockets for twice the scenario's length and a little. Throws as play_on_sockets does.
Play play_fleet(const emulator::Scenario& scenario, const Player& player);

// `fleet`; `code` becomes the exit code.
void add_fleet_command(CLI::App& app, int& code);

}  // namespace beechhill::testbed
