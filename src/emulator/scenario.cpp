#include "emulator/scenario.h"

#include <algorithm>
#include <cmath>
#include <filesystem>

#include "emulator/random.h"

namespace beechhill::emulator {
namespace {

using config::TomlReader;

constexpr std::int64_t kMostNodes = 100'000, kMostProxies = 10'000;
constexpr double kMostRate = 1e7;
constexpr std::size_t kMostFaults = 1000;
constexpr Duration kLongest = std::chrono::hours(48);

ClassSpec class_from(TomlReader r) {
  ClassSpec c;
  ClassSettings& s = c.settings;
  c.name = r.text("name", "");
  if (c.name.empty()) {
    r.fault("name", "missing");
  }
  c.part = r.number("part", 1, 0, 1e6);
  s.idempotency = static_cast<Idempotency>(r.word("repeat", 0, {"repeatable", "by_key", "once"}));
  s.deduplication_scope =
      static_cast<DeduplicationScope>(r.word("group", 0, {"all", "zone", "cell"}));
  s.deduplication_window = r.span("memory", Duration{3'000'000});
  s.latency_objective = r.span("aim", Duration{500'000}, Duration{1});
  s.deadline = r.span("deadline", 2 * s.latency_objective, Duration{1});
  if (s.deadline < s.latency_objective) {
    r.fault("deadline", "shorter than the aim");
  }
  s.late_priority_factor = r.number("late_worth", 0, 0, 1);
  s.priority_weight = r.number("worth", 1, 0, 1e6);
  c.work_s = std::chrono::duration<double>(r.span("work", Duration{10'000}, Duration{1})).count();
  c.spread = static_cast<Spread>(r.word("spread", 1, {"fixed", "exponential", "lognormal"}));
  c.variation = r.number("variation", 1, 0, 10);
  r.finish();
  return c;
}

TenantSpec tenant_from(TomlReader r) {
  TenantSpec t;
  t.name = r.text("name", "");
  if (t.name.empty()) {
    r.fault("name", "missing");
  }
  t.share = r.number("share", 1, 0, 1e6);
  t.part = r.number("part", t.share, 0, 1e6);
  r.finish();
  return t;
}

TierSpec tier_from(TomlReader r) {
  TierSpec t;
  const auto count = [&r](const char* key, std::uint32_t otherwise, std::int64_t least,
                          std::int64_t most) {
    return static_cast<std::uint32_t>(r.integer(key, otherwise, least, most));
  };
  t.name = r.text("name", "");
  t.nodes = count("nodes", 1, 1, kMostNodes);
  t.cores = count("cores", 1, 1, 1024);
  t.slots = count("slots", 32 * t.cores, 1, 1'000'000);
  t.room = count("room", 64, 0, 100'000'000);
  t.zones = count("zones", 1, 1, 64);
  t.cell_size = count("cell_size", 4, 1, kMostNodes);
  t.speed = r.range("speed", t.speed, 0.001, 1000);
  t.work = r.number("work", 1, 0, 1);
  t.calls = r.range("calls", t.calls, 0, 16);
  t.errors = r.number("errors", 0, 0, 1);
  TomlReader report = r.table("report");
  t.report_every = report.span("every", t.report_every, Duration{1000});
  t.report_delay = report.span("delay", t.report_delay);
  t.report_noise = report.number("noise", 0, 0, 1);
  report.finish();
  TomlReader cold = r.table("cold");
  t.cold_from = cold.number("from", t.cold_from, 0.01, 1);
  t.cold_span = cold.span("span", t.cold_span);
  cold.finish();
  TomlReader choke = r.table("choke");
  t.choke_crowd = choke.number("crowd", 0, 0, 1e6);
  t.choke_after = choke.span("after", t.choke_after);
  t.choke_idle = choke.span("idle", t.choke_idle);
  t.choke_most = choke.span("most", t.choke_most);
  t.choke_slow = choke.number("slow", t.choke_slow, 1, 1000);
  choke.finish();
  TomlReader connection = r.table("connection");
  t.handshake = connection.span("handshake", t.handshake);
  t.handshake_work = connection.span("work", t.handshake_work);
  t.idle_close = connection.span("idle", t.idle_close, Duration{1});
  connection.finish();
  t.cancel_stops = r.flag("cancel_stops", false);
  r.finish();
  return t;
}

FaultSpec fault_from(TomlReader& r, const Scenario& s) {
  FaultSpec f;
  f.kind = static_cast<FaultKind>(r.word("kind", 0, fault_words()));
  if (!r.has("kind")) {
    r.fault("kind", "missing");
  }
  f.at = r.span("at", Duration{0});
  f.length = r.span("for", Duration{1'000'000}, Duration{1000});
  if (f.at + f.length > kLongest) {
    r.fault("for", "ends after 48h");
  }
  f.tier = static_cast<std::uint32_t>(
      r.integer("tier", 0, 0, static_cast<std::int64_t>(s.tiers.size()) - 1));
  f.part = r.number("part", 0, 0, 1);
  f.nodes = static_cast<std::uint32_t>(r.integer("nodes", 0, 0, s.tiers[f.tier].nodes));
  f.zone = r.integer("zone", -1, 0, s.tiers[f.tier].zones - 1);
  f.cell = r.integer("cell", -1, 0, kMostNodes);
  f.delay = r.span("delay", Duration{1'000'000});
  const double usual = f.kind == FaultKind::kErrors ? 1 : 2;
  f.factor = r.number("factor", usual, f.kind == FaultKind::kErrors ? 0 : 0.001,
                      f.kind == FaultKind::kErrors ? 1 : 1000);
  f.proxies = static_cast<std::uint32_t>(r.integer("proxies", 0, 0, s.proxies));
  f.way = static_cast<Direction>(r.word("way", 0, {"both", "there", "back"}));
  if (f.way != Direction::kBoth && f.kind != FaultKind::kPartition &&
      f.kind != FaultKind::kTalkCut) {
    r.fault("way", "for a partition or a cut talk alone");
  }
  f.first = static_cast<std::uint32_t>(r.integer("first", 0, 0, s.proxies - 1));
  if (strikes_proxies(f.kind) && f.proxies == 0 && f.part <= 0) {
    r.fault("kind", "says no proxies: give part or proxies");
  }
  if (strikes_talk(f.kind) && s.group.voters == 0) {
    r.fault("kind", "no proxies talk: give group.voters");
  }
  if (strikes_state(f.kind) && !s.snapshot_every && s.group.voters == 0) {
    r.fault("kind", "no state is kept: give proxies.snapshot_every");
  }
  const std::string tenant = r.text("tenant", s.tenants.empty() ? "" : s.tenants.front().name);
  while (f.tenant < s.tenants.size() && s.tenants[f.tenant].name != tenant) {
    ++f.tenant;
  }
  if (f.kind == FaultKind::kTenantBurst && f.tenant == s.tenants.size()) {
    r.fault("tenant", "unknown: " + tenant);
  }
  const bool of_nodes = f.kind == FaultKind::kSilent || f.kind == FaultKind::kErrors ||
                        f.kind == FaultKind::kSlow || f.kind == FaultKind::kCrash ||
                        f.kind == FaultKind::kDrain || strikes_links(f.kind);
  if (of_nodes && f.part <= 0 && f.nodes == 0 && f.zone < 0 && f.cell < 0) {
    r.fault("kind", "says no nodes: give part, nodes, zone or cell");
  }
  return f;
}

// A fault that comes `times` times, one `every` so long, and strikes its proxies one after another
// `over` a span, is as many faults.
std::vector<FaultSpec> faults_from(TomlReader r, const Scenario& s) {
  const FaultSpec f = fault_from(r, s);
  const std::int64_t times = r.integer("times", 1, 1, kMostFaults);
  const Duration every = r.span("every", 2 * f.length, Duration{1000});
  const Duration over = r.span("over", Duration{0});
  if (over > Duration{0} && !strikes_proxies(f.kind)) {
    r.fault("over", "for faults of proxies alone");
  }
  r.finish();
  const std::vector<std::uint32_t> struck = proxies_struck(s, f);
  const std::size_t steps = over > Duration{0} ? struck.size() : 1;
  if (steps * static_cast<std::size_t>(times) > kMostFaults) {
    r.fault("times", "makes more than 1000 faults");
  }
  if (f.at + f.length + over + times * every > kLongest) {
    r.fault("times", "ends after 48h");
  }
  std::vector<FaultSpec> all;
  for (std::int64_t turn = 0; turn < times; ++turn) {
    for (std::size_t step = 0; step < steps; ++step) {
      FaultSpec one = f;
      one.at +=
          turn * every + over * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(steps);
      if (steps > 1) {
        one.proxies = 1, one.first = struck[step];
      }
      all.push_back(one);
    }
  }
  return all;
}

void check_sums(TomlReader& r, const Scenario& s) {
  double parts = 0;
  for (const ClassSpec& c : s.classes) {
    parts += c.part;
  }
  if (parts <= 0) {
    r.fault("class", "all parts are 0");
  }
  parts = s.tenants.empty() ? 1 : 0;
  for (const TenantSpec& t : s.tenants) {
    parts += t.part;
  }
  if (parts <= 0) {
    r.fault("tenant", "all parts are 0");
  }
  if (s.warm_up >= s.length) {
    r.fault("warm_up", "not shorter than the length");
  }
  if (rate_per_s(s) > kMostRate) {
    r.fault("load", "over 1e7 requests a second");
  }
  for (const TierSpec& t : s.tiers) {
    if (t.work <= 0 && s.tiers.size() == 1) {
      r.fault("tier", "does no work");
    }
  }
}

}  // namespace

Scenario read_scenario(const toml::table& root, const std::string& file) {
  TomlReader r(root, file);
  Scenario s;
  s.name = r.text("name", file);
  s.length = r.span("length", s.length, Duration{100'000});
  if (s.length > kLongest) {
    r.fault("length", "over 48h");
  }
  s.warm_up = r.span("warm_up", std::min(s.warm_up, s.length / 10));
  s.seed = static_cast<std::uint64_t>(r.integer("seed", 1, 0, INT64_MAX));
  for (TomlReader& t : r.tables("tier")) {
    s.tiers.push_back(tier_from(t));
  }
  if (s.tiers.empty()) {
    r.fault("tier", "missing");
  }
  if (s.tiers.size() > 8) {
    r.fault("tier", "more than 8");
  }
  for (TomlReader& c : r.tables("class")) {
    s.classes.push_back(class_from(c));
  }
  if (s.classes.empty()) {
    r.fault("class", "missing");
  }
  if (s.classes.size() > 64) {
    r.fault("class", "more than 64");
  }
  for (TomlReader& t : r.tables("tenant")) {
    s.tenants.push_back(tenant_from(t));
  }
  if (s.tenants.size() > 10'000) {
    r.fault("tenant", "more than 10000");
  }

  TomlReader net = r.table("network");
  s.network = net.span("one_way", s.network);
  s.network_spread = net.number("spread", s.network_spread, 0, 1);
  s.cross_zone = net.span("cross_zone", s.cross_zone);
  net.finish();

  TomlReader p = r.table("proxies");
  s.proxies = static_cast<std::uint32_t>(p.integer("count", 1, 1, kMostProxies));
  s.tries = static_cast<std::uint32_t>(p.integer("tries", s.tries, 1, 100));
  s.proxy_notice = p.span("notice", s.proxy_notice);
  if (p.has("snapshot_every")) {
    s.snapshot_every = p.span("snapshot_every", Duration{0}, Duration{100'000});
  }
  s.connect_timeout = p.span("connect_timeout", s.connect_timeout, Duration{1});
  s.may_probe = p.flag("probes", s.may_probe);
  s.may_cancel = p.flag("cancels", s.may_cancel);
  s.parallel_tries = p.flag("parallel_tries", s.parallel_tries);
  s.longest_advice = p.span("longest_advice", s.longest_advice);
  p.finish();

  TomlReader u = r.table("group");
  s.group.voters = static_cast<std::uint32_t>(u.integer("voters", 0, 0, 7));
  if (s.group.voters > s.proxies) {
    u.fault("voters", "more than proxies.count");
  }
  if (s.group.voters % 2 == 0 && s.group.voters > 0) {
    u.fault("voters", "1, 3, 5 or 7");
  }
  s.group.lease = u.span("lease", s.group.lease, std::chrono::seconds(1));
  s.group.isolated_after = u.span("isolated_after", s.group.isolated_after);
  s.group.most_out = static_cast<std::uint32_t>(u.integer("most_out", s.group.most_out, 1, 1000));
  s.group.reserve = u.number("reserve", s.group.reserve, 0, 10);
  s.group.work = u.span("work", s.group.work);
  s.group.work_on_all = u.flag("work_on_all", s.group.work_on_all);
  u.finish();

  TomlReader d = r.table("discovery");
  s.list_lag = d.span("lag", s.list_lag);
  s.list_spread = d.span("spread", s.list_spread);
  s.silent_notice = d.span("silent_notice", s.silent_notice);
  d.finish();

  TomlReader g = r.table("rules");
  s.drain_grace = g.span("drain_grace", s.drain_grace);
  s.tip_after = g.span("tip_after", s.tip_after, Duration{1000});
  s.fall_multiple = g.number("fall_multiple", s.fall_multiple, 1, 1000);
  s.answer_grace = g.span("answer_grace", s.answer_grace);
  g.finish();

  TomlReader l = r.table("load");
  s.load.rate_per_s = l.number("rate", 0, 0, kMostRate);
  s.load.utilisation = l.number("utilisation", s.load.utilisation, 0.0001, 100);
  s.load.shape = static_cast<Shape>(l.word("shape", 0, {"steady", "diurnal", "bursts"}));
  s.load.period = l.span("period", s.load.period, Duration{1000});
  s.load.burst_length = l.span("burst_length", s.load.burst_length);
  s.load.swing = l.number("swing", s.load.swing, 0, 1);
  s.load.burst_factor = l.number("burst_factor", s.load.burst_factor, 0, 1000);
  s.load.quota = l.number("quota", 0, 0, 100);
  s.load.over_share_worth = l.number("over_share_worth", s.load.over_share_worth, 0, 1);
  l.finish();

  TomlReader c = r.table("clients");
  s.clients.retry = static_cast<Retry>(c.word("retry", static_cast<std::size_t>(s.clients.retry),
                                              {"never", "at_once", "after", "advised"}));
  s.clients.retries = static_cast<std::uint32_t>(c.integer("retries", s.clients.retries, 0, 100));
  s.clients.wait = c.span("wait", s.clients.wait);
  s.clients.growth = c.number("growth", s.clients.growth, 1, 10);
  s.clients.longest_advice = c.span("longest_advice", s.clients.longest_advice);
  s.clients.patience = c.range("patience", s.clients.patience, 0.01, 1);
  s.clients.connections = static_cast<std::uint32_t>(c.integer("connections", 200, 1, 10'000'000));
  s.clients.first_zone = c.number("first_zone", 0, 0, 1);
  s.clients.dealt_back = c.flag("dealt_back", false);
  if (s.clients.first_zone > 0 && (s.tiers[0].zones < 2 || s.proxies < s.tiers[0].zones)) {
    c.fault("first_zone", "needs two zones in the first tier, and a proxy in each");
  }
  c.finish();

  TomlReader routing = r.table("routing");
  s.subset.min_endpoints =
      static_cast<std::uint32_t>(routing.integer("subset_nodes", 0, 0, kMostNodes));
  s.subset.coverage =
      static_cast<std::uint32_t>(routing.integer("coverage", s.subset.coverage, 1, kMostProxies));
  s.subset_told = routing.flag("told", true);
  routing.finish();

  for (TomlReader& f : r.tables("fault")) {
    for (const FaultSpec& one : faults_from(f, s)) {
      s.faults.push_back(one);
    }
  }
  if (s.faults.size() > kMostFaults) {
    r.fault("fault", "more than 1000");
  }
  check_sums(r, s);
  r.finish();
  return s;
}

namespace {

void merge(toml::table& base, toml::table&& over) {
  for (auto&& [key, node] : over) {
    toml::table* into = base.get_as<toml::table>(key.str());
    if (into && node.is_table()) {
      merge(*into, std::move(*node.as_table()));
    } else {
      node.visit([&](auto& v) { base.insert_or_assign(key, std::move(v)); });
    }
  }
}

toml::table load_extended(const std::string& path, int depth) {
  toml::table root = config::load_toml(path);
  const toml::node* base = root.get("extends");
  if (!base) {
    return root;
  }
  const auto name = base->value<std::string>();
  if (!name || depth == 0) {
    TomlReader(root, path).fault("extends", name ? "over four files deep" : "not a text");
  }
  toml::table all =
      load_extended((std::filesystem::path(path).parent_path() / *name).string(), depth - 1);
  root.erase("extends");
  merge(all, std::move(root));
  return all;
}

}  // namespace

toml::table load_scenario(const std::string& path) {
  return load_extended(path, 4);
}

void override_key(toml::table& root, const std::string& path, const toml::node& value) {
  toml::node* at = &root;
  std::size_t from = 0;
  for (;;) {
    const std::size_t dot = path.find('.', from);
    const std::string key = path.substr(from, dot - from);
    if (key.empty()) {
      throw std::invalid_argument(path + ": an empty part");
    }
    if (toml::array* array = at->as_array()) {
      if (key.find_first_not_of("0123456789") != std::string::npos || key.size() > 6 ||
          std::stoul(key) >= array->size() || dot == std::string::npos) {
        throw std::invalid_argument(path + ": no such entry");
      }
      at = array->get(std::stoul(key));
    } else if (toml::table* table = at->as_table()) {
      if (dot == std::string::npos) {
        value.visit([&](const auto& v) { table->insert_or_assign(key, v); });
        return;
      }
      if (!table->contains(key)) {
        table->insert(key, toml::table{});
      }
      at = table->get(key);
    } else {
      throw std::invalid_argument(path + ": leads through a value");
    }
    from = dot + 1;
  }
}

void override_from(toml::table& root, const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    throw config::TomlError(text + ": not KEY=VALUE");
  }
  toml::table value;
  try {
    value = config::parse_toml("v = " + text.substr(equals + 1), text);
  } catch (const config::TomlError&) {
    value.insert("v", text.substr(equals + 1));  // a text without its quotes
  }
  override_key(root, text.substr(0, equals), *value.get("v"));
}

const std::vector<std::string>& fault_words() {
  static const std::vector<std::string> kWords{"silent",        "errors",     "slow",
                                               "late_reports",  "stale_list", "crash",
                                               "drain",         "replace",    "proxy_crash",
                                               "partition",     "burst",      "tenant_burst",
                                               "proxy_stop",    "proxy_end",  "discovery_silent",
                                               "link_delay",    "link_reset", "discovery_rewound",
                                               "state_lost",    "state_old",  "state_torn",
                                               "state_flipped", "state_aged", "disk_full",
                                               "disk_hangs",    "disk_gone",  "talk_cut",
                                               "talk_spoil"};
  return kWords;
}

std::size_t part_of(double part, std::size_t count) {
  const auto rounded = static_cast<std::size_t>(std::llround(part * static_cast<double>(count)));
  return std::min(count, std::max<std::size_t>(1, rounded));
}

bool strikes_proxies(FaultKind kind) {
  return kind == FaultKind::kProxyCrash || kind == FaultKind::kProxyStop ||
         kind == FaultKind::kProxyEnd || kind == FaultKind::kDiscoverySilent ||
         kind == FaultKind::kDiscoveryRewound || strikes_state(kind) || kind == FaultKind::kTalkCut;
}

bool strikes_talk(FaultKind kind) {
  return kind == FaultKind::kTalkCut || kind == FaultKind::kTalkSpoil;
}

bool strikes_state(FaultKind kind) {
  return kind >= FaultKind::kStateLost && kind <= FaultKind::kDiskGone;
}

bool strikes_links(FaultKind kind) {
  return kind == FaultKind::kPartition || kind == FaultKind::kLinkDelay ||
         kind == FaultKind::kLinkReset;
}

std::vector<std::uint32_t> proxies_struck(const Scenario& s, const FaultSpec& f) {
  std::vector<std::uint32_t> struck;
  if (!strikes_proxies(f.kind)) {
    return struck;
  }
  const std::size_t count = f.proxies > 0 ? f.proxies : part_of(f.part, s.proxies);
  for (std::uint32_t i = 0; i < count; ++i) {
    struck.push_back((f.first + i) % s.proxies);
  }
  return struck;
}

std::vector<EndpointId> nodes_struck(const Scenario& s, std::size_t fault,
                                     const std::vector<Endpoint>& nodes) {
  const FaultSpec& f = s.faults[fault];
  std::vector<EndpointId> all, chosen;
  for (const Endpoint& n : nodes) {
    if (f.zone >= 0 && n.zone != static_cast<std::uint32_t>(f.zone)) {
      continue;
    }
    if (f.cell >= 0 && n.cell != static_cast<std::uint32_t>(f.cell)) {
      continue;
    }
    all.push_back(n.id);
  }
  std::size_t count = all.size();  // a zone or cell, whole
  if (f.nodes > 0) {
    count = f.nodes;
  }
  if (f.nodes == 0 && f.part > 0) {
    count = part_of(f.part, all.size());
  }
  Stream random(s.seed, Actor::kFaults, fault);
  while (chosen.size() < count && !all.empty()) {
    const std::size_t i = random.below(all.size());
    chosen.push_back(all[i]);
    all[i] = all.back();
    all.pop_back();
  }
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

Duration longest_deadline(const Scenario& s) {
  Duration longest{0};
  for (const ClassSpec& c : s.classes) {
    longest = std::max(longest, c.settings.deadline);
  }
  return longest;
}

double mean_work_s(const Scenario& s) {
  double parts = 0, work = 0;
  for (const ClassSpec& c : s.classes) {
    parts += c.part, work += c.part * c.work_s;
  }
  return work / parts;
}

double capacity_per_s(const Scenario& s) {
  const double work = mean_work_s(s);
  double least = 1e18, calls = 1;
  for (const TierSpec& t : s.tiers) {
    const double speed = (t.speed.from + t.speed.to) / 2;
    if (t.work > 0) {
      least = std::min(least, t.nodes * t.cores * speed / (work * t.work * calls));
    }
    calls *= (std::floor(t.calls.from) + std::floor(t.calls.to)) / 2;
    if (calls <= 0) {
      break;
    }
  }
  return least;
}

double rate_per_s(const Scenario& s) {
  return s.load.rate_per_s > 0 ? s.load.rate_per_s : s.load.utilisation * capacity_per_s(s);
}

Settings settings_for(const Scenario& s, std::uint32_t tier, std::uint32_t zone,
                      std::uint32_t replicas, std::uint64_t seed) {
  Settings o;
  o.seed = seed;
  for (const ClassSpec& c : s.classes) {
    o.classes.push_back(c.settings);
  }
  double shares = 0;
  for (const TenantSpec& t : s.tenants) {
    shares += t.share;
  }
  for (const TenantSpec& t : s.tenants) {
    o.tenants.push_back({shares > 0 ? t.share / shares : 0,
                         shares > 0 ? s.load.quota * capacity_per_s(s) * t.share / shares : 0});
  }
  o.over_quota_priority_factor = s.load.over_share_worth;
  o.zone = zone;
  o.tier = tier;
  o.tier_count = static_cast<std::uint32_t>(s.tiers.size());
  o.replicas = replicas;
  o.drain_grace = s.drain_grace;
  const TierSpec& t = s.tiers[tier];
  o.slow_start_window = t.cold_span;
  o.slow_start_initial_weight = t.cold_from;
  o.overload_collapse_ratio = s.fall_multiple;
  o.overload_collapse_delay = s.tip_after;
  o.health_checks_allowed = s.may_probe;
  o.cancellation_allowed = s.may_cancel;
  o.hedging_allowed = s.parallel_tries;
  o.max_attempts = s.tries;
  o.max_retry_after = s.longest_advice;
  o.connect_timeout = s.connect_timeout;
  o.backend_idle_timeout = t.idle_close;
  o.cross_zone_cost = s.cross_zone > Duration{0} ? 1 : 0;
  return o;
}

}  // namespace beechhill::emulator
