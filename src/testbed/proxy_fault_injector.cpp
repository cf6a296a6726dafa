#include "testbed/proxy_fault_injector.h"

#include <chrono>

#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using emulator::FaultKind;
using emulator::FaultSpec;
using runtime::Task;

namespace {

constexpr std::chrono::milliseconds kReadinessPollInterval{20};

}  // namespace

ProxyFaultInjector::ProxyFaultInjector(runtime::Scheduler& scheduler, const TestbedClock& clock,
                                       const emulator::Scenario& scenario, ProxyGroup& proxies,
                                       OpenLoopLoad& load, ObservationLog& observations)
    : scheduler_(scheduler),
      clock_(clock),
      scenario_(scenario),
      proxies_(proxies),
      load_(load),
      observations_(observations),
      states_(proxies.size()) {
}

void ProxyFaultInjector::apply(const FaultSpec& fault, const std::vector<std::uint32_t>& affected,
                               FaultPhase phase) {
  if (emulator::affects_gossip(fault.kind)) {
    proxies_.cluster()->apply(fault, affected, phase);
    return;
  }
  for (const std::uint32_t proxy : affected) {
    if (emulator::affects_state(fault.kind)) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(fault.delay);
      proxies_.state_directory(proxy).apply(fault.kind, phase, age);
    } else {
      apply_to_process(fault, proxy, phase);
    }
  }
}

void ProxyFaultInjector::apply_to_process(const FaultSpec& fault, std::size_t proxy,
                                          FaultPhase phase) {
  const bool begins = phase == FaultPhase::kBegins;
  if (fault.kind == FaultKind::kProxyStop) {
    begins ? suspend(proxy) : resume(proxy);
  } else {
    begins ? take_down(fault.kind, proxy) : bring_up(proxy);
  }
}

void ProxyFaultInjector::suspend(std::size_t proxy) {
  ++states_[proxy].suspend_faults;
  proxies_.process(proxy).suspend();
  observations_.proxy_fault_began(proxy);
}

void ProxyFaultInjector::resume(std::size_t proxy) {
  ProxyState& state = states_[proxy];
  --state.suspend_faults;
  if (state.suspend_faults == 0) {
    proxies_.process(proxy).resume();
  }
  observations_.proxy_fault_ended(proxy, ProxyMemory::kKept);
  last_ready_at_ = clock_.now();
}

void ProxyFaultInjector::take_down(FaultKind kind, std::size_t proxy) {
  ProxyState& state = states_[proxy];
  ++state.down_faults;
  observations_.proxy_fault_began(proxy);
  if (state.down_faults > 1) {
    return;
  }
  ++state.generation;
  Duration notice_delay = scenario_.proxy_notice;
  if (kind == FaultKind::kProxyEnd) {
    proxies_.process(proxy).request_shutdown();
    notice_delay = Duration{0};  // the load balancer notices a graceful shutdown at once
  } else {
    proxies_.process(proxy).kill();
  }
  scheduler_.spawn(remove_from_rotation_after(proxy, state.generation, notice_delay));
}

void ProxyFaultInjector::bring_up(std::size_t proxy) {
  ProxyState& state = states_[proxy];
  --state.down_faults;
  if (state.down_faults > 0) {
    observations_.proxy_fault_ended(proxy, ProxyMemory::kKept);
    return;
  }
  ProxyProcess& process = proxies_.process(proxy);
  process.kill();  // ends a graceful shutdown that is still in progress
  process.start();
  if (state.suspend_faults > 0) {
    process.suspend();
  }
  ++state.generation;
  scheduler_.spawn(return_to_rotation_when_ready(proxy, state.generation));
}

Task<> ProxyFaultInjector::remove_from_rotation_after(std::size_t proxy, std::uint64_t generation,
                                                      Duration delay) {
  co_await sleep_for(scheduler_, delay);
  if (states_[proxy].generation == generation) {
    load_.set_proxy_in_rotation(proxy, false);
  }
}

Task<> ProxyFaultInjector::return_to_rotation_when_ready(std::size_t proxy,
                                                         std::uint64_t generation) {
  // Ends the fault that took the proxy down, and counts the start as another fault until the proxy
  // is ready.
  observations_.proxy_fault_ended(proxy, ProxyMemory::kLost);
  observations_.proxy_fault_began(proxy);
  while (states_[proxy].generation == generation) {
    const bool ready = co_await is_ready(scheduler_, proxies_.process(proxy).address());
    if (ready) {
      break;
    }
    co_await sleep_for(scheduler_, kReadinessPollInterval);
  }
  observations_.proxy_fault_ended(proxy, ProxyMemory::kKept);
  if (states_[proxy].generation != generation) {
    co_return;
  }
  last_ready_at_ = clock_.now();
  load_.set_proxy_in_rotation(proxy, true);
  load_.rebalance_to(proxy);
}

}  // namespace beechhill::testbed
