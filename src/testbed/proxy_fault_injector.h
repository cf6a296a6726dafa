// Injects faults into the proxies: their processes are killed, restarted or suspended, their state
// is damaged, and the network between them is impaired.
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

/// Applies the faults of a run's proxies. Also emulates the health checks of the load balancer in
/// front of the proxies: a proxy that is down is removed from rotation after the scenario's notice
/// period, and a restarted one returns to rotation once it is ready. Objects passed by reference
/// must outlive the injector, and it must outlive the scheduler's run.
class ProxyFaultInjector {
 public:
  ProxyFaultInjector(runtime::Scheduler& scheduler, const TestbedClock& clock,
                     const emulator::Scenario& scenario, ProxyGroup& proxies, OpenLoopLoad& load,
                     ObservationLog& observations);

  /// Begins or ends a fault at the affected proxies. Faults of one kind may overlap at a proxy,
  /// which recovers when the last one ends.
  void apply(const emulator::FaultSpec& fault, const std::vector<std::uint32_t>& affected,
             FaultPhase phase);
  /// Time at which a proxy was last ready again or resumed after a fault; 0 if there was none.
  Time last_ready_at() const { return last_ready_at_; }

 private:
  struct ProxyState {
    std::uint32_t down_faults = 0;     // number of active faults that keep the process down
    std::uint32_t suspend_faults = 0;  // number of active faults that suspend the process
    std::uint64_t generation = 0;      // incremented at each start and end of the process
  };
  void apply_to_process(const emulator::FaultSpec& fault, std::size_t proxy, FaultPhase phase);
  void suspend(std::size_t proxy);
  void resume(std::size_t proxy);
  void take_down(emulator::FaultKind kind, std::size_t proxy);
  void bring_up(std::size_t proxy);
  runtime::Task<> remove_from_rotation_after(std::size_t proxy, std::uint64_t generation,
                                             Duration delay);
  runtime::Task<> return_to_rotation_when_ready(std::size_t proxy, std::uint64_t generation);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& scenario_;
  ProxyGroup& proxies_;
  OpenLoopLoad& load_;
  ObservationLog& observations_;
  std::vector<ProxyState> states_;  // indexed by proxy
  Time last_ready_at_{0};
};

}  // namespace beechhill::testbed
