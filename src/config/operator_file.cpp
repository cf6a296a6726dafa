#include "config/operator_file.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>

#include "net/socket.h"

namespace beechhill::config {
namespace {

using namespace std::chrono_literals;

// Maximum length of a member's name in the datagram format.
constexpr std::size_t kMaxNameBytes = 48;
constexpr std::size_t kMaxVoters = 7;
// Upper bound on the settings that are numbers of machines, proxies or endpoints.
constexpr std::int64_t kMaxCount = 100'000;
constexpr std::int64_t kMaxCoverage = 10'000;
constexpr double kMaxCapacityReserve = 10;
constexpr std::int64_t kMinLogQueue = 16;
constexpr std::int64_t kMaxLogQueue = 65'536;
constexpr Duration kMinProbeInterval = 50ms;
constexpr Duration kMinForgetAfter = 1min;
constexpr Duration kMinSnapshotInterval = 100ms;
constexpr Duration kMinLease = 1s;

std::uint32_t read_count(TomlReader& table, std::string_view key, std::uint32_t fallback) {
  return static_cast<std::uint32_t>(table.integer(key, fallback, 0, kMaxCount));
}

// Reads a duration of at least 1 s and rounds it down to whole seconds.
maintenance::Seconds read_seconds(TomlReader& table, std::string_view key,
                                  maintenance::Seconds fallback) {
  return table.duration(key, std::chrono::seconds(fallback), 1s) / std::chrono::seconds(1);
}

void check_address(const TomlReader& table, std::string_view key, const std::string& text) {
  if (!text.empty() && !net::parse_address(text)) {
    table.throw_error(key, "not an IPv4 address with a port: " + text);
  }
}

log::Settings read_log(TomlReader table) {
  log::Settings settings;
  settings.level =
      static_cast<log::Level>(table.choice("level", static_cast<std::size_t>(settings.level),
                                           {"debug", "info", "warning", "error", "off"}));
  settings.format = static_cast<log::Format>(
      table.choice("format", static_cast<std::size_t>(settings.format), {"logfmt", "json"}));
  settings.time = table.boolean("time", settings.time);
  settings.queue = static_cast<std::size_t>(table.integer(
      "queue", static_cast<std::int64_t>(settings.queue), kMinLogQueue, kMaxLogQueue));
  table.finish();
  return settings;
}

routing::SubsetSettings read_routing(TomlReader table) {
  routing::SubsetSettings settings;
  settings.min_endpoints = read_count(table, "subset_nodes", 0);
  settings.coverage =
      static_cast<std::uint32_t>(table.integer("coverage", settings.coverage, 1, kMaxCoverage));
  settings.proxies = read_count(table, "proxies", 0);
  if (table.has("place")) {
    settings.proxy_index = read_count(table, "place", 0);
  }
  if (settings.proxy_index && *settings.proxy_index >= settings.proxies) {
    table.throw_error("place", "must be less than routing.proxies");
  }
  table.finish();
  return settings;
}

SnapshotSettings read_snapshot(TomlReader table) {
  SnapshotSettings settings;
  settings.directory = table.string("folder", "");
  const Duration interval = table.duration("every", settings.interval, kMinSnapshotInterval);
  settings.interval = std::chrono::duration_cast<std::chrono::milliseconds>(interval);
  table.finish();
  return settings;
}

MembershipSettings read_membership(TomlReader table) {
  MembershipSettings settings;
  settings.listen_address = table.string("listen", "");
  settings.advertised_address = table.string("advertise", "");
  settings.seed_addresses = table.strings("seeds");
  settings.key_file = table.string("key_file", "");
  settings.probe_interval = table.duration("interval", settings.probe_interval, kMinProbeInterval);
  settings.forget_after = table.duration("forget_after", settings.forget_after, kMinForgetAfter);
  check_address(table, "listen", settings.listen_address);
  check_address(table, "advertise", settings.advertised_address);
  for (const std::string& seed : settings.seed_addresses) {
    check_address(table, "seeds", seed);
  }
  if (!settings.listen_address.empty() && settings.key_file.empty()) {
    table.throw_error("key_file", "missing; required if membership.listen is set");
  }
#ifndef BEECHHILL_CLUSTER
  if (!settings.listen_address.empty()) {
    table.throw_error("listen", "not supported: this build does not include BEECHHILL_CLUSTER");
  }
#endif
  table.finish();
  return settings;
}

void check_voters(const TomlReader& table, const std::vector<std::string>& voters,
                  const MembershipSettings& membership) {
  const std::size_t count = voters.size();
  if (count != 0 && (count % 2 == 0 || count > kMaxVoters)) {
    table.throw_error("voters", "not 1, 3, 5 or 7 names");
  }
  const std::set<std::string> names(voters.begin(), voters.end());
  if (names.size() != count) {
    table.throw_error("voters", "must not contain a name twice");
  }
  for (const std::string& name : names) {
    if (name.empty() || name.size() > kMaxNameBytes || name.find('#') != std::string::npos) {
      table.throw_error("voters", "not a proxy name of 1 to 48 bytes without '#': " + name);
    }
  }
  if (count > 0 && membership.listen_address.empty()) {
    table.throw_error("voters", "requires membership.listen to be set");
  }
}

maintenance::DisruptionBudget read_disruption_budget(TomlReader& table) {
  maintenance::DisruptionBudget budget;
  budget.capacity_reserve =
      table.number("reserve", budget.capacity_reserve, 0, kMaxCapacityReserve);
  budget.max_out = read_count(table, "most_out", budget.max_out);
  budget.max_out_per_zone = read_count(table, "most_out_zone", budget.max_out_per_zone);
  budget.max_out_per_cell = read_count(table, "most_out_cell", budget.max_out_per_cell);
  budget.min_proxies_per_zone = read_count(table, "least_proxies", budget.min_proxies_per_zone);
  budget.drain_timeout = read_seconds(table, "evacuate_within", budget.drain_timeout);
  budget.deferral = read_seconds(table, "put_off", budget.deferral);
  budget.priority_aging_interval = read_seconds(table, "age_step", budget.priority_aging_interval);
  budget.quiet_period = read_seconds(table, "calm", budget.quiet_period);
  budget.needs_approval = table.boolean("approval", budget.needs_approval);
  return budget;
}

MaintenanceSettings read_maintenance(TomlReader table, const MembershipSettings& membership) {
  MaintenanceSettings settings;
  settings.voters = table.strings("voters");
  check_voters(table, settings.voters, membership);
  settings.storage_directory = table.string("folder", "");
  settings.lease_duration = table.duration("lease", settings.lease_duration, kMinLease);
  settings.isolation_timeout = table.duration("isolated_after", settings.isolation_timeout);
  settings.initial_lease_timeout = table.duration("hear_within", settings.initial_lease_timeout);
  settings.serve_without_lease = table.boolean("serve_unheard", settings.serve_without_lease);
  settings.disruption_budget = read_disruption_budget(table);
  table.finish();
  return settings;
}

}  // namespace

OperatorSettings read_operator_settings(const toml::table& root, const std::string& file) {
  OperatorSettings settings;
  TomlReader reader(root, file);
  settings.log = read_log(reader.table("log"));
  settings.subset = read_routing(reader.table("routing"));
  settings.snapshot = read_snapshot(reader.table("snapshot"));
  settings.membership = read_membership(reader.table("membership"));
  settings.maintenance = read_maintenance(reader.table("maintenance"), settings.membership);
  reader.finish();
  return settings;
}

OperatorSettings load_operator_settings(const std::string& path) {
  if (path.empty()) {
    return {};
  }
  return read_operator_settings(load_toml(path), path);
}

}  // namespace beechhill::config
