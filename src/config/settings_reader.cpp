#include "config/settings_reader.h"

#include <algorithm>
#include <memory>

namespace beechhill::config {
namespace {

ClassSettings class_from(const Json::Value& p) {
  ClassSettings c;
  const auto repeat = get<std::string>(p, "repeat");
  if (repeat == "repeatable") {
    c.effect = Effect::kRepeatable;
  } else if (repeat == "by_key") {
    c.effect = Effect::kKeyed;
  } else if (repeat != "once") {
    fault("repeat", "not one of repeatable, by_key, once", find(p, "repeat"));
  }
  const auto group = get<std::string>(p, "group", "all");
  if (group == "zone") {
    c.group = Group::kZone;
  } else if (group == "cell") {
    c.group = Group::kCell;
  } else if (group != "all") {
    fault("group", "not one of all, zone, cell", find(p, "group"));
  }
  c.memory_span = get<Duration>(p, "memory-span", Duration{0});
  c.aim = get<Duration>(p, "aim");
  c.deadline = get<Duration>(p, "deadline");
  c.aim_stretch = get<double>(p, "aim-stretch", 0);
  c.late_worth = get<double>(p, "late-worth", 0);
  c.worth = get<double>(p, "worth", 1);
  c.streaming = get<bool>(p, "streaming", false);
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
  fault(what, "not JSON: " + errors);
}

NamedSettings read_settings(const Json::Value& env, std::uint64_t seed) {
  NamedSettings named;
  Settings& s = named.settings;
  s.seed = seed;
  for (const Json::Value& p : array_in(env, "profiles")) {
    named.classes.push_back(get<std::string>(p, "name"));
    s.classes.push_back(class_from(p));
  }
  if (find(env, "tenants")) {
    for (const Json::Value& t : array_in(env, "tenants")) {
      named.tenants.push_back(get<std::string>(t, "name"));
      s.tenants.push_back({get<double>(t, "share", 0), get<double>(t, "allowance-per-s", 0)});
    }
  }
  s.over_share_worth = get<double>(env, "over-share-worth", 1);
  named.zone = get<std::string>(env, "zone", "");
  s.tier = get<std::uint32_t>(env, "tier", 0);
  const Json::Value* tiers = find(env, "tiers");
  if (tiers && !tiers->isArray()) {
    fault("tiers", "not an array", tiers);
  }
  s.tier_count = tiers ? std::max(1u, tiers->size()) : s.tier + 1;
  s.replicas = get<std::uint32_t>(env, "replicas-of-me", 1);
  s.step = get<Duration>(env, "step", Duration{1000});
  s.must_ask_discovery = get<std::string>(env, "discovery", "push") == "ask";
  const Json::Value& g = object_in(env, "guarantees");
  s.ask_within = get<Duration>(g, "ask-within", Duration{10'000'000});
  s.drain_grace = get<Duration>(g, "drain-grace", Duration{0});
  s.cold_span = get<Duration>(g, "cold", Duration{0});
  s.cold_from = get<double>(g, "cold-from", 1);
  s.fall_multiple = get<double>(g, "fall-multiple", 1);
  s.tip_after = get<Duration>(g, "tip-after", Duration{0});
  const Json::Value& l = object_in(env, "limits");
  s.may_probe = get<bool>(l, "probes", false);
  s.may_cancel = get<bool>(l, "may-cancel", false);
  s.parallel_tries = get<bool>(l, "parallel-tries", false);
  s.most_tries = get<std::uint32_t>(l, "most-tries", 1);
  s.connect_timeout = get<Duration>(l, "connect-timeout", s.connect_timeout);
  s.idle_close = get<Duration>(l, "idle-close", s.idle_close);
  if (get<bool>(l, "retry-after", false)) {
    s.max_retry_after = get<Duration>(l, "max-retry-after", Duration{0});
  }
  if (find(env, "prices")) {
    const Json::Value& p = object_in(env, "prices");
    s.probe_price = get<double>(p, "probe", 0);
    s.cross_zone_price = get<double>(p, "cross-zone", 0);
  }
  if (find(env, "report")) {
    s.reports_need_probes = get<std::string>(object_in(env, "report"), "source", "none") == "probe";
  }
  return named;
}

}  // namespace beechhill::config
