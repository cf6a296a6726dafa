#include "testbed/simulation_commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "emulator/gossip_simulation.h"
#include "emulator/maintenance_simulation.h"
#include "emulator/units.h"
#include "testbed/console.h"
#include "testbed/exit_code.h"

namespace beechhill::testbed {

using emulator::GossipSimulation;
using emulator::GossipSimulationSpec;
using emulator::MaintenanceSimulation;
using emulator::MaintenanceSimulationSpec;
using emulator::to_s;
using namespace std::chrono_literals;

namespace {

// Implementation of the command simulate-membership.

constexpr auto kSimulationStep = 100ms;
constexpr auto kMaxConvergenceTime = 600s;
constexpr auto kSteadyStateDuration = 300s;  // duration of the traffic measurement
constexpr auto kPartitionDuration = 120s;
// One of this many members is suspended.
constexpr std::size_t kMembersPerSuspended = 10;

// Measurements of one simulation. A duration is nullopt if the members did not converge.
struct MembershipResult {
  std::optional<Duration> join;
  double bytes_per_s = 0;           // traffic per member, without faults
  double false_deaths_per_h = 0;    // rate per member, without faults
  std::vector<double> detection_s;  // sorted; one for each pair of running and suspended member
  std::optional<Duration> detected_by_all;
  std::optional<Duration> heal;  // time to converge after a partition into two halves
};

// Returns the time until each running member knows exactly the other running members, or nullopt if
// that takes longer than kMaxConvergenceTime.
std::optional<Duration> time_to_converge(GossipSimulation& simulation) {
  const Time began = simulation.now();
  while (!simulation.has_converged()) {
    if (simulation.now() - began > kMaxConvergenceTime) {
      return std::nullopt;
    }
    simulation.run(kSimulationStep);
  }
  return simulation.now() - began;
}

void measure_steady_state(GossipSimulation& simulation, MembershipResult& result) {
  const GossipSimulation::TrafficCounts before = simulation.traffic();
  simulation.run(kSteadyStateDuration);
  const GossipSimulation::TrafficCounts& after = simulation.traffic();
  const double member_seconds =
      to_s(Duration(kSteadyStateDuration)) * static_cast<double>(simulation.size());
  result.bytes_per_s = static_cast<double>(after.bytes - before.bytes) / member_seconds;
  result.false_deaths_per_h =
      static_cast<double>(after.false_deaths - before.false_deaths) / member_seconds * 3600;
}

// Suspends the members with the highest indices, measures when the others detect that, and resumes
// them.
void measure_failure_detection(GossipSimulation& simulation, MembershipResult& result) {
  const std::size_t count = std::max<std::size_t>(1, simulation.size() / kMembersPerSuspended);
  const std::size_t first = simulation.size() - count;
  const Time suspended_at = simulation.now();
  for (std::size_t i = first; i < simulation.size(); ++i) {
    simulation.pause(i);
  }
  result.detected_by_all = time_to_converge(simulation);
  for (std::size_t observer = 0; observer < first; ++observer) {
    for (std::size_t i = first; i < simulation.size(); ++i) {
      if (const std::optional<Time> dead_since = simulation.dead_since(observer, i)) {
        result.detection_s.push_back(std::max(0.0, to_s(*dead_since - suspended_at)));
      }
    }
  }
  std::sort(result.detection_s.begin(), result.detection_s.end());
  for (std::size_t i = first; i < simulation.size(); ++i) {
    simulation.resume(i);
  }
  time_to_converge(simulation);
}

void measure_partition(GossipSimulation& simulation, MembershipResult& result) {
  const std::size_t half = simulation.size() / 2;
  simulation.set_link_filter(
      [half](std::size_t from, std::size_t to) { return (from < half) == (to < half); });
  simulation.run(kPartitionDuration);
  simulation.set_link_filter({});
  result.heal = time_to_converge(simulation);
}

MembershipResult simulate_membership(const GossipSimulationSpec& spec) {
  MembershipResult result;
  GossipSimulation simulation(spec);
  result.join = time_to_converge(simulation);
  measure_steady_state(simulation, result);
  measure_failure_detection(simulation, result);
  measure_partition(simulation, result);
  return result;
}

// Returns the value at quantile `q`, from 0 to 1, or 0 if there are no values.
double quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) {
    return 0;
  }
  return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

void print_membership_header() {
  fmt::print("{:>8} {:>6} {:>9} {:>11} {:>15} {:>16} {:>13} {:>9}\n", "members", "loss", "join s",
             "bytes/s each", "false deaths/h", "detection s", "all agree s", "heal s");
}

void print_membership_result(const GossipSimulationSpec& spec, const MembershipResult& result) {
  const std::string detection = fmt::format("{:.1f} ({:.1f})", quantile(result.detection_s, 0.5),
                                            quantile(result.detection_s, 1));
  fmt::print("{:>8} {:>6.2f} {:>9} {:>11.0f} {:>15.3f} {:>16} {:>13} {:>9}\n", spec.members,
             spec.loss, seconds_text(result.join), result.bytes_per_s, result.false_deaths_per_h,
             detection, seconds_text(result.detected_by_all), seconds_text(result.heal));
  std::fflush(stdout);
}

struct MembershipOptions {
  std::vector<std::uint32_t> members{3, 30, 100};
  std::vector<double> loss{0, 0.1, 0.3};
  double interval_s = 1;
  std::uint64_t seed = 1;
};

ExitCode run_membership(const MembershipOptions& options) {
  print_membership_header();
  for (const std::uint32_t members : options.members) {
    for (const double loss : options.loss) {
      GossipSimulationSpec spec;
      spec.members = members;
      spec.loss = loss;
      spec.seed = options.seed;
      spec.interval = emulator::to_duration(options.interval_s);
      print_membership_result(spec, simulate_membership(spec));
    }
  }
  return kSuccess;
}

// Implementation of the command simulate-maintenance.

constexpr std::size_t kSubmissionProxy = 0;  // the proxy to which requests are submitted
constexpr int kSubmissions = 3;              // more than one, as an election may lose a request
constexpr auto kSubmissionInterval = 300ms;
constexpr auto kElectionTime = 3s;
constexpr auto kLeaderDowntime = 2s;
constexpr auto kMaxFailover = 120s;
constexpr auto kMaxRoundDuration = 7200s;

struct RoundOptions {
  std::uint32_t backends = 0;
  std::uint32_t followers = 0;
  std::uint64_t seed = 1;
  bool kill_leader = false;  // kill the leader halfway through the round
};

MaintenanceSimulationSpec round_spec(const RoundOptions& options) {
  MaintenanceSimulationSpec spec;
  spec.seed = options.seed;
  spec.backends = options.backends;
  spec.followers = options.followers;
  spec.utilization = 0.7;
  spec.calls_per_s = 5;
  spec.work = 10s;
  spec.warm = 2s;
  maintenance::DisruptionBudget& budget = spec.budget;
  budget.needs_approval = false;
  budget.capacity_reserve = 0.1;
  budget.quiet_period = 5;
  budget.max_out = std::max<std::uint32_t>(1, options.backends / 10);
  budget.max_out_per_zone = budget.max_out;
  budget.max_out_per_cell = budget.max_out;
  return spec;
}

void submit_request_for_all(MaintenanceSimulation& simulation, std::uint32_t backends) {
  maintenance::Command command;
  command.type = maintenance::CommandType::kSubmitRequest;
  command.request = maintenance::Request{};
  command.request->id = "all";
  command.request->max_concurrent = backends;
  for (int i = 0; i < kSubmissions; ++i) {
    simulation.submit_command(kSubmissionProxy, command);
    simulation.run(kSubmissionInterval);
  }
}

// Kills the leader and restarts it. Returns the time from its death until more than `max_out`
// further backends were done, which include one that was taken out after the death. Returns about
// kMaxFailover if that takes longer.
Duration measure_failover(MaintenanceSimulation& simulation, std::size_t leader,
                          std::uint32_t max_out) {
  const std::size_t done_before = simulation.taken_out();
  const Time died_at = simulation.now();
  simulation.kill(leader);
  simulation.run(kLeaderDowntime);
  simulation.start(leader);
  while (simulation.now() - died_at < kMaxFailover &&
         !(simulation.leader() && simulation.taken_out() > done_before + max_out)) {
    simulation.run(kSimulationStep);
  }
  return simulation.now() - died_at;
}

// Runs one round of maintenance of all backends and compares its duration with the minimum that the
// disruption budget allows. The only fault is the leader's death, if `options` request it.
void simulate_round(const RoundOptions& options) {
  const MaintenanceSimulationSpec spec = round_spec(options);
  MaintenanceSimulation simulation(spec);
  simulation.run(kElectionTime);
  submit_request_for_all(simulation, options.backends);
  const Time began = simulation.now();
  std::optional<Duration> failover;
  while (simulation.now() - began < kMaxRoundDuration &&
         !(simulation.leader() && simulation.open_requests().empty())) {
    simulation.run(kSimulationStep);
    const std::optional<std::size_t> leader = simulation.leader();
    if (options.kill_leader && !failover && leader &&
        simulation.taken_out() >= options.backends / 2) {
      failover = measure_failover(simulation, *leader, spec.budget.max_out);
    }
  }
  const double took_s = to_s(simulation.now() - began);
  const double batches = std::ceil(options.backends / static_cast<double>(spec.budget.max_out));
  const double shortest_s = batches * to_s(spec.work + spec.warm);
  const std::string failover_text =
      failover ? fmt::format("; {:.1f} s from the leader's death until later work had ended",
                             to_s(*failover))
               : "";
  fmt::print(
      "{} backends, {} at a time, {} proxies: {:.1f} s, {:.2f} times the shortest; held back {} of "
      "{} calls; {} violations of the disruption budget{}\n",
      options.backends, spec.budget.max_out, spec.voters + options.followers, took_s,
      took_s / shortest_s, simulation.requests_withheld(),
      simulation.requests_sent() + simulation.requests_withheld(), simulation.verdict().all(),
      failover_text);
}

struct MaintenanceOptions {
  std::uint64_t seed = 1;
  std::uint32_t plans = 100;
  std::uint32_t followers = 10;
  std::uint32_t round_backends = 0;  // number of backends; 0: run drawn plans instead
  bool kill_leader = false;
};

// Runs randomly drawn fault plans. Prints the plans with violations, or with requests that wait
// without a reason, on standard error.
ExitCode simulate_plans(const MaintenanceOptions& options) {
  std::uint64_t violating_plans = 0;
  std::uint64_t unexplained_requests = 0;
  std::uint64_t backends_done = 0;
  std::uint64_t completed_plans = 0;
  for (std::uint64_t seed = options.seed; seed < options.seed + options.plans; ++seed) {
    const emulator::MaintenanceRun run = emulator::run_drawn_maintenance(seed, options.followers);
    const bool violated = run.verdict.all() > 0;
    backends_done += run.taken_out;
    unexplained_requests += run.unexplained.size();
    if (run.open.empty()) {
      ++completed_plans;
    }
    if (violated) {
      ++violating_plans;
    }
    if (violated || !run.unexplained.empty()) {
      fmt::print(stderr, "seed {}\n{}{}", seed, run.plan, run.verdict.text);
    }
    for (const std::string& id : run.unexplained) {
      fmt::print(stderr, "{}: request neither completed nor has a reason for waiting\n", id);
    }
  }
  fmt::print(
      "{} plans: {} backends taken out and back, all requests completed in {}, {} violated the "
      "disruption budget, {} requests waiting without a reason\n",
      options.plans, backends_done, completed_plans, violating_plans, unexplained_requests);
  return violating_plans + unexplained_requests > 0 ? kRuleViolated : kSuccess;
}

ExitCode run_maintenance(const MaintenanceOptions& options) {
  if (options.round_backends == 0) {
    return simulate_plans(options);
  }
  simulate_round({options.round_backends, options.followers, options.seed, options.kill_leader});
  return kSuccess;
}

}  // namespace

void add_simulate_membership_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<MembershipOptions>();
  CLI::App* command = app.add_subcommand(
      "simulate-membership",
      "Simulate gossip members that join, are suspended and are partitioned, in simulated time");
  command->add_option("--members", options->members, "Cluster sizes, one row each")
      ->check(CLI::Range(2u, 1'000u))
      ->capture_default_str();
  command->add_option("--loss", options->loss, "Fractions of datagrams that are lost, one row each")
      ->check(CLI::Range(0.0, 0.9))
      ->capture_default_str();
  command->add_option("--interval", options->interval_s, "Seconds between a member's probes")
      ->check(CLI::Range(0.01, 60.0))
      ->capture_default_str();
  command->add_option("--seed", options->seed, "Seed of the simulation")->capture_default_str();
  command->callback([options, &exit_code] { exit_code = run_membership(*options); });
}

void add_simulate_maintenance_command(CLI::App& app, int& exit_code) {
  const auto options = std::make_shared<MaintenanceOptions>();
  CLI::App* command = app.add_subcommand(
      "simulate-maintenance",
      "Simulate maintenance of all backends under fault injection plans drawn from seeds, in "
      "simulated time");
  command->add_option("--seed", options->seed, "Seed of the first plan")->capture_default_str();
  command->add_option("--plans", options->plans, "Number of plans")
      ->check(CLI::Range(1u, 100'000u))
      ->capture_default_str();
  command->add_option("--followers", options->followers, "Maximum number of non-voting proxies")
      ->check(CLI::Range(0u, 200u))
      ->capture_default_str();
  command
      ->add_option("--round", options->round_backends,
                   "Instead of plans: one round of maintenance of this many backends")
      ->check(CLI::Range(2u, 2'000u));
  command->add_flag("--leader-dies", options->kill_leader,
                    "Kill the leader halfway through the round");
  command->callback([options, &exit_code] { exit_code = run_maintenance(*options); });
}

}  // namespace beechhill::testbed
