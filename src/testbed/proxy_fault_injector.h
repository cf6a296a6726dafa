// Faults of the proxies themselves: killed, restarted, suspended, their state damaged, the network
// between them impaired.
#pragma once

#include <cstdint>
#include <vector>

#include "emulator/scenario.h"
#include "runtime/scheduler.h"
#include "testbed/fault_injector.h"
#include "testbed/observation_log.h"
#include "testbed/open_loop_load.h"
#include "testbed/proxy_group.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

/// Also plays the health checks of the load balancer in front of the proxies: the load is sent to a
/// proxy that is away until the scenario's notice is over, and to one that is back once it is
/// ready. What it borrows must outlive it, and it must outlive the scheduler's run.
class ProxyFaultInjector {
 public:
  ProxyFaultInjector(runtime::Scheduler& scheduler, const TestbedClock& clock,
                     const emulator::Scenario& scenario, ProxyGroup& proxies, OpenLoopLoad& load,
                     ObservationLog& observations);

  /// Faults of one kind may overlap at a proxy: the last to end brings it back.
  void apply(const emulator::FaultSpec& fault, const std::vector<std::uint32_t>& struck,
             FaultPhase phase);
  /// When the last proxy was ready again; 0: none was away.
  Time last_ready_at() const { return last_ready_at_; }

 private:
  struct ProxyState {
    std::uint32_t down_faults = 0;     // active ones that keep it down
    std::uint32_t suspend_faults = 0;  // active ones that keep it suspended
    std::uint64_t generation = 0;      // of its starts and ends
  };
  void apply_to_process(const emulator::FaultSpec& fault, std::size_t proxy, FaultPhase phase);
  void suspend(std::size_t proxy);
  void resume(std::size_t proxy);
  void take_down(emulator::FaultKind kind, std::size_t proxy);
  void bring_up(std::size_t proxy);
  runtime::Task<> withdraw_after(std::size_t proxy, std::uint64_t generation, Duration delay);
  runtime::Task<> offer_when_ready(std::size_t proxy, std::uint64_t generation);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& scenario_;
  ProxyGroup& proxies_;
  OpenLoopLoad& load_;
  ObservationLog& observations_;
  std::vector<ProxyState> states_;  // by proxy
  Time last_ready_at_{0};
};

}  // namespace beechhill::testbed
