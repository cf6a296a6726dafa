// The services that a scenario of one tier needs besides the proxies: backends, a discovery server
// for each proxy, and fault proxies on the links that the scenario's faults affect.
#pragma once

#include <json/json.h>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"
#include "runtime/scheduler.h"
#include "testbed/fake_backend.h"
#include "testbed/fake_discovery.h"
#include "testbed/observation_log.h"
#include "testbed/tcp_fault_proxy.h"
#include "testbed/testbed_clock.h"

namespace beechhill::testbed {

/// All fake services of one run. Objects passed by reference must outlive this object, and it must
/// outlive the scheduler's run.
class FakeServices {
 public:
  /// `observations` may be null. Throws std::invalid_argument for a scenario that real processes do
  /// not support: more than one tier, or a fault of kind `replace`.
  FakeServices(runtime::Scheduler& scheduler, const TestbedClock& clock,
               const emulator::Scenario& scenario, ObservationLog* observations = nullptr);

  FakeDiscovery& discovery(std::size_t proxy) { return *discoveries_[proxy]; }
  const std::vector<std::unique_ptr<FakeBackend>>& backends() const { return backends_; }
  FakeBackend& backend(EndpointId id) { return *backends_[id]; }
  /// Returns all backends as discovery lists them while they are up.
  std::vector<Endpoint> endpoints() const;

  /// Number N of proxies whose links to the affected backends are subject to link faults. As in the
  /// emulator, they are the proxies 0 to N - 1.
  std::size_t proxies_with_faulty_links() const;
  /// Returns the fault proxy of a link. Throws std::out_of_range for a link that no fault of the
  /// scenario affects.
  TcpFaultProxy& link(std::size_t proxy, EndpointId backend);

  /// Publishes the backend's status through all discovery servers. Each server sends it after the
  /// scenario's delay, the delay of set_list_delay() and `extra_delay`.
  void publish(const FakeBackend& backend, EndpointStatus status, Duration extra_delay = {});
  void set_list_delay(Duration delay) { list_delay_ = delay; }
  /// Stops the backend, starts it again and publishes that it is up.
  void restart_backend(EndpointId id);

 private:
  void add_link_proxies();
  void publish_at(const FakeBackend& backend, EndpointStatus status,
                  const std::function<Time()>& next_due);
  Json::Value list_row(const FakeBackend& backend, EndpointStatus status,
                       const std::string& address) const;

  runtime::Scheduler& scheduler_;
  const TestbedClock& clock_;
  const emulator::Scenario& scenario_;
  std::vector<std::unique_ptr<FakeDiscovery>> discoveries_;  // indexed by proxy
  std::vector<std::unique_ptr<FakeBackend>> backends_;       // indexed by endpoint id
  std::map<std::pair<std::size_t, EndpointId>, std::unique_ptr<TcpFaultProxy>> links_;
  emulator::Stream random_;
  Duration list_delay_{0};
};

}  // namespace beechhill::testbed
