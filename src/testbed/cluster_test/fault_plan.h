// Fault plans: the faults of a scenario, drawn from a seed, written as TOML, and made smaller while
// they still show what they showed. One form for the emulator and the rig of real processes.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::testbed {

// Between two and six faults for the scenario in place of its own, all over by two thirds of it.
// The same for the same scenario and seed. Only kinds that both the emulator and the rig play.
std::vector<emulator::FaultSpec> draw_faults(const emulator::Scenario& scenario,
                                             std::uint64_t seed);

// As `[[fault]]` tables that read_scenario reads back to the same faults.
std::string to_toml(const emulator::Scenario& scenario,
                    const std::vector<emulator::FaultSpec>& faults);

// Takes out faults one by one while `fails` still says so of what is left; at most `most_plays`
// questions. `faults` is known to fail.
std::vector<emulator::FaultSpec> shrink(
    std::vector<emulator::FaultSpec> faults, std::size_t most_plays,
    const std::function<bool(const std::vector<emulator::FaultSpec>&)>& fails);

// The scenario without the faults that strike processes: what a play with them is held against.
emulator::Scenario control_of(emulator::Scenario scenario);
// When the first fault of processes begins and the last one ends; equal and zero where there is
// none.
struct Span {
  Time begun{0}, back{0};
};
Span processes_struck(const emulator::Scenario& scenario);

}  // namespace beechhill::testbed
