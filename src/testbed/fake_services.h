// All that a scenario of one tier needs beside the proxies: backends, a discovery server for each
// proxy, and fault proxies on the links that the scenario's faults strike.
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

/// Must outlive the scheduler's run; what it borrows must outlive it.
class FakeServices {
 public:
  /// Throws std::invalid_argument for a scenario that real processes can't play: more than one
  /// tier, or a fault of kind `replace`.
  FakeServices(runtime::Scheduler& scheduler, const TestbedClock& clock,
               const emulator::Scenario& scenario, ObservationLog* observations = nullptr);

  FakeDiscovery& discovery(std::size_t proxy) { return *discoveries_[proxy]; }
  const std::vector<std::unique_ptr<FakeBackend>>& backends() const { return backends_; }
  FakeBackend& backend(EndpointId id) { return *backends_[id]; }
  /// All backends, as discovery lists them while they are up.
  std::vector<Endpoint> endpoints() const;

  /// Faults of links strike those between the first proxies, so many, and some backends, as in the
  /// emulator.
  std::size_t proxies_with_faulty_links() const;
  /// The link of the two; only for those that a fault of the scenario strikes.
  TcpFaultProxy& link(std::size_t proxy, EndpointId backend);

  /// Tells all discovery servers that the backend has that status, each with the scenario's delay,
  /// the present one of set_list_delay(), and `extra_delay`.
  void publish(const FakeBackend& backend, EndpointStatus status, Duration extra_delay = {});
  void set_list_delay(Duration delay) { list_delay_ = delay; }
  /// Stops the backend and starts it anew.
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
  std::vector<std::unique_ptr<FakeDiscovery>> discoveries_;  // by proxy
  std::vector<std::unique_ptr<FakeBackend>> backends_;       // by id
  std::map<std::pair<std::size_t, EndpointId>, std::unique_ptr<TcpFaultProxy>> links_;
  emulator::Stream random_;
  Duration list_delay_{0};
};

}  // namespace beechhill::testbed
