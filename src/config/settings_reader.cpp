#include "config/settings_reader.h"

#include <algorithm>
#include <memory>

namespace beechhill::config {
namespace {

ClassSettings class_from(const Json::Value& p) {
  ClassSettings c;
  const auto repeat = get_member<std::string>(p, "repeat");
  if (repeat == "repeatable") {
    c.idempotency = Idempotency::kIdempotent;
  } else if (repeat == "by_key") {
    c.idempotency = Idempotency::kIdempotencyKey;
  } else if (repeat != "once") {
    throw_json_error("repeat", "not one of repeatable, by_key, once", find_member(p, "repeat"));
  }
  const auto group = get_member<std::string>(p, "group", "all");
  if (group == "zone") {
    c.deduplication_scope = DeduplicationScope::kZone;
  } else if (group == "cell") {
    c.deduplication_scope = DeduplicationScope::kCell;
  } else if (group != "all") {
    throw_json_error("group", "not one of all, zone, cell", find_member(p, "group"));
  }
  c.deduplication_window = get_member<Duration>(p, "memory-span", Duration{0});
  c.latency_objective = get_member<Duration>(p, "aim");
  c.deadline = get_member<Duration>(p, "deadline");
  c.latency_objective_work_factor = get_member<double>(p, "aim-stretch", 0);
  c.late_priority_factor = get_member<double>(p, "late-worth", 0);
  c.priority_weight = get_member<double>(p, "worth", 1);
  c.streaming = get_member<bool>(p, "streaming", false);
  return c;
}

}  // namespace

Json::Value parse(const char* begin, const char* end, const std::string& what) {
  static const auto reader = [] {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = 64;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
  }();
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(begin, end, &value, &errors)) {
      return value;
    }
  } catch (const Json::Exception& error) {
    errors = error.what();  // nested too deep
  }
  std::replace(errors.begin(), errors.end(), '\n', ' ');
  throw_json_error(what, "not JSON: " + errors);
}

NamedSettings read_settings(const Json::Value& env, std::uint64_t seed) {
  NamedSettings named;
  Settings& s = named.settings;
  s.seed = seed;
  for (const Json::Value& p : require_array(env, "profiles")) {
    named.classes.push_back(get_member<std::string>(p, "name"));
    s.classes.push_back(class_from(p));
  }
  if (find_member(env, "tenants")) {
    for (const Json::Value& t : require_array(env, "tenants")) {
      named.tenants.push_back(get_member<std::string>(t, "name"));
      s.tenants.push_back(
          {get_member<double>(t, "share", 0), get_member<double>(t, "allowance-per-s", 0)});
    }
  }
  s.over_quota_priority_factor = get_member<double>(env, "over-share-worth", 1);
  named.zone = get_member<std::string>(env, "zone", "");
  s.tier = get_member<std::uint32_t>(env, "tier", 0);
  const Json::Value* tiers = find_member(env, "tiers");
  if (tiers && !tiers->isArray()) {
    throw_json_error("tiers", "not an array", tiers);
  }
  s.tier_count = tiers ? std::max(1u, tiers->size()) : s.tier + 1;
  s.replicas = get_member<std::uint32_t>(env, "replicas-of-me", 1);
  s.time_step = get_member<Duration>(env, "step", Duration{1000});
  s.discovery_polling_required = get_member<std::string>(env, "discovery", "push") == "ask";
  const Json::Value& g = require_object(env, "guarantees");
  s.discovery_poll_interval = get_member<Duration>(g, "ask-within", Duration{10'000'000});
  s.drain_grace = get_member<Duration>(g, "drain-grace", Duration{0});
  s.slow_start_window = get_member<Duration>(g, "cold", Duration{0});
  s.slow_start_initial_weight = get_member<double>(g, "cold-from", 1);
  s.overload_collapse_ratio = get_member<double>(g, "fall-multiple", 1);
  s.overload_collapse_delay = get_member<Duration>(g, "tip-after", Duration{0});
  const Json::Value& l = require_object(env, "limits");
  s.health_checks_allowed = get_member<bool>(l, "probes", false);
  s.cancellation_allowed = get_member<bool>(l, "may-cancel", false);
  s.hedging_allowed = get_member<bool>(l, "parallel-tries", false);
  s.max_attempts = get_member<std::uint32_t>(l, "most-tries", 1);
  s.connect_timeout = get_member<Duration>(l, "connect-timeout", s.connect_timeout);
  s.backend_idle_timeout = get_member<Duration>(l, "idle-close", s.backend_idle_timeout);
  if (get_member<bool>(l, "retry-after", false)) {
    s.max_retry_after = get_member<Duration>(l, "max-retry-after", Duration{0});
  }
  if (find_member(env, "prices")) {
    const Json::Value& p = require_object(env, "prices");
    s.health_check_cost = get_member<double>(p, "probe", 0);
    s.cross_zone_cost = get_member<double>(p, "cross-zone", 0);
  }
  if (find_member(env, "report")) {
    s.load_reports_require_health_checks =
        get_member<std::string>(require_object(env, "report"), "source", "none") == "probe";
  }
  return named;
}

}  // namespace beechhill::config
