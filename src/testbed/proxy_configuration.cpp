#include "testbed/proxy_configuration.h"

#include <fmt/format.h>

#include <array>

namespace beechhill::testbed {

namespace {

// Maximum number of sockets of a proxy, sufficient for any scenario's clients and backends.
constexpr int kMaxSockets = 4096;

// Difference between the proxy seeds for consecutive scenario seeds.
constexpr std::uint64_t kSeedStride = 1000;

Json::Int64 microseconds(Duration duration) {
  return static_cast<Json::Int64>(duration.count());
}

Json::Value profile(const std::string& name, const ClassSettings& settings) {
  static constexpr std::array kRepeat{"repeatable", "by_key", "once"};  // indexed by Idempotency
  static constexpr std::array kGroup{"all", "zone", "cell"};  // indexed by DeduplicationScope
  Json::Value json;
  json["name"] = name;
  json["repeat"] = kRepeat.at(static_cast<std::size_t>(settings.idempotency));
  json["group"] = kGroup.at(static_cast<std::size_t>(settings.deduplication_scope));
  json["memory-span"] = microseconds(settings.deduplication_window);
  json["aim"] = microseconds(settings.latency_objective);
  json["deadline"] = microseconds(settings.deadline);
  json["late-worth"] = settings.late_priority_factor;
  json["worth"] = settings.priority_weight;
  return json;
}

Json::Value tenant(const std::string& name, const TenantSettings& settings) {
  Json::Value json;
  json["name"] = name;
  json["share"] = settings.share;
  json["allowance-per-s"] = settings.quota_per_s;
  return json;
}

Json::Value guarantees(const Settings& settings) {
  Json::Value json;
  json["drain-grace"] = microseconds(settings.drain_grace);
  json["cold"] = microseconds(settings.slow_start_window);
  json["cold-from"] = settings.slow_start_initial_weight;
  json["fall-multiple"] = settings.overload_collapse_ratio;
  json["tip-after"] = microseconds(settings.overload_collapse_delay);
  return json;
}

Json::Value limits(const Settings& settings) {
  Json::Value json;
  json["probes"] = settings.health_checks_allowed;
  json["may-cancel"] = settings.cancellation_allowed;
  json["parallel-tries"] = settings.hedging_allowed;
  json["most-tries"] = settings.max_attempts;
  json["connect-timeout"] = microseconds(settings.connect_timeout);
  json["idle-close"] = microseconds(settings.backend_idle_timeout);
  json["retry-after"] = settings.max_retry_after > Duration{0};
  json["max-retry-after"] = microseconds(settings.max_retry_after);
  return json;
}

}  // namespace

std::uint64_t proxy_seed(const emulator::Scenario& scenario, std::size_t proxy) {
  return scenario.seed * kSeedStride + proxy;
}

Json::Value proxy_configuration(const emulator::Scenario& scenario, const std::string& name,
                                const std::string& listen, const std::string& discovery,
                                std::uint64_t seed) {
  const Settings settings = emulator::settings_for(scenario, 0, 0, scenario.proxies, seed);
  Json::Value config;
  config["name"] = name;
  config["listen"] = listen;
  config["discovery"] = discovery;
  config["seed"] = fmt::format("{:016x}", seed);
  config["limits"]["sockets"] = kMaxSockets;
  Json::Value& json = config["settings"];
  json["zone"] = "zone-0";
  json["tier"] = 0;
  json["tiers"].append(scenario.tiers[0].name);
  json["replicas-of-me"] = scenario.proxies;
  json["discovery"] = "push";
  json["over-share-worth"] = settings.over_quota_priority_factor;
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    json["profiles"].append(profile(scenario.classes[i].name, settings.classes[i]));
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    json["tenants"].append(tenant(scenario.tenants[i].name, settings.tenants[i]));
  }
  json["guarantees"] = guarantees(settings);
  json["limits"] = limits(settings);
  return config;
}

}  // namespace beechhill::testbed
