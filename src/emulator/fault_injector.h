/// Injects the faults of a scenario: schedules their beginnings and ends, and applies their effects
/// to the parts of the deployment. Load bursts are not handled here, because Arrivals
/// includes them. Gossip faults have no effect, because emulated proxies do not gossip.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::emulator {

struct Simulation;

/// Owns the list of backends that each fault affects. `fault` is always the index of a fault in the
/// scenario.
class FaultInjector {
 public:
  explicit FaultInjector(Simulation& sim);

  /// Schedules the beginning of every fault.
  void schedule();
  void begin(std::size_t fault);
  void end(std::size_t fault);
  /// Performs one step of a rolling replacement: drains the backend, adds a new one in its place,
  /// and schedules the next step. The steps are spaced so that all backends are replaced within the
  /// fault's length.
  void replace(std::size_t fault, EndpointId endpoint);

 private:
  void choose_backends(std::size_t fault);
  void begin_backend_fault(std::size_t fault);
  void end_backend_fault(std::size_t fault);
  void begin_outage(std::size_t fault);
  void begin_drain(std::size_t fault);
  void begin_link_fault(std::size_t fault);
  void begin_proxy_fault(const FaultSpec& spec, std::uint32_t proxy);
  void end_proxy_fault(const FaultSpec& spec, std::uint32_t proxy);
  void rewind_discovery(const FaultSpec& spec);
  void restore_discovery(std::uint32_t proxy);
  void set_error_rate(std::size_t fault, double rate);
  void set_slowdown(std::size_t fault, double factor);
  void set_report_delay(std::uint32_t tier, Duration delay);
  std::vector<std::uint32_t> affected_proxies(const FaultSpec& spec) const;

  Simulation& sim_;
  // Indexed by the fault's index in the scenario.
  std::vector<std::vector<EndpointId>> affected_backends_;
};

}  // namespace beechhill::emulator
