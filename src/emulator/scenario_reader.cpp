#include "emulator/scenario_reader.h"

#include <algorithm>
#include <cstdint>

namespace beechhill::emulator {
namespace {

using config::TomlReader;

constexpr std::int64_t kMaxNodes = 100'000;
constexpr std::int64_t kMaxProxies = 10'000;
constexpr double kMaxRate = 1e7;
constexpr std::size_t kMaxFaults = 1000;
constexpr std::size_t kMaxTiers = 8;
constexpr std::size_t kMaxClasses = 64;
constexpr std::size_t kMaxTenants = 10'000;
constexpr std::int64_t kMaxVoters = 7;
constexpr Duration kMaxLength = std::chrono::hours(48);

std::uint32_t read_count(TomlReader& reader, const char* key, std::uint32_t otherwise,
                         std::int64_t min, std::int64_t max) {
  return static_cast<std::uint32_t>(reader.integer(key, otherwise, min, max));
}

std::string read_name(TomlReader& reader) {
  std::string name = reader.string("name", "");
  if (name.empty()) {
    reader.throw_error("name", "missing or empty");
  }
  return name;
}

ClassSpec read_class(TomlReader reader) {
  ClassSpec spec;
  ClassSettings& settings = spec.settings;
  spec.name = read_name(reader);
  spec.part = reader.number("part", 1, 0, 1e6);
  settings.idempotency =
      static_cast<Idempotency>(reader.choice("repeat", 0, {"repeatable", "by_key", "once"}));
  settings.deduplication_scope =
      static_cast<DeduplicationScope>(reader.choice("group", 0, {"all", "zone", "cell"}));
  settings.deduplication_window = reader.duration("memory", Duration{3'000'000});
  settings.latency_objective = reader.duration("aim", Duration{500'000}, Duration{1});
  settings.deadline = reader.duration("deadline", 2 * settings.latency_objective, Duration{1});
  if (settings.deadline < settings.latency_objective) {
    reader.throw_error("deadline", "shorter than the latency objective (aim)");
  }
  settings.late_priority_factor = reader.number("late_worth", 0, 0, 1);
  settings.priority_weight = reader.number("worth", 1, 0, 1e6);
  spec.work_s = to_s(reader.duration("work", Duration{10'000}, Duration{1}));
  spec.distribution = static_cast<WorkDistribution>(
      reader.choice("spread", 1, {"fixed", "exponential", "lognormal"}));
  spec.variation = reader.number("variation", 1, 0, 10);
  reader.finish();
  return spec;
}

TenantSpec read_tenant(TomlReader reader) {
  TenantSpec spec;
  spec.name = read_name(reader);
  spec.share = reader.number("share", 1, 0, 1e6);
  spec.part = reader.number("part", spec.share, 0, 1e6);
  reader.finish();
  return spec;
}

void read_load_report(TomlReader reader, TierSpec& spec) {
  spec.report_interval = reader.duration("every", spec.report_interval, Duration{1000});
  spec.report_delay = reader.duration("delay", spec.report_delay);
  spec.report_noise = reader.number("noise", 0, 0, 1);
  reader.finish();
}

void read_slow_start(TomlReader reader, TierSpec& spec) {
  spec.cold_from = reader.number("from", spec.cold_from, 0.01, 1);
  spec.cold_span = reader.duration("span", spec.cold_span);
  reader.finish();
}

void read_choke(TomlReader reader, TierSpec& spec) {
  spec.collapse_queue_per_core = reader.number("crowd", 0, 0, 1e6);
  spec.collapse_after = reader.duration("after", spec.collapse_after);
  spec.collapse_idle = reader.duration("idle", spec.collapse_idle);
  spec.collapse_max = reader.duration("most", spec.collapse_max);
  spec.collapse_slowdown = reader.number("slow", spec.collapse_slowdown, 1, 1000);
  reader.finish();
}

void read_connection(TomlReader reader, TierSpec& spec) {
  spec.handshake = reader.duration("handshake", spec.handshake);
  spec.handshake_work = reader.duration("work", spec.handshake_work);
  spec.connection_idle_timeout = reader.duration("idle", spec.connection_idle_timeout, Duration{1});
  reader.finish();
}

TierSpec read_tier(TomlReader reader) {
  TierSpec spec;
  spec.name = reader.string("name", "");
  spec.nodes = read_count(reader, "nodes", 1, 1, kMaxNodes);
  spec.cores = read_count(reader, "cores", 1, 1, 1024);
  spec.slots = read_count(reader, "slots", 32 * spec.cores, 1, 1'000'000);
  spec.room = read_count(reader, "room", 64, 0, 100'000'000);
  spec.zones = read_count(reader, "zones", 1, 1, 64);
  spec.cell_size = read_count(reader, "cell_size", 4, 1, kMaxNodes);
  spec.speed = reader.range("speed", spec.speed, 0.001, 1000);
  spec.work = reader.number("work", 1, 0, 1);
  spec.calls = reader.range("calls", spec.calls, 0, 16);
  spec.errors = reader.number("errors", 0, 0, 1);
  read_load_report(reader.table("report"), spec);
  read_slow_start(reader.table("cold"), spec);
  read_choke(reader.table("choke"), spec);
  read_connection(reader.table("connection"), spec);
  spec.drops_cancelled_jobs = reader.boolean("cancel_stops", false);
  reader.finish();
  return spec;
}

void read_network(TomlReader reader, Scenario& scenario) {
  scenario.network = reader.duration("one_way", scenario.network);
  scenario.network_spread = reader.number("spread", scenario.network_spread, 0, 1);
  scenario.cross_zone = reader.duration("cross_zone", scenario.cross_zone);
  reader.finish();
}

void read_proxies(TomlReader reader, Scenario& scenario) {
  scenario.proxies = read_count(reader, "count", 1, 1, kMaxProxies);
  scenario.tries = read_count(reader, "tries", scenario.tries, 1, 100);
  scenario.proxy_notice = reader.duration("notice", scenario.proxy_notice);
  if (reader.has("snapshot_every")) {
    scenario.snapshot_every = reader.duration("snapshot_every", Duration{0}, Duration{100'000});
  }
  scenario.connect_timeout =
      reader.duration("connect_timeout", scenario.connect_timeout, Duration{1});
  scenario.health_checks_allowed = reader.boolean("probes", scenario.health_checks_allowed);
  scenario.cancellation_allowed = reader.boolean("cancels", scenario.cancellation_allowed);
  scenario.hedging_allowed = reader.boolean("parallel_tries", scenario.hedging_allowed);
  scenario.max_retry_after = reader.duration("longest_advice", scenario.max_retry_after);
  reader.finish();
}

void read_cluster(TomlReader reader, Scenario& scenario) {
  ClusterSpec& cluster = scenario.group;
  cluster.voters = read_count(reader, "voters", 0, 0, kMaxVoters);
  if (cluster.voters > scenario.proxies) {
    reader.throw_error("voters", "more voters than proxies (proxies.count)");
  }
  if (cluster.voters % 2 == 0 && cluster.voters > 0) {
    reader.throw_error("voters", "not one of 0 (no cluster), 1, 3, 5 or 7");
  }
  cluster.lease = reader.duration("lease", cluster.lease, std::chrono::seconds(1));
  cluster.isolated_after = reader.duration("isolated_after", cluster.isolated_after);
  cluster.most_out = read_count(reader, "most_out", cluster.most_out, 1, 1000);
  cluster.reserve = reader.number("reserve", cluster.reserve, 0, 10);
  cluster.work = reader.duration("work", cluster.work);
  cluster.work_on_all = reader.boolean("work_on_all", cluster.work_on_all);
  reader.finish();
}

void read_discovery(TomlReader reader, Scenario& scenario) {
  scenario.list_lag = reader.duration("lag", scenario.list_lag);
  scenario.list_spread = reader.duration("spread", scenario.list_spread);
  scenario.silent_notice = reader.duration("silent_notice", scenario.silent_notice);
  reader.finish();
}

void read_rules(TomlReader reader, Scenario& scenario) {
  scenario.drain_grace = reader.duration("drain_grace", scenario.drain_grace);
  scenario.collapse_delay = reader.duration("tip_after", scenario.collapse_delay, Duration{1000});
  scenario.collapse_ratio = reader.number("fall_multiple", scenario.collapse_ratio, 1, 1000);
  scenario.answer_grace = reader.duration("answer_grace", scenario.answer_grace);
  reader.finish();
}

void read_load(TomlReader reader, LoadSpec& load) {
  load.rate_per_s = reader.number("rate", 0, 0, kMaxRate);
  load.utilisation = reader.number("utilisation", load.utilisation, 0.0001, 100);
  load.shape = static_cast<LoadShape>(reader.choice("shape", 0, {"steady", "diurnal", "bursts"}));
  load.period = reader.duration("period", load.period, Duration{1000});
  load.burst_length = reader.duration("burst_length", load.burst_length);
  load.swing = reader.number("swing", load.swing, 0, 1);
  load.burst_factor = reader.number("burst_factor", load.burst_factor, 0, 1000);
  load.quota = reader.number("quota", 0, 0, 100);
  load.over_quota_factor = reader.number("over_share_worth", load.over_quota_factor, 0, 1);
  reader.finish();
}

void read_clients(TomlReader reader, Scenario& scenario) {
  ClientSpec& clients = scenario.clients;
  clients.retry = static_cast<RetryPolicy>(reader.choice(
      "retry", static_cast<std::size_t>(clients.retry), {"never", "at_once", "after", "advised"}));
  clients.max_retries = read_count(reader, "retries", clients.max_retries, 0, 100);
  clients.initial_backoff = reader.duration("wait", clients.initial_backoff);
  clients.backoff_factor = reader.number("growth", clients.backoff_factor, 1, 10);
  clients.max_retry_after = reader.duration("longest_advice", clients.max_retry_after);
  clients.patience = reader.range("patience", clients.patience, 0.01, 1);
  clients.connections = read_count(reader, "connections", clients.connections, 1, 10'000'000);
  clients.first_zone_share = reader.number("first_zone", 0, 0, 1);
  clients.rebalances_on_return = reader.boolean("dealt_back", false);
  const std::uint32_t zones = scenario.tiers[0].zones;
  if (clients.first_zone_share > 0 && (zones < 2 || scenario.proxies < zones)) {
    reader.throw_error("first_zone",
                       "requires at least two zones in the first tier and a proxy in each of them");
  }
  reader.finish();
}

void read_routing(TomlReader reader, Scenario& scenario) {
  routing::SubsetSettings& subset = scenario.subset;
  subset.min_endpoints = read_count(reader, "subset_nodes", 0, 0, kMaxNodes);
  subset.coverage = read_count(reader, "coverage", subset.coverage, 1, kMaxProxies);
  scenario.subset_count_known = reader.boolean("told", true);
  reader.finish();
}

bool needs_backends(FaultKind kind) {
  return kind == FaultKind::kSilent || kind == FaultKind::kErrors || kind == FaultKind::kSlow ||
         kind == FaultKind::kCrash || kind == FaultKind::kDrain || affects_links(kind);
}

std::uint32_t read_fault_tenant(TomlReader& reader, const Scenario& scenario, FaultKind kind) {
  const std::vector<TenantSpec>& tenants = scenario.tenants;
  const std::string name = reader.string("tenant", tenants.empty() ? "" : tenants.front().name);
  const auto found = std::find_if(tenants.begin(), tenants.end(),
                                  [&name](const TenantSpec& t) { return t.name == name; });
  if (kind == FaultKind::kTenantBurst && found == tenants.end()) {
    reader.throw_error("tenant", "unknown tenant: " + name);
  }
  return static_cast<std::uint32_t>(found - tenants.begin());
}

void check_fault_target(TomlReader& reader, const Scenario& scenario, const FaultSpec& spec) {
  if (affects_proxies(spec.kind) && spec.proxies == 0 && spec.part <= 0) {
    reader.throw_error("kind", "no proxies selected; set part or proxies");
  }
  if (affects_gossip(spec.kind) && scenario.group.voters == 0) {
    reader.throw_error("kind", "a gossip fault requires a cluster; set group.voters");
  }
  if (affects_state(spec.kind) && !scenario.snapshot_every && scenario.group.voters == 0) {
    reader.throw_error(
        "kind",
        "a state fault requires proxies that store state; set proxies.snapshot_every or "
        "group.voters");
  }
}

FaultSpec read_fault(TomlReader& reader, const Scenario& scenario) {
  FaultSpec spec;
  spec.kind = static_cast<FaultKind>(reader.choice("kind", 0, fault_kind_names()));
  if (!reader.has("kind")) {
    reader.throw_error("kind", "missing; the kind of fault is required");
  }
  spec.at = reader.duration("at", Duration{0});
  spec.length = reader.duration("for", Duration{1'000'000}, Duration{1000});
  if (spec.at + spec.length > kMaxLength) {
    reader.throw_error("for", "fault ends later than 48h after the start");
  }
  const auto last_tier = static_cast<std::int64_t>(scenario.tiers.size()) - 1;
  spec.tier = read_count(reader, "tier", 0, 0, last_tier);
  const TierSpec& tier = scenario.tiers[spec.tier];
  spec.part = reader.number("part", 0, 0, 1);
  spec.nodes = read_count(reader, "nodes", 0, 0, tier.nodes);
  spec.zone = reader.integer("zone", -1, 0, tier.zones - 1);
  spec.cell = reader.integer("cell", -1, 0, kMaxNodes);
  spec.delay = reader.duration("delay", Duration{1'000'000});
  spec.factor = spec.kind == FaultKind::kErrors ? reader.number("factor", 1, 0, 1)
                                                : reader.number("factor", 2, 0.001, 1000);
  spec.proxies = read_count(reader, "proxies", 0, 0, scenario.proxies);
  spec.way = static_cast<Direction>(reader.choice("way", 0, {"both", "there", "back"}));
  if (spec.way != Direction::kBoth && spec.kind != FaultKind::kPartition &&
      spec.kind != FaultKind::kGossipPartition) {
    reader.throw_error("way", "only accepted for the kinds partition and talk_cut");
  }
  spec.first = read_count(reader, "first", 0, 0, scenario.proxies - 1);
  check_fault_target(reader, scenario, spec);
  spec.tenant = read_fault_tenant(reader, scenario, spec.kind);
  if (needs_backends(spec.kind) && spec.part <= 0 && spec.nodes == 0 && spec.zone < 0 &&
      spec.cell < 0) {
    reader.throw_error("kind", "no nodes selected; set part, nodes, zone or cell");
  }
  return spec;
}

// Reads a fault entry and expands repetitions: the fault occurs `times` times, with its beginnings
// `every` apart. With `over`, each occurrence affects its proxies one after another within that
// window, as one fault per proxy.
std::vector<FaultSpec> read_faults(TomlReader reader, const Scenario& scenario) {
  const FaultSpec spec = read_fault(reader, scenario);
  const std::int64_t times = reader.integer("times", 1, 1, kMaxFaults);
  const Duration every = reader.duration("every", 2 * spec.length, Duration{1000});
  const Duration over = reader.duration("over", Duration{0});
  if (over > Duration{0} && !affects_proxies(spec.kind)) {
    reader.throw_error("over", "only accepted for faults that affect proxies");
  }
  reader.finish();
  const std::vector<std::uint32_t> affected = affected_proxies(scenario, spec);
  const std::size_t steps = over > Duration{0} ? affected.size() : 1;
  if (steps * static_cast<std::size_t>(times) > kMaxFaults) {
    reader.throw_error("times", "expands to more than 1000 faults");
  }
  if (spec.at + spec.length + over + times * every > kMaxLength) {
    reader.throw_error("times", "last repetition ends later than 48h after the start");
  }
  std::vector<FaultSpec> faults;
  for (std::int64_t turn = 0; turn < times; ++turn) {
    for (std::size_t step = 0; step < steps; ++step) {
      FaultSpec fault = spec;
      fault.at +=
          turn * every + over * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(steps);
      if (steps > 1) {
        fault.proxies = 1;
        fault.first = affected[step];
      }
      faults.push_back(fault);
    }
  }
  return faults;
}

void read_tiers(TomlReader& root, Scenario& scenario) {
  for (const TomlReader& tier : root.tables("tier")) {
    scenario.tiers.push_back(read_tier(tier));
  }
  if (scenario.tiers.empty()) {
    root.throw_error("tier", "missing; at least one tier is required");
  }
  if (scenario.tiers.size() > kMaxTiers) {
    root.throw_error("tier", "more than 8 tiers");
  }
}

void read_classes(TomlReader& root, Scenario& scenario) {
  for (const TomlReader& request_class : root.tables("class")) {
    scenario.classes.push_back(read_class(request_class));
  }
  if (scenario.classes.empty()) {
    root.throw_error("class", "missing; at least one class is required");
  }
  if (scenario.classes.size() > kMaxClasses) {
    root.throw_error("class", "more than 64 classes");
  }
}

void read_tenants(TomlReader& root, Scenario& scenario) {
  for (const TomlReader& tenant : root.tables("tenant")) {
    scenario.tenants.push_back(read_tenant(tenant));
  }
  if (scenario.tenants.size() > kMaxTenants) {
    root.throw_error("tenant", "more than 10000 tenants");
  }
}

void read_fault_plan(TomlReader& root, Scenario& scenario) {
  for (const TomlReader& fault : root.tables("fault")) {
    for (const FaultSpec& spec : read_faults(fault, scenario)) {
      scenario.faults.push_back(spec);
    }
  }
  if (scenario.faults.size() > kMaxFaults) {
    root.throw_error("fault", "more than 1000 faults after expansion of repetitions");
  }
}

template <typename Spec>
double sum_of_parts(const std::vector<Spec>& specs) {
  double sum = 0;
  for (const Spec& spec : specs) {
    sum += spec.part;
  }
  return sum;
}

void check_sums(TomlReader& root, const Scenario& scenario) {
  if (sum_of_parts(scenario.classes) <= 0) {
    root.throw_error("class", "part is 0 for all classes; at least one must be positive");
  }
  if (!scenario.tenants.empty() && sum_of_parts(scenario.tenants) <= 0) {
    root.throw_error("tenant", "part is 0 for all tenants; at least one must be positive");
  }
  if (scenario.warm_up >= scenario.length) {
    root.throw_error("warm_up", "not shorter than the scenario (length)");
  }
  if (rate_per_s(scenario) > kMaxRate) {
    root.throw_error("load", "mean rate is over 1e7 requests per second");
  }
  if (scenario.tiers.size() == 1 && scenario.tiers[0].work <= 0) {
    root.throw_error("tier", "work of the only tier is 0; it must be positive");
  }
}

}  // namespace

Scenario read_scenario(const toml::table& table, const std::string& file) {
  TomlReader root(table, file);
  Scenario scenario;
  scenario.name = root.string("name", file);
  scenario.length = root.duration("length", scenario.length, Duration{100'000});
  if (scenario.length > kMaxLength) {
    root.throw_error("length", "longer than 48h");
  }
  scenario.warm_up = root.duration("warm_up", std::min(scenario.warm_up, scenario.length / 10));
  scenario.seed = static_cast<std::uint64_t>(root.integer("seed", 1, 0, INT64_MAX));
  read_tiers(root, scenario);
  read_classes(root, scenario);
  read_tenants(root, scenario);
  read_network(root.table("network"), scenario);
  read_proxies(root.table("proxies"), scenario);
  read_cluster(root.table("group"), scenario);
  read_discovery(root.table("discovery"), scenario);
  read_rules(root.table("rules"), scenario);
  read_load(root.table("load"), scenario.load);
  read_clients(root.table("clients"), scenario);
  read_routing(root.table("routing"), scenario);
  read_fault_plan(root, scenario);
  check_sums(root, scenario);
  root.finish();
  return scenario;
}

}  // namespace beechhill::emulator
