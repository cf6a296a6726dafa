#include "config/settings_reader.h"

#include <algorithm>

namespace beechhill::config {
namespace {

Idempotency read_idempotency(const Json::Value& profile) {
  const auto repeat = get_member<std::string>(profile, "repeat");
  if (repeat == "repeatable") {
    return Idempotency::kIdempotent;
  }
  if (repeat == "by_key") {
    return Idempotency::kIdempotencyKey;
  }
  if (repeat == "once") {
    return Idempotency::kNonIdempotent;
  }
  throw_json_error("repeat", "not one of repeatable, by_key, once", find_member(profile, "repeat"));
}

DeduplicationScope read_deduplication_scope(const Json::Value& profile) {
  const auto group = get_member<std::string>(profile, "group", "all");
  if (group == "zone") {
    return DeduplicationScope::kZone;
  }
  if (group == "cell") {
    return DeduplicationScope::kCell;
  }
  if (group == "all") {
    return DeduplicationScope::kAll;
  }
  throw_json_error("group", "not one of all, zone, cell", find_member(profile, "group"));
}

ClassSettings read_class(const Json::Value& profile) {
  ClassSettings result;
  result.idempotency = read_idempotency(profile);
  result.deduplication_scope = read_deduplication_scope(profile);
  result.deduplication_window = get_member<Duration>(profile, "memory-span", Duration{0});
  result.latency_objective = get_member<Duration>(profile, "aim");
  result.deadline = get_member<Duration>(profile, "deadline");
  result.latency_objective_work_factor = get_member<double>(profile, "aim-stretch", 0);
  result.late_priority_factor = get_member<double>(profile, "late-worth", 0);
  result.priority_weight = get_member<double>(profile, "worth", 1);
  result.streaming = get_member<bool>(profile, "streaming", false);
  return result;
}

void read_tenants(const Json::Value& env, NamedSettings& named) {
  if (find_member(env, "tenants") == nullptr) {
    return;
  }
  for (const Json::Value& tenant : require_array(env, "tenants")) {
    named.tenants.push_back(get_member<std::string>(tenant, "name"));
    named.settings.tenants.push_back(
        {get_member<double>(tenant, "share", 0), get_member<double>(tenant, "allowance-per-s", 0)});
  }
}

void read_tiers(const Json::Value& env, Settings& settings) {
  settings.tier = get_member<std::uint32_t>(env, "tier", 0);
  const Json::Value* const tiers = find_member(env, "tiers");
  if (tiers != nullptr && !tiers->isArray()) {
    throw_json_error("tiers", "not an array", tiers);
  }
  settings.tier_count = tiers != nullptr ? std::max(1U, tiers->size()) : settings.tier + 1;
}

void read_guarantees(const Json::Value& guarantees, Settings& settings) {
  settings.discovery_poll_interval =
      get_member<Duration>(guarantees, "ask-within", Duration{10'000'000});
  settings.drain_grace = get_member<Duration>(guarantees, "drain-grace", Duration{0});
  settings.slow_start_window = get_member<Duration>(guarantees, "cold", Duration{0});
  settings.slow_start_initial_weight = get_member<double>(guarantees, "cold-from", 1);
  settings.overload_collapse_ratio = get_member<double>(guarantees, "fall-multiple", 1);
  settings.overload_collapse_delay = get_member<Duration>(guarantees, "tip-after", Duration{0});
}

void read_limits(const Json::Value& limits, Settings& settings) {
  settings.health_checks_allowed = get_member<bool>(limits, "probes", false);
  settings.cancellation_allowed = get_member<bool>(limits, "may-cancel", false);
  settings.hedging_allowed = get_member<bool>(limits, "parallel-tries", false);
  settings.max_attempts = get_member<std::uint32_t>(limits, "most-tries", 1);
  settings.connect_timeout =
      get_member<Duration>(limits, "connect-timeout", settings.connect_timeout);
  settings.backend_idle_timeout =
      get_member<Duration>(limits, "idle-close", settings.backend_idle_timeout);
  if (get_member<bool>(limits, "retry-after", false)) {
    settings.max_retry_after = get_member<Duration>(limits, "max-retry-after", Duration{0});
  }
}

void read_costs_and_reports(const Json::Value& env, Settings& settings) {
  if (find_member(env, "prices") != nullptr) {
    const Json::Value& prices = require_object(env, "prices");
    settings.health_check_cost = get_member<double>(prices, "probe", 0);
    settings.cross_zone_cost = get_member<double>(prices, "cross-zone", 0);
  }
  if (find_member(env, "report") != nullptr) {
    const auto source = get_member<std::string>(require_object(env, "report"), "source", "none");
    settings.load_reports_require_health_checks = source == "probe";
  }
}

}  // namespace

NamedSettings read_settings(const Json::Value& env, std::uint64_t seed) {
  NamedSettings named;
  Settings& settings = named.settings;
  settings.seed = seed;
  for (const Json::Value& profile : require_array(env, "profiles")) {
    named.classes.push_back(get_member<std::string>(profile, "name"));
    settings.classes.push_back(read_class(profile));
  }
  read_tenants(env, named);
  settings.over_quota_priority_factor = get_member<double>(env, "over-share-worth", 1);
  named.zone = get_member<std::string>(env, "zone", "");
  read_tiers(env, settings);
  settings.replicas = get_member<std::uint32_t>(env, "replicas-of-me", 1);
  settings.time_step = get_member<Duration>(env, "step", Duration{1000});
  settings.discovery_polling_required = get_member<std::string>(env, "discovery", "push") == "ask";
  read_guarantees(require_object(env, "guarantees"), settings);
  read_limits(require_object(env, "limits"), settings);
  read_costs_and_reports(env, settings);
  return named;
}

}  // namespace beechhill::config
