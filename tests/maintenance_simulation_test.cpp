// Tests MaintenanceCoordinator and everything below it under faults, in simulated time.
#include "emulator/maintenance_simulation.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

#include "maintenance/maintenance_planner.h"
#include "maintenance/status_json.h"

namespace beechhill::test {
namespace {

using namespace std::chrono_literals;
using namespace maintenance;
using emulator::MaintenanceSimulation;
using emulator::MaintenanceSimulationSpec;
using emulator::SeededBug;

// Makes a command that requests maintenance of all backends.
Command make_submission(const std::string& id, std::uint32_t max_concurrent = 1) {
  Command command;
  command.type = CommandType::kSubmitRequest;
  command.request.emplace();
  command.request->id = id;
  command.request->requested_by = "ana";
  command.request->reason = "kernel";
  command.request->max_concurrent = max_concurrent;
  return command;
}

MaintenanceSimulationSpec make_spec(std::uint64_t seed = 1) {
  MaintenanceSimulationSpec spec;
  spec.seed = seed;
  spec.budget.needs_approval = false;
  spec.budget.max_out = 2;
  spec.budget.max_out_per_zone = 2;
  spec.budget.max_out_per_cell = 2;
  spec.budget.drain_timeout = 30;
  spec.budget.deferral = 3;
  spec.budget.quiet_period = 3;
  return spec;
}

// Submits the same request three times, since a submission fails while there is no leader.
// Repetitions of an accepted request change nothing.
void submit_all(MaintenanceSimulation& simulation, std::size_t at) {
  for (int i = 0; i < 3; ++i) {
    simulation.submit_command(at, make_submission("all", 2));
    simulation.run(500ms);
  }
}

// Whether there is a leader and all requests have ended.
bool is_done(const MaintenanceSimulation& simulation) {
  return simulation.leader() && simulation.open_requests().empty();
}

bool ends_within(MaintenanceSimulation& simulation, Duration timeout) {
  const Time deadline = simulation.now() + timeout;
  while (simulation.now() < deadline && !is_done(simulation)) {
    simulation.run(1s);
  }
  return is_done(simulation);
}

std::vector<std::string> explain_all(const MaintenanceSimulation& simulation) {
  const auto& state = simulation.coordinator(simulation.leader().value()).state_machine();
  return MaintenancePlanner(state).explain("all", {});
}

void expect_no_violation(const MaintenanceSimulation& simulation) {
  EXPECT_EQ(simulation.verdict().all(), 0u) << simulation.verdict().text;
}

TEST(MaintenanceCoordinator, TakesEveryMachineOutOnce) {
  MaintenanceSimulation simulation(make_spec());
  simulation.run(3s);
  ASSERT_TRUE(simulation.leader());
  const std::size_t follower = simulation.size() - 1;
  submit_all(simulation, follower);
  EXPECT_TRUE(ends_within(simulation, 120s));
  EXPECT_EQ(simulation.taken_out(), 12u);
  expect_no_violation(simulation);
  EXPECT_GT(simulation.requests_sent(), 3'000u);
}

TEST(MaintenanceCoordinator, ContinuesAfterTheLeaderCrashes) {
  MaintenanceSimulation simulation(make_spec());
  simulation.run(3s);
  submit_all(simulation, 4);
  const std::size_t leader = simulation.leader().value();
  simulation.kill(leader);
  simulation.run(8s);
  ASSERT_TRUE(simulation.leader() && *simulation.leader() != leader);
  simulation.start(leader);
  EXPECT_TRUE(ends_within(simulation, 180s));
  expect_no_violation(simulation);
}

TEST(MaintenanceCoordinator, ContinuesAfterAllVotersRestart) {
  MaintenanceSimulation simulation(make_spec());
  simulation.run(3s);
  submit_all(simulation, 4);
  simulation.run(2s);
  for (std::size_t i = 0; i < 3; ++i) {
    simulation.kill(i);
    simulation.start(i);
  }
  simulation.run(4s);
  EXPECT_TRUE(simulation.leader());
  EXPECT_TRUE(ends_within(simulation, 180s));
  expect_no_violation(simulation);
}

// With two of three voters down, proxies continue to serve with the permissions that they last
// received. Only machines whose drain was announced need a valid lease, and here there are none.
TEST(MaintenanceCoordinator, ServesWithoutAQuorum) {
  MaintenanceSimulation simulation(make_spec());
  simulation.run(3s);
  simulation.kill(0);
  simulation.kill(1);
  simulation.run(20s);
  const std::uint64_t before = simulation.requests_sent();
  const std::uint64_t withheld = simulation.requests_withheld();
  simulation.run(5s);
  EXPECT_GT(simulation.requests_sent() - before, 300u);
  EXPECT_EQ(simulation.requests_withheld(), withheld);
}

// A proxy that starts while no voter runs cannot learn which machines are out, so it sends no
// requests until a new leader grants it a lease.
TEST(MaintenanceCoordinator, SendsNothingAfterAStartWithoutALease) {
  MaintenanceSimulation simulation(make_spec());
  simulation.run(3s);
  for (std::size_t i = 0; i < 3; ++i) {
    simulation.kill(i);
  }
  simulation.kill(5);
  simulation.start(5);
  simulation.run(5s);
  EXPECT_FALSE(simulation.coordinator(5).has_held_lease());
  EXPECT_EQ(simulation.coordinator(5).dispatch_permitted_until("backend-00001"), Time::min());
  for (std::size_t i = 0; i < 3; ++i) {
    simulation.start(i);
  }
  simulation.run(10s);
  EXPECT_TRUE(simulation.coordinator(5).has_held_lease());
}

// A proxy that was suspended for 30 s still has the permissions from before and must not act on
// them. The test runs with proxy 0, which is a voter, and with proxy 4, which is not.
TEST(MaintenanceCoordinator, StaysSafeWhenAProxyResumes) {
  for (std::size_t proxy : {std::size_t{0}, std::size_t{4}}) {
    MaintenanceSimulation simulation(make_spec());
    simulation.run(3s);
    submit_all(simulation, 3);
    simulation.suspend(proxy);
    simulation.run(30s);
    simulation.resume(proxy);
    EXPECT_TRUE(ends_within(simulation, 180s));
    expect_no_violation(simulation);
  }
}

// Proxy 5 is partitioned from the others and continues to serve. With an isolation timeout,
// maintenance proceeds without proxy 5; otherwise it waits, and the explanation names that proxy.
TEST(MaintenanceCoordinator, StaysSafeInAPartition) {
  for (const bool has_isolation_timeout : {false, true}) {
    MaintenanceSimulationSpec spec = make_spec();
    if (has_isolation_timeout) {
      spec.isolation_timeout = 4s;
    }
    MaintenanceSimulation simulation(spec);
    simulation.run(3s);
    simulation.set_link_filter(
        [](std::size_t from, std::size_t to) { return (from == 5) == (to == 5); });
    simulation.run(500ms);
    submit_all(simulation, 3);
    simulation.run(30s);
    EXPECT_EQ(simulation.taken_out() > 0, has_isolation_timeout);
    if (!has_isolation_timeout) {
      const auto reasons = explain_all(simulation);
      EXPECT_NE(reasons.front().find("proxy-5"), std::string::npos) << reasons.front();
    }
    simulation.set_link_filter({});
    EXPECT_TRUE(ends_within(simulation, 180s));
    expect_no_violation(simulation);
  }
}

TEST(MaintenanceCoordinator, ReadmitsWipedAndRolledBackVoters) {
  for (const bool wiped : {true, false}) {
    MaintenanceSimulation simulation(make_spec());
    simulation.run(3s);
    simulation.copy_storage(1);
    submit_all(simulation, 4);
    simulation.run(5s);
    simulation.kill(1);
    if (wiped) {
      simulation.wipe_storage(1);
    } else {
      simulation.restore_storage(1);
    }
    simulation.start(1);
    simulation.run(15s);
    EXPECT_TRUE(simulation.coordinator(1).is_voter());
    const auto leader = simulation.leader();
    ASSERT_TRUE(leader);
    EXPECT_GT(simulation.coordinator(1).state_machine().applied_index(), 5u);
    // A leader without the other voter needs the vote of voter 1's next generation.
    const std::size_t other = *leader == 2 ? 0 : 2;
    simulation.kill(other);
    simulation.run(10s);
    ASSERT_TRUE(simulation.leader());
    const LogIndex index =
        simulation.coordinator(*simulation.leader()).state_machine().applied_index();
    simulation.run(10s);
    ASSERT_TRUE(simulation.leader());
    EXPECT_GT(simulation.coordinator(*simulation.leader()).state_machine().applied_index(), index);
    simulation.start(other);
    EXPECT_TRUE(ends_within(simulation, 240s));
    expect_no_violation(simulation);
  }
}

TEST(MaintenanceCoordinator, ContinuesWithoutAVoterWhoseDiskFails) {
  MaintenanceSimulation simulation(make_spec());
  simulation.run(3s);
  submit_all(simulation, 4);
  simulation.fail_storage(simulation.leader().value());
  EXPECT_TRUE(ends_within(simulation, 240s));
  expect_no_violation(simulation);
}

TEST(MaintenanceCoordinator, NamesAMachineThatStaysOut) {
  MaintenanceSimulationSpec spec = make_spec();
  spec.budget.max_out = 1;
  MaintenanceSimulation simulation(spec);
  simulation.run(3s);
  simulation.pause_operators();
  submit_all(simulation, 3);
  simulation.run(60s);
  const auto& state = simulation.coordinator(simulation.leader().value()).state_machine();
  ASSERT_EQ(state.workflows().size(), 1u);
  EXPECT_EQ(state.workflows().begin()->second.state, WorkflowState::kOut);
  EXPECT_NE(explain_all(simulation).back().find("most_out"), std::string::npos);
  simulation.resume_operators();
  EXPECT_TRUE(ends_within(simulation, 240s));
  expect_no_violation(simulation);
}

TEST(MaintenanceCoordinator, KeepsTheBudgetWhenClocksStep) {
  MaintenanceSimulation simulation(make_spec());
  simulation.run(3s);
  submit_all(simulation, 3);
  simulation.shift_clock(simulation.leader().value(), -5'000);
  simulation.run(5s);
  simulation.shift_clock(1, 50'000);
  EXPECT_TRUE(ends_within(simulation, 240s));
  expect_no_violation(simulation);
}

// Under random fault plans the invariants hold, and every request ends or its status explains why
// it waits. The command `beechhill-testbed simulate-maintenance` runs larger numbers of such plans.
TEST(MaintenanceCoordinator, HoldsItsInvariantsUnderRandomFaultPlans) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const emulator::MaintenanceRun run = emulator::run_drawn_maintenance(seed, 4);
    EXPECT_EQ(run.verdict.all(), 0u) << "seed " << seed << "\n" << run.plan << run.verdict.text;
    EXPECT_TRUE(run.unexplained.empty())
        << "seed " << seed << ": " << run.unexplained.front() << "\n"
        << run.plan;
  }
}

// The exploration tests inject one of these faults into one of three voters, at each time step of
// the workflows of two machines.
enum class VoterFault { kCrash, kSuspend, kPartition, kNothingReceived };
constexpr std::array kVoterFaults{VoterFault::kCrash, VoterFault::kSuspend, VoterFault::kPartition,
                                  VoterFault::kNothingReceived};

void begin_fault(MaintenanceSimulation& simulation, VoterFault fault, std::size_t voter) {
  switch (fault) {
    case VoterFault::kCrash:
      return simulation.kill(voter);
    case VoterFault::kSuspend:
      return simulation.suspend(voter);
    case VoterFault::kPartition:
      return simulation.set_link_filter(
          [voter](std::size_t from, std::size_t to) { return from != voter && to != voter; });
    case VoterFault::kNothingReceived:
      return simulation.set_link_filter(
          [voter](std::size_t, std::size_t to) { return to != voter; });
  }
}

void end_fault(MaintenanceSimulation& simulation, VoterFault fault, std::size_t voter) {
  if (fault == VoterFault::kCrash) {
    simulation.start(voter);
  }
  if (fault == VoterFault::kSuspend) {
    simulation.resume(voter);
  }
  simulation.set_link_filter({});
}

MaintenanceSimulationSpec exploration_spec(SeededBug bug) {
  MaintenanceSimulationSpec spec = make_spec();
  spec.voters = 3;
  spec.followers = 0;
  spec.backends = 2;
  spec.zones = 1;
  spec.utilization = 0.1;
  spec.isolation_timeout = 3s;
  spec.bug = bug;
  spec.request_duration = 1s;
  spec.work = 2s;
  spec.budget.max_out = 1;
  return spec;
}

std::string leader_status(const MaintenanceSimulation& simulation) {
  return simulation.leader()
             ? status_json(simulation.coordinator(*simulation.leader()).state_machine(), {}, "both",
                           "")
             : "no leader";
}

// Returns the number of invariant violations. Without a seeded bug the test fails on any violation,
// and on a request that does not end.
std::uint64_t explore_fault(SeededBug bug, Duration at, VoterFault fault, std::size_t voter) {
  SCOPED_TRACE(testing::Message() << "fault " << static_cast<int>(fault) << " of voter " << voter
                                  << " at " << at.count() << " us");
  MaintenanceSimulation simulation(exploration_spec(bug));
  simulation.run(2s);
  simulation.submit_command(simulation.leader().value_or(0), make_submission("both"));
  simulation.run(at);
  begin_fault(simulation, fault, voter);
  simulation.run(13s);
  end_fault(simulation, fault, voter);
  if (bug == SeededBug::kNone) {
    EXPECT_TRUE(ends_within(simulation, 120s)) << "stuck: " << leader_status(simulation);
    expect_no_violation(simulation);
  } else {
    simulation.run(10s);
  }
  return simulation.verdict().all();
}

// Returns the number of violations of the first fault that leads to any, or 0.
std::uint64_t explore(SeededBug bug, Duration interval) {
  for (Duration at{0}; at < Duration(9s); at += interval) {
    for (const VoterFault fault : kVoterFaults) {
      for (std::size_t voter = 0; voter < 3; ++voter) {
        const std::uint64_t violations = explore_fault(bug, at, fault, voter);
        if (violations > 0) {
          return violations;
        }
      }
    }
  }
  return 0;
}

TEST(MaintenanceCoordinator, SurvivesAFaultAtAnyTimeOfAWorkflow) {
  EXPECT_EQ(explore(SeededBug::kNone, 400ms), 0u);
}
TEST(MaintenanceCoordinator, ExplorationFindsALeaseHeldTooLong) {
  EXPECT_GT(explore(SeededBug::kLongLease, 100ms), 0u);
}
TEST(MaintenanceCoordinator, ExplorationFindsAConfirmationWhileBusy) {
  EXPECT_GT(explore(SeededBug::kConfirmsBusy, 100ms), 0u);
}
TEST(MaintenanceCoordinator, ExplorationFindsUseWithoutALease) {
  EXPECT_GT(explore(SeededBug::kNoLease, 100ms), 0u);
}

}  // namespace
}  // namespace beechhill::test
