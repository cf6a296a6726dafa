#include "testbed/cluster_test/cluster_test.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <memory>

#include "emulator/world.h"
#include "experiments/experiment.h"
#include "experiments/plot.h"
#include "testbed/cluster_test/fault_plan.h"
#include "testbed/load_test.h"

namespace beechhill::testbed {

using emulator::Scenario;

namespace {

enum Exit { kDone = 0, kRuleBroken = 3 };
constexpr std::size_t kMostShrinkPlays = 40;

Json::Value number(std::uint64_t n) {
  return Json::Value(static_cast<Json::UInt64>(n));
}

struct Half {  // one of the two: the play or its control
  std::optional<emulator::Metrics> metrics;
  std::unique_ptr<emulator::World> world;  // which the metrics refer to
  Json::Value result;
  std::uint64_t connections = 0, arrivals = 0, lists = 0, broken = 0;
  std::string broken_text;
  std::optional<Time> back;
};

Half play_half(const Scenario& s, const Player& player) {
  Half h;
  if (!player.emulated) {
    SocketRun run = play_on_sockets(s, player.program);
    h.metrics = std::move(run.metrics);
    h.result = std::move(run.result);
    h.connections = run.most_connections, h.arrivals = run.most_arrivals, h.lists = run.most_lists;
    h.broken = run.violations + run.wrong_answers;
    h.broken_text = std::move(run.violation_text);
    if (run.wrong_answers > 0) {
      h.broken_text +=
          fmt::format("{} answers were not the ones to their requests\n", run.wrong_answers);
    }
    if (run.sent_to_out > 0) {
      h.broken_text +=
          fmt::format("{} calls reached backends that staff had out\n", run.sent_to_out);
    }
    if (run.most_at_once > s.group.most_out) {
      h.broken_text += fmt::format("{} backends were out at once\n", run.most_at_once);
    }
    h.broken += run.sent_to_out + (run.most_at_once > s.group.most_out);
    if (s.group.voters > 0) {
      h.result["taken_out"] = run.taken_out;
      h.result["open_requests"] = run.open_requests;
      h.result["works_ended_s"] = emulator::to_s(run.works_ended);
    }
    if (run.last_back > Time{0}) {
      h.back = run.last_back;
    }
    return h;
  }
  h.world = experiments::world_of(s, player.policy);
  h.world->run();
  h.metrics = h.world->metrics();
  h.result = h.metrics->to_json(true);
  h.connections = h.metrics->most_connections, h.arrivals = h.metrics->most_arrivals;
  h.broken = h.world->rules().all() + h.world->left_over();
  for (const emulator::Violation& v : h.world->rules().violations()) {
    h.broken_text +=
        fmt::format("{:.6f} {}: {}\n{}", emulator::to_s(v.at), name_of(v.rule), v.what, v.trace);
  }
  if (h.world->left_over() > 0) {
    h.broken_text += fmt::format("{} requests were never ended\n", h.world->left_over());
  }
  return h;
}

Json::Value as_row(const Play& p, const Scenario& s, const char* what) {
  Json::Value row = experiments::row_of(s, what, p.result);
  Json::Value& r = row["result"];
  if (p.back.full_after) {
    r["full_after_s"] = emulator::to_s(*p.back.full_after);
  }
  r["worth_lost_s"] = p.back.worth_lost;
  r["control_goodput"] = p.control_goodput;
  r["most_connections"] = number(p.most_connections);
  r["most_arrivals"] = number(p.most_arrivals);
  r["control_most_connections"] = number(p.control_connections);
  r["control_most_arrivals"] = number(p.control_arrivals);
  r["most_lists"] = number(p.most_lists);
  r["broken"] = number(p.broken);
  return row;
}

std::string in_seconds(const std::optional<Duration>& d) {
  return d ? fmt::format("{:.1f}", emulator::to_s(*d)) : std::string("never");
}

// Of plays that are not back by their end the last.
std::optional<Duration> middle(std::vector<std::optional<Duration>> all, std::size_t place) {
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a && (!b || *a < *b); });
  return all[place];
}

struct Options {
  std::string file, json, html;
  std::vector<std::string> changes;
  Player player;
  std::int64_t seed = -1;
  std::uint32_t seeds = 1;
  bool draw = false, smaller = false;
};

Scenario scenario_of(const Options& o, std::uint32_t turn) {
  toml::table root = emulator::load_scenario(o.file);
  for (const std::string& change : o.changes) {
    emulator::override_from(root, change);
  }
  Scenario s = emulator::read_scenario(root, o.file);
  if (o.seed >= 0) {
    s.seed = static_cast<std::uint64_t>(o.seed);
  }
  s.seed += turn;
  if (o.draw) {
    s.faults = draw_faults(s, s.seed);
  }
  return s;
}

void tell_broken(const Options& o, const Scenario& s, const Play& play) {
  std::fflush(stdout);
  std::vector<emulator::FaultSpec> faults = s.faults;
  if (o.smaller) {
    faults = shrink(faults, kMostShrinkPlays, [&](const std::vector<emulator::FaultSpec>& fewer) {
      Scenario less = s;
      less.faults = fewer;
      return play_half(less, o.player).broken > 0;
    });
  }
  std::fprintf(stderr, "%s# seed %llu: a plan that shows it\n%s", play.broken_text.c_str(),
               static_cast<unsigned long long>(s.seed), to_toml(s, faults).c_str());
}

int fleet(const Options& o) {
  const Scenario first = scenario_of(o, 0);
  fmt::print("{}: {} {} before {} backends, {:.0f} requests/s for {:g} s\n", first.name,
             first.proxies, o.player.emulated ? "emulated proxies" : "processes",
             first.tiers[0].nodes, emulator::rate_per_s(first), emulator::to_s(first.length));
  fmt::print("{:>12} {:>9} {:>9} {:>7} {:>7} {:>17} {:>17} {:>6} {:>7}\n", "seed", "goodput",
             "control", "full s", "lost s", "connections/s", "arrivals/s", "lists", "broken");
  std::vector<std::optional<Duration>> times;
  std::vector<double> lost;
  std::vector<Json::Value> rows;
  std::uint64_t broken = 0;
  for (std::uint32_t turn = 0; turn < o.seeds; ++turn) {
    const Scenario s = scenario_of(o, turn);
    const Play p = play_fleet(s, o.player);
    times.push_back(p.back.full_after);
    lost.push_back(p.back.worth_lost);
    broken += p.broken;
    fmt::print("{:>12} {:>9.4f} {:>9.4f} {:>7} {:>7.2f} {:>17} {:>17} {:>6} {:>7}\n", s.seed,
               p.goodput, p.control_goodput, in_seconds(p.back.full_after), p.back.worth_lost,
               fmt::format("{} ({})", p.most_connections, p.control_connections),
               fmt::format("{} ({})", p.most_arrivals, p.control_arrivals), p.most_lists, p.broken);
    if (s.group.voters > 0) {
      fmt::print(
          "{:>12} taken out and back {}, staff's requests still open {}, the last ended at {:.1f} "
          "s\n",
          "", p.result["taken_out"].asUInt(), p.result["open_requests"].asUInt(),
          p.result["works_ended_s"].asDouble());
    }
    std::fflush(stdout);
    rows.push_back(as_row(p, s, o.player.emulated ? o.player.policy.c_str() : "real proxies"));
    if (p.broken > 0) {
      tell_broken(o, s, p);
    }
  }
  std::sort(lost.begin(), lost.end());
  if (o.player.control) {
    fmt::print(
        "full service after: median {} s, worst {} s; lost: median {:.2f}, worst {:.2f} seconds' "
        "worth\n",
        in_seconds(middle(times, (times.size() - 1) / 2)),
        in_seconds(middle(times, times.size() - 1)), lost[(lost.size() - 1) / 2], lost.back());
  }
  if (!o.json.empty()) {
    experiments::write_lines(o.json, rows);
  }
  if (!o.html.empty()) {
    std::ofstream out(o.html);
    if (!(out << experiments::html_report(first.name, rows, {})).flush()) {
      throw std::runtime_error(o.html + ": cannot be written");
    }
  }
  return broken > 0 ? kRuleBroken : kDone;
}

}  // namespace

Play play_fleet(const Scenario& s, const Player& player) {
  const Scenario calm = control_of(s);
  const Half real = play_half(s, player);
  const Half control = player.control ? play_half(calm, player) : Half{};
  const Span struck = processes_struck(s);
  Play p;
  p.result = real.result;
  p.goodput = real.metrics->goodput();
  if (control.metrics) {
    p.control_goodput = control.metrics->goodput();
    p.back =
        real.metrics->return_from(*control.metrics, struck.begun, real.back.value_or(struck.back));
  }
  p.most_connections = real.connections, p.most_arrivals = real.arrivals;
  p.control_connections = control.connections, p.control_arrivals = control.arrivals;
  p.most_lists = real.lists;
  p.broken = real.broken + control.broken;
  p.broken_text =
      real.broken_text + (control.broken > 0 ? "in the control:\n" + control.broken_text : "");
  return p;
}

void add_fleet_command(CLI::App& app, int& code) {
  const auto o = std::make_shared<Options>();
  o->player.program = program_beside_us();
  CLI::App* c = app.add_subcommand(
      "cluster-test",
      "Play many proxies under a fault plan, against a control without it, and judge by the books");
  c->add_option("scenario", o->file, "Scenario file of one tier, with its faults (TOML)")
      ->required();
  c->add_flag("--emulated", o->player.emulated, "In the emulator, not with real processes");
  c->add_option("--policy", o->player.policy, "Who decides in the emulator")
      ->check(CLI::IsMember(emulator::policy_names()))
      ->capture_default_str();
  c->add_option("--proxy", o->player.program, "The proxy program");
  c->add_option("--seed", o->seed, "In place of the scenario's seed")
      ->check(CLI::NonNegativeNumber);
  c->add_option("--seeds", o->seeds, "So many plays, with this seed and the next ones")
      ->check(CLI::Range(1u, 10'000u))
      ->capture_default_str();
  c->add_flag("!--alone", o->player.control,
              "Without the control: the rules and the books are judged, the return is not");
  c->add_flag("--draw", o->draw, "Faults drawn from the seed in place of the scenario's");
  c->add_flag("--shrink", o->smaller,
              "Make a plan smaller that breaks a rule, while it still does");
  c->add_option("--set", o->changes,
                "KEY=VALUE in place of the scenario's, such as fault.0.part=0.7");
  c->add_option("--json", o->json, "Write the results here, as lines that `plot` reads");
  c->add_option("--html", o->html, "Draw the results into this page");
  c->callback([o, &code] { code = fleet(*o); });
}

}  // namespace beechhill::testbed
