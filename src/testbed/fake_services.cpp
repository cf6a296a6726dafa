#include "testbed/fake_services.h"

#include <fmt/format.h>

#include <chrono>
#include <cmath>
#include <optional>
#include <stdexcept>

namespace beechhill::testbed {

using emulator::FaultKind;
using emulator::FaultSpec;

namespace {

// Returns the value of the list's `health` field for a backend's status.
const char* health_name(EndpointStatus status) {
  switch (status) {
    case EndpointStatus::kUp:
      return "in_service";
    case EndpointStatus::kDraining:
      return "terminating";
    default:
      return "terminated";
  }
}

void check_supported(const emulator::Scenario& scenario) {
  if (scenario.tiers.size() != 1) {
    throw std::invalid_argument("tier: fake backends support exactly one tier");
  }
  for (const FaultSpec& fault : scenario.faults) {
    if (fault.kind == FaultKind::kReplace) {
      throw std::invalid_argument("fault.kind: replace is supported only in the emulator");
    }
  }
}

}  // namespace

FakeServices::FakeServices(runtime::Scheduler& scheduler, const TestbedClock& clock,
                           const emulator::Scenario& scenario, ObservationLog* observations)
    : scheduler_(scheduler),
      clock_(clock),
      scenario_(scenario),
      random_(scenario.seed, emulator::Actor::kDiscovery, 0) {
  check_supported(scenario);
  for (std::size_t proxy = 0; proxy < scenario_.proxies; ++proxy) {
    discoveries_.push_back(
        std::make_unique<FakeDiscovery>(scheduler_, clock_, proxy, observations));
  }
  for (EndpointId id = 0; id < scenario_.tiers[0].nodes; ++id) {
    backends_.push_back(
        std::make_unique<FakeBackend>(scheduler_, clock_, scenario_, id, observations));
  }
  add_link_proxies();
  for (const auto& backend : backends_) {
    publish_at(*backend, EndpointStatus::kUp, [] { return Time::min(); });
  }
}

void FakeServices::add_link_proxies() {
  for (std::size_t fault = 0; fault < scenario_.faults.size(); ++fault) {
    if (!emulator::affects_links(scenario_.faults[fault].kind)) {
      continue;
    }
    for (const EndpointId id : emulator::affected_backends(scenario_, fault, endpoints())) {
      for (std::size_t proxy = 0; proxy < proxies_with_faulty_links(); ++proxy) {
        std::unique_ptr<TcpFaultProxy>& link = links_[{proxy, id}];
        if (!link) {
          link = std::make_unique<TcpFaultProxy>(scheduler_, backends_[id]->address());
        }
      }
    }
  }
}

std::size_t FakeServices::proxies_with_faulty_links() const {
  return emulator::rounded_share(0.5, scenario_.proxies);
}

TcpFaultProxy& FakeServices::link(std::size_t proxy, EndpointId backend) {
  return *links_.at({proxy, backend});
}

std::vector<Endpoint> FakeServices::endpoints() const {
  std::vector<Endpoint> all;
  all.reserve(backends_.size());
  for (const auto& backend : backends_) {
    all.push_back(backend->endpoint());
  }
  return all;
}

void FakeServices::publish_at(const FakeBackend& backend, EndpointStatus status,
                              const std::function<Time()>& next_due) {
  Endpoint endpoint = backend.endpoint();
  endpoint.status = status;
  for (std::size_t proxy = 0; proxy < discoveries_.size(); ++proxy) {
    const auto link = links_.find({proxy, backend.id()});
    const std::string address =
        link != links_.end() ? link->second->address_text() : backend.address_text();
    discoveries_[proxy]->publish(list_row(backend, status, address), endpoint, next_due());
  }
}

Json::Value FakeServices::list_row(const FakeBackend& backend, EndpointStatus status,
                                   const std::string& address) const {
  std::int64_t started_at_unix_ms = 0;
  const std::optional<Time> started_at = backend.started_at();
  if (started_at) {
    const auto started =
        std::chrono::system_clock::now().time_since_epoch() - (clock_.now() - *started_at);
    started_at_unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(started).count();
  }
  Json::Value row;
  row["host"] = fmt::format("node-{}", backend.id());
  row["dial"] = address;
  row["site"] = fmt::format("zone-{}", backend.zone());
  row["class"] = scenario_.tiers[0].name;
  row["block"] = backend.cell();
  row["health"] = health_name(status);
  row["share"] = 1.0;
  row["born_ms"] = static_cast<Json::Int64>(started_at_unix_ms);
  return row;
}

void FakeServices::publish(const FakeBackend& backend, EndpointStatus status,
                           Duration extra_delay) {
  publish_at(backend, status, [this, extra_delay] {
    const double spread_s =
        random_.uniform() * std::chrono::duration<double>(scenario_.list_spread).count();
    const Duration spread(std::llround(spread_s * 1e6));
    return clock_.now() + scenario_.list_lag + spread + list_delay_ + extra_delay;
  });
}

void FakeServices::restart_backend(EndpointId id) {
  FakeBackend& backend = *backends_[id];
  backend.set_state(FakeBackend::State::kStopped);
  backend.set_state(FakeBackend::State::kServing);
  publish(backend, EndpointStatus::kUp);
}

}  // namespace beechhill::testbed
