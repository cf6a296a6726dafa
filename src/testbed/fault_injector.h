// Injects the faults of a scenario at their scheduled times.
#pragma once

#include <functional>
#include <vector>

#include "emulator/scenario.h"
#include "runtime/scheduler.h"
#include "testbed/fake_services.h"
#include "testbed/observation_log.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

enum class FaultPhase { kBegins, kEnds };

/// Applies faults to backends, links and discovery servers, and passes faults of proxies to a
/// handler. Objects passed by reference must outlive the injector, and it must outlive the
/// scheduler's run.
class FaultInjector {
 public:
  /// Called when a fault of proxies begins or ends. `proxies` holds the indices of the affected
  /// proxies.
  using ProxyFaultHandler = std::function<void(
      const emulator::FaultSpec& fault, const std::vector<std::uint32_t>& proxies, FaultPhase)>;

  /// `observations` may be null. Without a handler, faults of proxies are ignored.
  FaultInjector(runtime::Scheduler& scheduler, const TestbedClock& clock,
                const emulator::Scenario& scenario, FakeServices& services,
                ObservationLog* observations = nullptr, ProxyFaultHandler handler = {});
  /// Completes when the last fault has ended.
  runtime::Task<> run();

 private:
  void begin(std::size_t fault);
  void end(std::size_t fault);
  void begin_at_backend(const emulator::FaultSpec& fault, FakeBackend& backend);
  void end_at_backend(const emulator::FaultSpec& fault, FakeBackend& backend);
  void apply_to_links(const emulator::FaultSpec& fault, EndpointId backend, FaultPhase phase);
  void apply_to_proxies(const emulator::FaultSpec& fault, FaultPhase phase);
  void set_report_delay(Duration delay);

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& scenario_;
  FakeServices& services_;
  ObservationLog* observations_;
  ProxyFaultHandler handler_;
  std::vector<std::vector<EndpointId>> affected_backends_;  // indexed by fault
};

}  // namespace beechhill::testbed
