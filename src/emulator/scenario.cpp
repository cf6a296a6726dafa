#include "emulator/scenario.h"

#include <algorithm>
#include <cmath>

#include "emulator/random.h"

namespace beechhill::emulator {
namespace {

// The endpoints in the zone and cell that the fault names, or all endpoints if it names neither.
std::vector<EndpointId> candidates(const FaultSpec& fault, const std::vector<Endpoint>& nodes) {
  std::vector<EndpointId> ids;
  for (const Endpoint& node : nodes) {
    const bool in_zone = fault.zone < 0 || node.zone == static_cast<std::uint32_t>(fault.zone);
    const bool in_cell = fault.cell < 0 || node.cell == static_cast<std::uint32_t>(fault.cell);
    if (in_zone && in_cell) {
      ids.push_back(node.id);
    }
  }
  return ids;
}

std::vector<TenantSettings> tenant_settings(const Scenario& scenario) {
  double shares = 0;
  for (const TenantSpec& tenant : scenario.tenants) {
    shares += tenant.share;
  }
  std::vector<TenantSettings> tenants;
  for (const TenantSpec& tenant : scenario.tenants) {
    if (shares <= 0) {
      tenants.push_back({0, 0});
      continue;
    }
    const double quota_per_s =
        scenario.load.quota * capacity_per_s(scenario) * tenant.share / shares;
    tenants.push_back({tenant.share / shares, quota_per_s});
  }
  return tenants;
}

}  // namespace

std::size_t rounded_share(double part, std::size_t count) {
  const auto rounded = static_cast<std::size_t>(std::llround(part * static_cast<double>(count)));
  return std::min(count, std::max<std::size_t>(1, rounded));
}

std::vector<std::uint32_t> affected_proxies(const Scenario& scenario, const FaultSpec& fault) {
  std::vector<std::uint32_t> affected;
  if (!affects_proxies(fault.kind)) {
    return affected;
  }
  const std::size_t count =
      fault.proxies > 0 ? fault.proxies : rounded_share(fault.part, scenario.proxies);
  for (std::uint32_t i = 0; i < count; ++i) {
    affected.push_back((fault.first + i) % scenario.proxies);
  }
  return affected;
}

std::vector<EndpointId> affected_backends(const Scenario& scenario, std::size_t fault,
                                          const std::vector<Endpoint>& nodes) {
  const FaultSpec& spec = scenario.faults[fault];
  std::vector<EndpointId> remaining = candidates(spec, nodes);
  // If neither a number nor a share is set, the fault affects all candidates.
  std::size_t count = remaining.size();
  if (spec.nodes > 0) {
    count = spec.nodes;
  } else if (spec.part > 0) {
    count = rounded_share(spec.part, remaining.size());
  }
  std::vector<EndpointId> chosen;
  Stream random(scenario.seed, Actor::kFaults, fault);
  while (chosen.size() < count && !remaining.empty()) {
    const std::size_t i = random.below(remaining.size());
    chosen.push_back(remaining[i]);
    remaining[i] = remaining.back();
    remaining.pop_back();
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

Duration longest_deadline(const Scenario& scenario) {
  Duration longest{0};
  for (const ClassSpec& request_class : scenario.classes) {
    longest = std::max(longest, request_class.settings.deadline);
  }
  return longest;
}

double mean_work_s(const Scenario& scenario) {
  double parts = 0;
  double work = 0;
  for (const ClassSpec& request_class : scenario.classes) {
    parts += request_class.part;
    work += request_class.part * request_class.work_s;
  }
  return work / parts;
}

double capacity_per_s(const Scenario& scenario) {
  // Larger than the rate that any tier can process.
  constexpr double kUnbounded = 1e18;
  const double work = mean_work_s(scenario);
  double min_rate = kUnbounded;
  double calls = 1;
  for (const TierSpec& tier : scenario.tiers) {
    const double speed = (tier.speed.from + tier.speed.to) / 2;
    if (tier.work > 0) {
      min_rate = std::min(min_rate, tier.nodes * tier.cores * speed / (work * tier.work * calls));
    }
    calls *= (std::floor(tier.calls.from) + std::floor(tier.calls.to)) / 2;
    if (calls <= 0) {
      break;
    }
  }
  return min_rate;
}

double rate_per_s(const Scenario& scenario) {
  if (scenario.load.rate_per_s > 0) {
    return scenario.load.rate_per_s;
  }
  return scenario.load.utilisation * capacity_per_s(scenario);
}

Settings settings_for(const Scenario& scenario, std::uint32_t tier, std::uint32_t zone,
                      std::uint32_t replicas, std::uint64_t seed) {
  const TierSpec& spec = scenario.tiers[tier];
  Settings settings;
  settings.seed = seed;
  for (const ClassSpec& request_class : scenario.classes) {
    settings.classes.push_back(request_class.settings);
  }
  settings.tenants = tenant_settings(scenario);
  settings.over_quota_priority_factor = scenario.load.over_quota_factor;
  settings.zone = zone;
  settings.tier = tier;
  settings.tier_count = static_cast<std::uint32_t>(scenario.tiers.size());
  settings.replicas = replicas;
  settings.drain_grace = scenario.drain_grace;
  settings.slow_start_window = spec.cold_span;
  settings.slow_start_initial_weight = spec.cold_from;
  settings.overload_collapse_ratio = scenario.collapse_ratio;
  settings.overload_collapse_delay = scenario.collapse_delay;
  settings.health_checks_allowed = scenario.health_checks_allowed;
  settings.cancellation_allowed = scenario.cancellation_allowed;
  settings.hedging_allowed = scenario.hedging_allowed;
  settings.max_attempts = scenario.tries;
  settings.max_retry_after = scenario.max_retry_after;
  settings.connect_timeout = scenario.connect_timeout;
  settings.backend_idle_timeout = spec.connection_idle_timeout;
  settings.cross_zone_cost = scenario.cross_zone > Duration{0} ? 1 : 0;
  return settings;
}

}  // namespace beechhill::emulator
