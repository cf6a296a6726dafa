#include "testbed/simulation_commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

#include "emulator/gossip_simulation.h"
#include "emulator/maintenance_simulation.h"
#include "emulator/units.h"

namespace beechhill::testbed {

using emulator::GossipSimulation;
using emulator::GossipSimulationSpec;
using emulator::to_s;
using namespace std::chrono_literals;

namespace {

// Until all that run know of each other and of nobody else; nothing where that lasts over ten
// minutes.
std::optional<Duration> until_agreed(GossipSimulation& world) {
  const Time from = world.now();
  while (!world.agreed()) {
    if (world.now() - from > 600s) {
      return std::nullopt;
    }
    world.run(100ms);
  }
  return world.now() - from;
}

std::string text(const std::optional<Duration>& d) {
  return d ? fmt::format("{:.1f}", to_s(*d)) : std::string("never");
}

struct Row {
  std::optional<Duration> joined, told_all, healed;
  std::vector<double> detected;
  double bytes = 0, false_deaths = 0;
};

Row play(const GossipSimulationSpec& spec) {
  Row row;
  GossipSimulation world(spec);
  row.joined = until_agreed(world);
  const auto before = world.traffic();
  constexpr auto kCalm = 300s;
  world.run(kCalm);
  const double seconds = to_s(Duration(kCalm)) * spec.members;
  row.bytes = static_cast<double>(world.traffic().bytes - before.bytes) / seconds;
  row.false_deaths =
      static_cast<double>(world.traffic().false_deaths - before.false_deaths) / seconds * 3600;
  // A tenth is stopped where it stands: when does each of the others hold it for dead?
  std::vector<std::size_t> struck;
  for (std::size_t i = 0; i < std::max<std::size_t>(1, spec.members / 10); ++i) {
    struck.push_back(spec.members - 1 - i);
  }
  const Time at = world.now();
  for (const std::size_t i : struck) {
    world.stop(i);
  }
  row.told_all = until_agreed(world);
  for (std::size_t w = 0; w < world.size(); ++w) {
    for (const std::size_t i : struck) {
      if (const auto since = world.running(w) ? world.dead_since(w, i) : std::nullopt) {
        row.detected.push_back(std::max(0.0, to_s(*since - at)));
      }
    }
  }
  std::sort(row.detected.begin(), row.detected.end());
  for (const std::size_t i : struck) {
    world.go_on(i);
  }
  until_agreed(world);
  const std::size_t half = world.size() / 2;
  world.cut([half](std::size_t a, std::size_t b) { return (a < half) == (b < half); });
  world.run(120s);
  world.cut({});
  row.healed = until_agreed(world);
  return row;
}

}  // namespace

void add_membership_command(CLI::App& app, int& code) {
  struct Options {
    std::vector<std::uint32_t> members{3, 30, 100};
    std::vector<double> loss{0, 0.1, 0.3};
    double interval = 1;
    std::uint64_t seed = 1;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c =
      app.add_subcommand("simulate-membership",
                         "Play members that join, are stopped, and are split, in simulated time");
  c->add_option("--members", o->members, "How many, one row each")
      ->check(CLI::Range(2u, 1'000u))
      ->capture_default_str();
  c->add_option("--loss", o->loss, "Part of the datagrams that is lost, one row each")
      ->check(CLI::Range(0.0, 0.9))
      ->capture_default_str();
  c->add_option("--interval", o->interval, "Seconds between a member's probes")
      ->check(CLI::Range(0.01, 60.0))
      ->capture_default_str();
  c->add_option("--seed", o->seed, "")->capture_default_str();
  c->callback([o, &code] {
    fmt::print("{:>8} {:>6} {:>9} {:>11} {:>15} {:>16} {:>13} {:>9}\n", "members", "loss",
               "joined s", "bytes/s each", "false deaths/h", "told dead s", "all agree s",
               "healed s");
    for (const std::uint32_t n : o->members) {
      for (const double loss : o->loss) {
        GossipSimulationSpec spec;
        spec.members = n;
        spec.loss = loss;
        spec.seed = o->seed;
        spec.interval = emulator::to_span(o->interval);
        const Row row = play(spec);
        const auto at = [&row](double part) {
          return row.detected.empty() ? 0.0
                                      : row.detected[static_cast<std::size_t>(
                                            part * static_cast<double>(row.detected.size() - 1))];
        };
        fmt::print("{:>8} {:>6.2f} {:>9} {:>11.0f} {:>15.3f} {:>16} {:>13} {:>9}\n", n, loss,
                   text(row.joined), row.bytes, row.false_deaths,
                   fmt::format("{:.1f} ({:.1f})", at(0.5), at(1)), text(row.told_all),
                   text(row.healed));
        std::fflush(stdout);
      }
    }
    code = 0;
  });
}

namespace {

// All backends once, without a fault but, where asked, the leader's death half way; against the
// shortest that the bounds allow.
void play_round(std::uint32_t backends, std::uint32_t followers, std::uint64_t seed,
                bool leader_dies) {
  emulator::MaintenanceSimulationSpec s;
  s.seed = seed, s.backends = backends, s.followers = followers;
  s.use = 0.7, s.calls_per_s = 5;
  s.work = 10s, s.warm = 2s;
  s.bounds.needs_approval = false, s.bounds.capacity_reserve = 0.1, s.bounds.quiet_period = 5;
  s.bounds.max_out = std::max<std::uint32_t>(1, backends / 10);
  s.bounds.max_out_per_zone = s.bounds.max_out_per_cell = s.bounds.max_out;
  emulator::MaintenanceSimulation w(s);
  w.run(3s);
  maintenance::Command ask;
  ask.type = maintenance::CommandType::kSubmitRequest;
  ask.request = maintenance::Request{};
  ask.request->id = "all", ask.request->max_concurrent = backends;
  for (int i = 0; i < 3; ++i) {
    w.order(0, ask), w.run(300ms);
  }
  const Time from = w.now();
  std::optional<Duration> to_go_on;
  while (w.now() - from < 7200s && !(w.leader() && w.open_requests().empty())) {
    w.run(100ms);
    if (!leader_dies || to_go_on || w.taken_out() < backends / 2 || !w.leader()) {
      continue;
    }
    const std::size_t lead = *w.leader();
    const std::size_t before = w.taken_out();
    const Time died = w.now();
    w.kill(lead);
    w.run(2s);
    w.start(lead);
    while (w.now() - died < 120s && !(w.leader() && w.taken_out() > before + s.bounds.max_out)) {
      w.run(100ms);
    }
    to_go_on = w.now() - died;
  }
  const double took = to_s(w.now() - from),
               shortest = std::ceil(backends / static_cast<double>(s.bounds.max_out)) *
                          to_s(s.work + s.warm);
  fmt::print(
      "{} backends, {} at a time, {} proxies: {:.1f} s, {:.2f} times the shortest; kept back {} of "
      "{} calls; {} broke a bound{}\n",
      backends, s.bounds.max_out, s.voters + followers, took, took / shortest, w.calls_kept_back(),
      w.calls() + w.calls_kept_back(), w.verdict().all(),
      to_go_on ? fmt::format("; {:.1f} s from the leader's death until later grants had ended",
                             to_s(*to_go_on))
               : "");
}

}  // namespace

void add_works_command(CLI::App& app, int& code) {
  struct Options {
    std::uint64_t seed = 1;
    std::uint32_t plans = 100, followers = 10, round = 0;
    bool leader_dies = false;
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand("simulate-maintenance",
                                   "Play rounds of work over all backends under plans of faults "
                                   "drawn from seeds, in simulated time");
  c->add_option("--seed", o->seed, "Of the first plan")->capture_default_str();
  c->add_option("--plans", o->plans, "How many")
      ->check(CLI::Range(1u, 100'000u))
      ->capture_default_str();
  c->add_option("--followers", o->followers, "Proxies beside the voters, at the most")
      ->check(CLI::Range(0u, 200u))
      ->capture_default_str();
  c->add_option("--round", o->round, "In place of plans: a whole round over so many backends")
      ->check(CLI::Range(2u, 2'000u));
  c->add_flag("--leader-dies", o->leader_dies, "Half way through the round");
  c->callback([o, &code] {
    if (o->round > 0) {
      return play_round(o->round, o->followers, o->seed, o->leader_dies);
    }
    std::uint64_t broken = 0, silent = 0, out = 0, whole = 0;
    for (std::uint64_t seed = o->seed; seed < o->seed + o->plans; ++seed) {
      const emulator::MaintenanceRun p = emulator::run_drawn_maintenance(seed, o->followers);
      out += p.taken_out;
      whole += p.open.empty();
      silent += p.silent.size();
      if (p.verdict.all() == 0 && p.silent.empty()) {
        continue;
      }
      broken += p.verdict.all() > 0;
      fmt::print(stderr, "seed {}\n{}{}", seed, p.plan, p.verdict.text);
      for (const std::string& id : p.silent) {
        fmt::print(stderr, "{}: neither ended nor says why\n", id);
      }
    }
    fmt::print(
        "{} plans: {} machines taken out and back, all requests ended in {}, {} broke a bound, {} "
        "requests silent\n",
        o->plans, out, whole, broken, silent);
    code = broken + silent > 0 ? 3 : 0;
  });
}

}  // namespace beechhill::testbed
