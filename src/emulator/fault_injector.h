/// The faults of a scenario: when they begin and end, and what they do to the parts of the
/// deployment. Bursts are not among them: the arrivals know these. Faults of gossip have no effect,
/// because emulated proxies do not gossip.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "emulator/scenario.h"

namespace beechhill::emulator {

struct Simulation;

/// Owns which backends each fault affects. `fault` is always a fault's number in the scenario.
class FaultInjector {
 public:
  explicit FaultInjector(Simulation& sim);

  /// Schedules the beginnings of all faults.
  void schedule();
  void begin(std::size_t fault);
  void end(std::size_t fault);
  /// A rolling replacement: drains that backend and adds a new one for it, and schedules the next,
  /// so that all are replaced within the fault's length.
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
  // By fault.
  std::vector<std::vector<EndpointId>> affected_backends_;
};

}  // namespace beechhill::emulator
