// Fault injection plans: the faults of a scenario, drawn from a seed, written as TOML, and shrunk
// while they still show a failure. The emulator and real processes play the same plans.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "emulator/scenario_reader.h"

namespace beechhill::testbed {

/// Two to six faults in place of the scenario's own, all over by two thirds of its length. The same
/// for the same scenario and seed. Only kinds that both the emulator and real processes can play.
std::vector<emulator::FaultSpec> draw_faults(const emulator::Scenario& scenario,
                                             std::uint64_t seed);

/// As `[[fault]]` tables that read_scenario() reads back to the same faults.
std::string to_toml(const emulator::Scenario& scenario,
                    const std::vector<emulator::FaultSpec>& faults);

/// Removes faults one by one while `fails` returns true for those that are left, until none can be
/// removed or `fails` was called `max_calls` times. `faults` is known to fail; one is always left.
std::vector<emulator::FaultSpec> shrink(
    std::vector<emulator::FaultSpec> faults, std::size_t max_calls,
    const std::function<bool(const std::vector<emulator::FaultSpec>&)>& fails);

/// The scenario without the faults of proxy processes: the control of a cluster test.
emulator::Scenario without_process_faults(emulator::Scenario scenario);

/// From the beginning of the first fault that takes a proxy process away to the end of the last
/// one; both 0 where there is none.
struct FaultWindow {
  Time began{0};
  Time ended{0};
};
FaultWindow process_fault_window(const emulator::Scenario& scenario);

}  // namespace beechhill::testbed
