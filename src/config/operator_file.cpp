#include "config/operator_file.h"

#include <algorithm>

#include "net/socket.h"

namespace beechhill::config {
namespace {

constexpr std::size_t kLongestName = 48;  // of a member

void check_address(const TomlReader& r, std::string_view key, const std::string& text) {
  if (!text.empty() && !net::parse_address(text)) {
    r.fault(key, "not an IPv4 address and a port: " + text);
  }
}

MembershipSettings membership_from(TomlReader r) {
  MembershipSettings m;
  m.listen_address = r.text("listen", ""), m.advertised_address = r.text("advertise", "");
  m.seed_addresses = r.texts("seeds");
  m.key_file = r.text("key_file", "");
  m.probe_interval = r.span("interval", m.probe_interval, std::chrono::milliseconds(50));
  m.forget_after = r.span("forget_after", m.forget_after, std::chrono::minutes(1));
  check_address(r, "listen", m.listen_address), check_address(r, "advertise", m.advertised_address);
  for (const std::string& seed : m.seed_addresses) {
    check_address(r, "seeds", seed);
  }
  if (!m.listen_address.empty() && m.key_file.empty()) {
    r.fault("key_file", "missing");
  }
#ifndef BEECHHILL_CLUSTER
  if (!m.listen_address.empty()) {
    r.fault("listen", "this build has no membership (BEECHHILL_CLUSTER)");
  }
#endif
  r.finish();
  return m;
}

MaintenanceSettings maintenance_from(TomlReader r, const MembershipSettings& membership) {
  MaintenanceSettings m;
  m.voters = r.texts("voters");
  const std::set<std::string> names(m.voters.begin(), m.voters.end());
  const std::size_t n = m.voters.size();
  if (n != 0 && n != 1 && n != 3 && n != 5 && n != 7) {
    r.fault("voters", "1, 3, 5 or 7 names");
  }
  if (names.size() != n) {
    r.fault("voters", "a name comes twice");
  }
  for (const std::string& name : names) {
    if (name.empty() || name.size() > kLongestName || name.find('#') != std::string::npos) {
      r.fault("voters", "no name of a proxy: " + name);
    }
  }
  if (n > 0 && membership.listen_address.empty()) {
    r.fault("voters", "needs membership.listen");
  }
  m.storage_directory = r.text("folder", "");
  m.lease_duration = r.span("lease", m.lease_duration, std::chrono::seconds(1));
  m.isolation_timeout = r.span("isolated_after", m.isolation_timeout);
  m.initial_lease_timeout = r.span("hear_within", m.initial_lease_timeout);
  m.serve_without_lease = r.flag("serve_unheard", m.serve_without_lease);
  maintenance::DisruptionBudget& b = m.disruption_budget;
  const auto count = [&r](const char* key, std::uint32_t otherwise) {
    return static_cast<std::uint32_t>(r.integer(key, otherwise, 0, 100'000));
  };
  const auto whole = [&r](const char* key, maintenance::Seconds otherwise) {
    return r.span(key, std::chrono::seconds(otherwise), std::chrono::seconds(1)) /
           std::chrono::seconds(1);
  };
  b.capacity_reserve = r.number("reserve", b.capacity_reserve, 0, 10);
  b.max_out = count("most_out", b.max_out),
  b.max_out_per_zone = count("most_out_zone", b.max_out_per_zone);
  b.max_out_per_cell = count("most_out_cell", b.max_out_per_cell),
  b.min_proxies_per_zone = count("least_proxies", b.min_proxies_per_zone);
  b.drain_timeout = whole("evacuate_within", b.drain_timeout),
  b.deferral = whole("put_off", b.deferral);
  b.priority_aging_interval = whole("age_step", b.priority_aging_interval),
  b.quiet_period = whole("calm", b.quiet_period);
  b.needs_approval = r.flag("approval", b.needs_approval);
  r.finish();
  return m;
}

}  // namespace

OperatorSettings read_operator(const toml::table& root, const std::string& file) {
  OperatorSettings o;
  TomlReader r(root, file);
  TomlReader l = r.table("log");
  o.log.level = static_cast<log::Level>(l.word("level", static_cast<std::size_t>(o.log.level),
                                               {"debug", "info", "warning", "error", "off"}));
  o.log.format = static_cast<log::Format>(l.word("format", 0, {"logfmt", "json"}));
  o.log.time = l.flag("time", false);
  o.log.queue = static_cast<std::size_t>(
      l.integer("queue", static_cast<std::int64_t>(o.log.queue), 16, 65'536));
  l.finish();
  TomlReader s = r.table("routing");
  o.subset.min_endpoints = static_cast<std::uint32_t>(s.integer("subset_nodes", 0, 0, 100'000));
  o.subset.coverage =
      static_cast<std::uint32_t>(s.integer("coverage", o.subset.coverage, 1, 10'000));
  o.subset.proxies = static_cast<std::uint32_t>(s.integer("proxies", 0, 0, 100'000));
  if (s.has("place")) {
    o.subset.proxy_index = static_cast<std::uint32_t>(s.integer("place", 0, 0, 100'000));
  }
  if (o.subset.proxy_index && *o.subset.proxy_index >= o.subset.proxies) {
    s.fault("place", "not under proxies");
  }
  s.finish();
  TomlReader n = r.table("snapshot");
  o.snapshot.directory = n.text("folder", "");
  const Duration every = n.span("every", o.snapshot.interval, std::chrono::milliseconds(100));
  o.snapshot.interval = std::chrono::duration_cast<std::chrono::milliseconds>(every);
  n.finish();
  o.membership = membership_from(r.table("membership"));
  o.maintenance = maintenance_from(r.table("maintenance"), o.membership);
  r.finish();
  return o;
}

OperatorSettings load_operator(const std::string& path) {
  if (path.empty()) {
    return {};
  }
  return read_operator(load_toml(path), path);
}

}  // namespace beechhill::config
