// The lab's commands that open sockets, all on loopback.
#pragma once

#include <json/json.h>

#include <CLI/CLI.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "emulator/metrics.h"

namespace beechhill::testbed {

// `nodes`, `sockets`, `cost` and `demo`; `code` becomes the exit code.
void add_socket_commands(CLI::App& app, int& code);

struct SocketRun {
  Json::Value result;  // in the emulator's form, as far as sockets show it
  std::uint64_t wrong_answers = 0;
  Duration latest_start{0};  // the furthest that the load was behind its time
  double proxy_cpu_s = 0;    // of all proxies
  std::uint64_t asked = 0;
  std::optional<emulator::Metrics> metrics;  // borrows the scenario
  std::uint64_t violations = 0,
                excused = 0;   // of the rules by the books; answers not owed because of a fault
  std::string violation_text;  // the first few, with their traces
  // The most in one second at one node from the warm-up's end on, and the most that one proxy asked
  // of discovery.
  std::uint32_t most_connections = 0, most_arrivals = 0, most_lists = 0;
  std::map<std::string, std::size_t> said;  // lines about snapshots in the proxies' logs, by event:
                                            // whether a fault struck, no verdict
  std::uint64_t recalled = 0, voided = 0;   // backends of which snapshots were believed, and not
  std::uint64_t sent_to_out = 0;            // calls that reached a backend while staff had it out
  std::uint32_t taken_out = 0, most_at_once = 0;  // backends that were worked on, and at a time
  std::uint32_t open_requests = 0;                // of staff, at the end
  std::string works_text;                         // what was said of them last
  Time works_ended{0};                            // when the last request had ended
  Time last_back{0};  // when the last proxy was ready again; 0: none was away
};
// Plays the scenario, which must outlive the result, with stand-in nodes and `scenario.proxies`
// real proxies, `program` each, and stops all that it started. Blocks for the scenario's length and
// a little. Throws std::invalid_argument for what sockets can't play, std::runtime_error where a
// proxy does not come up. `progress` is called about once a second.
SocketRun play_on_sockets(const emulator::Scenario& scenario, const std::string& program,
                          const std::function<void(const std::string&)>& progress = {});

// The proxy program that was built with this one.
std::string program_beside_us();

}  // namespace beechhill::testbed
