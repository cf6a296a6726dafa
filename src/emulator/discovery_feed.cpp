#include "emulator/discovery_feed.h"

#include <algorithm>

#include "emulator/simulation.h"

namespace beechhill::emulator {

DiscoveryFeed::DiscoveryFeed(Simulation& sim)
    : sim_(sim), random_(sim.scenario.seed, Actor::kDiscovery, 0) {
}

void DiscoveryFeed::publish(std::uint32_t tier, const Endpoint& endpoint, Duration extra_delay) {
  updates_.push_back(EndpointUpdate{UpdateKind::kDelta, {endpoint}});
  changes_.push_back({sim_.now + extra_delay, tier, endpoint});
  const Scenario& scenario = sim_.scenario;
  for (const std::uint32_t index : sim_.proxies.in_tier(tier)) {
    ProxyState& proxy = sim_.proxies[index];
    const Duration spread = to_duration(to_s(scenario.list_spread) * random_.uniform());
    const Duration lag = scenario.list_lag + spread + staleness_ + extra_delay;
    // Keeps the updates to one proxy in order, whatever their random delays.
    proxy.last_update_at = std::max(sim_.now + lag, proxy.last_update_at + Duration{1});
    sim_.events.schedule(proxy.last_update_at,
                         EndpointUpdateDelivered{proxy.current(), updates_.size() - 1});
  }
}

void DiscoveryFeed::deliver(std::uint32_t proxy, std::optional<std::size_t> update) {
  ProxyState& state = sim_.proxies[proxy];
  if (state.discovery_faults > 0) {
    return;
  }
  if (!update) {
    return sim_.proxies.apply_snapshot(proxy, sim_.backends.listed_endpoints(state.tier));
  }
  sim_.proxies.apply_delta(proxy, updates_[*update]);
}

std::vector<Endpoint> DiscoveryFeed::endpoints_at(std::uint32_t tier, Time at) const {
  std::vector<Endpoint> endpoints;
  for (const BackendState& backend : sim_.backends.in_tier(tier)) {
    Endpoint endpoint = backend.endpoint;
    const bool since_start = endpoint.id < sim_.scenario.tiers[tier].nodes;
    endpoint.started_at.reset();
    endpoint.status = since_start ? EndpointStatus::kUp : EndpointStatus::kRemoved;
    endpoints.push_back(endpoint);
  }
  for (const Change& change : changes_) {
    if (change.tier == tier && change.at <= at) {
      endpoints[change.endpoint.id] = change.endpoint;
    }
  }
  std::erase_if(endpoints, [](const Endpoint& e) { return e.status == EndpointStatus::kRemoved; });
  return endpoints;
}

}  // namespace beechhill::emulator
