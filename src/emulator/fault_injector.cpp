#include "emulator/fault_injector.h"

#include <utility>

#include "emulator/simulation.h"

namespace beechhill::emulator {
namespace {

// Share of the proxies, counted from the first, that are on the affected side of a link fault.
constexpr double kAffectedProxyShare = 0.5;

}  // namespace

FaultInjector::FaultInjector(Simulation& sim)
    : sim_(sim), affected_backends_(sim.scenario.faults.size()) {
}

void FaultInjector::schedule() {
  for (std::size_t fault = 0; fault < sim_.scenario.faults.size(); ++fault) {
    sim_.events.schedule(sim_.scenario.faults[fault].at, FaultBegins{fault});
  }
}

void FaultInjector::begin(std::size_t fault) {
  const FaultSpec& spec = sim_.scenario.faults[fault];
  choose_backends(fault);
  sim_.events.schedule(spec.at + spec.length, FaultEnds{fault});
  if (affects_links(spec.kind)) {
    return begin_link_fault(fault);
  }
  if (spec.kind == FaultKind::kDiscoveryRewound) {
    return rewind_discovery(spec);
  }
  for (const std::uint32_t proxy : affected_proxies(spec)) {
    begin_proxy_fault(spec, proxy);
  }
  begin_backend_fault(fault);
}

void FaultInjector::end(std::size_t fault) {
  const FaultSpec& spec = sim_.scenario.faults[fault];
  if (affects_links(spec.kind)) {
    return sim_.network.remove(fault);
  }
  for (const std::uint32_t proxy : affected_proxies(spec)) {
    end_proxy_fault(spec, proxy);
  }
  end_backend_fault(fault);
}

// Draws the affected backends from those of the fault's tier that are up in the endpoint list when
// the fault begins.
void FaultInjector::choose_backends(std::size_t fault) {
  std::vector<Endpoint> up;
  for (const BackendState& backend : sim_.backends.in_tier(sim_.scenario.faults[fault].tier)) {
    if (backend.endpoint.status == EndpointStatus::kUp) {
      up.push_back(backend.endpoint);
    }
  }
  affected_backends_[fault] = affected_backends(sim_.scenario, fault, up);
}

std::vector<std::uint32_t> FaultInjector::affected_proxies(const FaultSpec& spec) const {
  std::vector<std::uint32_t> proxies;
  for (const std::uint32_t position : emulator::affected_proxies(sim_.scenario, spec)) {
    proxies.push_back(sim_.proxies.in_tier(0)[position]);
  }
  return proxies;
}

void FaultInjector::begin_backend_fault(std::size_t fault) {
  const FaultSpec& spec = sim_.scenario.faults[fault];
  switch (spec.kind) {
    case FaultKind::kSilent:
    case FaultKind::kCrash:
      return begin_outage(fault);
    case FaultKind::kErrors:
      return set_error_rate(fault, spec.factor);
    case FaultKind::kSlow:
      return set_slowdown(fault, spec.factor);
    case FaultKind::kLateReports:
      return set_report_delay(spec.tier, spec.delay);
    case FaultKind::kStaleList:
      return sim_.discovery.set_staleness(spec.delay);
    case FaultKind::kDrain:
      return begin_drain(fault);
    case FaultKind::kReplace:
      return replace(fault, 0);
    default:
      return;
  }
}

void FaultInjector::end_backend_fault(std::size_t fault) {
  const FaultSpec& spec = sim_.scenario.faults[fault];
  switch (spec.kind) {
    case FaultKind::kSilent:
    case FaultKind::kCrash:
      for (const EndpointId endpoint : affected_backends_[fault]) {
        sim_.backends.restart(spec.tier, endpoint);
      }
      return;
    case FaultKind::kErrors:
      return set_error_rate(fault, 0);
    case FaultKind::kSlow:
      return set_slowdown(fault, 1);
    case FaultKind::kLateReports:
      return set_report_delay(spec.tier, Duration{0});
    case FaultKind::kStaleList:
      return sim_.discovery.set_staleness(Duration{0});
    case FaultKind::kDrain:
      // Simulates maintenance after the drain: the backends are stopped and restarted.
      for (const EndpointId endpoint : affected_backends_[fault]) {
        sim_.backends.stop(spec.tier, endpoint, false);
        sim_.backends.restart(spec.tier, endpoint);
      }
      return;
    default:
      return;
  }
}

void FaultInjector::begin_outage(std::size_t fault) {
  const FaultSpec& spec = sim_.scenario.faults[fault];
  const bool silent = spec.kind == FaultKind::kSilent;
  const Duration notice = silent ? sim_.scenario.silent_notice : Duration{0};
  const bool noticed = !silent || (notice > Duration{0} && notice < spec.length);
  for (const EndpointId endpoint : affected_backends_[fault]) {
    sim_.backends.stop(spec.tier, endpoint, silent);
    if (noticed) {
      Endpoint removed = sim_.backends.at(spec.tier, endpoint).endpoint;
      removed.status = EndpointStatus::kRemoved;
      sim_.discovery.publish(spec.tier, removed, notice);
    }
  }
}

void FaultInjector::begin_drain(std::size_t fault) {
  const std::uint32_t tier = sim_.scenario.faults[fault].tier;
  for (const EndpointId id : affected_backends_[fault]) {
    Endpoint& endpoint = sim_.backends.at(tier, id).endpoint;
    endpoint.status = EndpointStatus::kDraining;
    sim_.discovery.publish(tier, endpoint);
  }
}

void FaultInjector::set_error_rate(std::size_t fault, double rate) {
  for (const EndpointId endpoint : affected_backends_[fault]) {
    sim_.backends.at(sim_.scenario.faults[fault].tier, endpoint).error_rate = rate;
  }
}

void FaultInjector::set_slowdown(std::size_t fault, double factor) {
  for (const EndpointId endpoint : affected_backends_[fault]) {
    sim_.backends.at(sim_.scenario.faults[fault].tier, endpoint).model.slow_down(factor);
  }
}

void FaultInjector::set_report_delay(std::uint32_t tier, Duration delay) {
  for (BackendState& backend : sim_.backends.in_tier(tier)) {
    backend.report_delay = delay;
  }
}

void FaultInjector::begin_link_fault(std::size_t fault) {
  const FaultSpec& spec = sim_.scenario.faults[fault];
  LinkFault link_fault;
  link_fault.fault_index = fault;
  link_fault.proxies.resize(sim_.proxies.size());
  link_fault.backends.resize(sim_.backends.in_tier(spec.tier).size());
  const std::vector<std::uint32_t>& proxies = sim_.proxies.in_tier(spec.tier);
  const std::size_t affected = rounded_share(kAffectedProxyShare, proxies.size());
  for (std::size_t i = 0; i < affected; ++i) {
    link_fault.proxies[proxies[i]] = true;
  }
  for (const EndpointId endpoint : affected_backends_[fault]) {
    link_fault.backends[endpoint] = true;
  }
  if (spec.kind == FaultKind::kLinkReset) {
    sim_.requests.reset_connections(link_fault);
  }
  sim_.network.add(std::move(link_fault));
}

void FaultInjector::begin_proxy_fault(const FaultSpec& spec, std::uint32_t proxy) {
  if (affects_state(spec.kind)) {
    return sim_.proxies.begin_state_fault(spec, proxy);
  }
  switch (spec.kind) {
    case FaultKind::kProxyCrash:
      return sim_.proxies.kill(proxy);
    case FaultKind::kProxyStop:
      return sim_.proxies.pause(proxy);
    case FaultKind::kProxyEnd:
      sim_.proxies[proxy].draining = true;
      return;
    case FaultKind::kDiscoverySilent:
      ++sim_.proxies[proxy].discovery_faults;
      return;
    default:
      return;
  }
}

void FaultInjector::end_proxy_fault(const FaultSpec& spec, std::uint32_t proxy) {
  if (affects_state(spec.kind)) {
    return sim_.proxies.end_state_fault(spec, proxy);
  }
  switch (spec.kind) {
    case FaultKind::kProxyCrash:
      if (!sim_.proxies[proxy].alive) {
        sim_.proxies.start(proxy);
      }
      return;
    case FaultKind::kProxyStop:
      return sim_.proxies.resume(proxy);
    case FaultKind::kProxyEnd:
      sim_.proxies.kill(proxy);
      return sim_.proxies.start(proxy);
    case FaultKind::kDiscoverySilent:
    case FaultKind::kDiscoveryRewound:
      return restore_discovery(proxy);
    default:
      return;
  }
}

// Sends an earlier endpoint list to the affected proxies that can receive it. No affected proxy
// receives updates until the fault ends.
void FaultInjector::rewind_discovery(const FaultSpec& spec) {
  const Time rewound_to = sim_.now - sim_.scenario.list_lag - spec.delay;
  const std::vector<Endpoint> endpoints = sim_.discovery.endpoints_at(0, rewound_to);
  for (const std::uint32_t index : affected_proxies(spec)) {
    ProxyState& proxy = sim_.proxies[index];
    if (proxy.alive && !proxy.paused && proxy.discovery_faults == 0) {
      sim_.proxies.apply_snapshot(index, endpoints);
    }
    ++proxy.discovery_faults;
  }
}

void FaultInjector::restore_discovery(std::uint32_t index) {
  ProxyState& proxy = sim_.proxies[index];
  --proxy.discovery_faults;
  if (proxy.discovery_faults == 0 && proxy.alive) {
    sim_.events.schedule(sim_.now, EndpointUpdateDelivered{proxy.current(), std::nullopt});
  }
}

void FaultInjector::replace(std::size_t fault, EndpointId endpoint) {
  const Scenario& scenario = sim_.scenario;
  const FaultSpec& spec = scenario.faults[fault];
  const std::uint32_t count = scenario.tiers[spec.tier].nodes;
  if (endpoint >= count) {
    return;
  }
  BackendState& replaced = sim_.backends.at(spec.tier, endpoint);
  if (replaced.endpoint.status == EndpointStatus::kUp) {
    const EndpointId added = sim_.backends.add(spec.tier, sim_.now);
    const BackendState& replacement = sim_.backends.at(spec.tier, added);
    if (spec.tier + 1 < scenario.tiers.size()) {
      sim_.proxies.start(replacement.downstream_proxy);
    }
    sim_.discovery.publish(spec.tier, replacement.endpoint);
    replaced.endpoint.status = EndpointStatus::kDraining;
    sim_.discovery.publish(spec.tier, replaced.endpoint);
    const Duration drained_after = scenario.list_lag + scenario.list_spread + scenario.drain_grace +
                                   longest_deadline(scenario);
    sim_.events.schedule(sim_.now + drained_after, DrainedBackendStops{spec.tier, endpoint});
  }
  sim_.events.schedule(sim_.now + spec.length / count, ReplacementDue{fault, endpoint + 1});
}

}  // namespace beechhill::emulator
