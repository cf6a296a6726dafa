// Fault plans: the faults of a scenario, drawn at random from a seed, written as TOML, and shrunk
// to fewer faults that still cause a failure. The emulator and real processes run the same plans.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "emulator/scenario_reader.h"

namespace beechhill::testbed {

/// Returns two to six randomly drawn faults that end within the first two thirds of the scenario's
/// length. They replace the scenario's own faults. The result depends only on the scenario and the
/// seed. Only fault kinds that both the emulator and real processes support are drawn.
std::vector<emulator::FaultSpec> draw_faults(const emulator::Scenario& scenario,
                                             std::uint64_t seed);

/// Returns `[[fault]]` tables from which read_scenario() reads the same faults.
std::string to_toml(const emulator::Scenario& scenario,
                    const std::vector<emulator::FaultSpec>& faults);

/// Removes faults one by one as long as `fails` returns true for the remaining ones, until none can
/// be removed or `fails` was called `max_calls` times. `fails` must return true for `faults`. At
/// least one fault remains.
std::vector<emulator::FaultSpec> shrink(
    std::vector<emulator::FaultSpec> faults, std::size_t max_calls,
    const std::function<bool(const std::vector<emulator::FaultSpec>&)>& fails);

/// Returns the scenario without the faults of proxy processes, for the control run of a cluster
/// test.
emulator::Scenario without_process_faults(emulator::Scenario scenario);

/// The time from the beginning of the first fault to the end of the last one among those that make
/// a proxy process unavailable; both 0 if there are none.
struct FaultWindow {
  Time began{0};
  Time ended{0};
};
FaultWindow process_fault_window(const emulator::Scenario& scenario);

}  // namespace beechhill::testbed
