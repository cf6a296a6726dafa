// Tests MaintenanceStateMachine together with MaintenancePlanner, which decides its next commands.
#include "maintenance/maintenance_state_machine.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "maintenance/maintenance_planner.h"
#include "maintenance/status_json.h"

namespace beechhill::test {
namespace {

using namespace maintenance;

Command make_submission(const std::string& id, std::set<std::string> machines,
                        std::uint32_t max_concurrent = 1, std::int32_t priority = 0) {
  Command command;
  command.type = CommandType::kSubmitRequest;
  command.request.emplace();
  command.request->id = id;
  command.request->requested_by = "ana";
  command.request->reason = "kernel";
  command.request->selector.ids = std::move(machines);
  command.request->max_concurrent = max_concurrent;
  command.request->priority = priority;
  return command;
}

Command make_command(CommandType type, const std::string& id, const std::string& machine = {},
                     const std::string& proxy = {}, FencingToken token = 0) {
  Command command;
  command.type = type;
  command.id = id;
  command.machine = machine;
  command.proxy = proxy;
  command.fencing_token = token;
  return command;
}

// A replica that knows two zones of four machines each and two proxies.
struct Replica {
  explicit Replica(const DisruptionBudget& budget = {}) {
    Command command;
    command.type = CommandType::kSetDisruptionBudget;
    command.disruption_budget = budget;
    apply(command);
    for (const char* proxy : {"p-1", "p-2"}) {
      apply(make_command(CommandType::kAddProxy, {}, {}, proxy));
    }
    observe();
  }
  void observe(double utilization = 0.4, const std::string& incident = {}) {
    Command command;
    command.type = CommandType::kUpdateObservations;
    command.zone_utilization = {{"a", utilization}, {"b", utilization}};
    command.incident = incident;
    for (int i = 0; i < 8; ++i) {
      Machine machine;
      machine.id = "m-" + std::to_string(i);
      machine.zone = i < 4 ? "a" : "b";
      machine.cell = "c" + std::to_string(i / 2);
      machine.instance_type = i % 2 ? "x" : "y";
      if (overrides.contains(machine.id)) {
        machine = overrides[machine.id];
      }
      command.machines.push_back(machine);
    }
    apply(command);
  }
  CommandResult apply(Command command) {
    command.issued_at = time;
    // Encodes and decodes the command, as if it were read from the log.
    const auto decoded = decode(encode(command));
    return state.apply(++index, decoded.value());
  }
  // Applies the first command that is due, if any, and returns it.
  std::optional<Command> apply_next() {
    const auto next = MaintenancePlanner(state).next_commands(acknowledged);
    if (next.empty()) {
      return std::nullopt;
    }
    apply(next.front());
    return next.front();
  }
  std::string explain(const std::string& id) {
    std::string all;
    for (const std::string& line : MaintenancePlanner(state).explain(id, acknowledged)) {
      all += line + "\n";
    }
    return all;
  }
  void acknowledge_all() { acknowledged = {{"p-1", index}, {"p-2", index}}; }
  // Advances the next machine's workflow to kOut and returns the machine's id.
  std::string take_one_out() {
    const auto announced = apply_next();
    acknowledge_all();
    apply_next();
    const FencingToken token = state.workflows().at(announced->machine).fencing_token;
    for (const char* proxy : {"p-1", "p-2"}) {
      apply(make_command(CommandType::kConfirmDrained, {}, announced->machine, proxy, token));
    }
    apply_next();
    return announced->machine;
  }
  WorkflowState workflow_state(const std::string& machine) {
    return state.workflows().at(machine).state;
  }

  MaintenanceStateMachine state;
  LogIndex index = 0;
  Seconds time = 1'000'000;
  AcknowledgedIndexes acknowledged;
  std::map<std::string, Machine> overrides;
};

DisruptionBudget budget_without_approval() {
  DisruptionBudget budget;
  budget.needs_approval = false;
  return budget;
}

TEST(MaintenanceStateMachine, MovesOneMachineThroughItsWorkflow) {
  Replica replica;
  EXPECT_EQ(replica.apply(make_submission("r", {"m-1"})), CommandResult::kApplied);
  EXPECT_FALSE(replica.apply_next());
  EXPECT_EQ(replica.explain("r"), "not approved\n");
  EXPECT_EQ(replica.apply(make_command(CommandType::kApproveRequest, "r")),
            CommandResult::kApplied);
  EXPECT_EQ(replica.apply_next()->type, CommandType::kAnnounceDrain);
  EXPECT_TRUE(replica.state.dispatch_permissions(Role::kBackend).at("m-1").lease_required);
  // The drain does not start before all proxies have acknowledged the announcement.
  EXPECT_FALSE(replica.apply_next());
  replica.acknowledged = {{"p-1", replica.index}};
  EXPECT_EQ(replica.explain("r"), "m-1 is announced, waiting for p-2\n");
  replica.acknowledge_all();
  EXPECT_EQ(replica.apply_next()->type, CommandType::kStartDrain);
  EXPECT_TRUE(replica.state.dispatch_permissions(Role::kBackend).at("m-1").dispatch_forbidden);
  const FencingToken token = replica.state.workflows().at("m-1").fencing_token;
  EXPECT_EQ(replica.apply(make_command(CommandType::kConfirmDrained, {}, "m-1", "p-1", token + 1)),
            CommandResult::kOtherWorkflow);
  EXPECT_EQ(replica.apply(make_command(CommandType::kConfirmDrained, {}, "m-1", "p-1", token)),
            CommandResult::kApplied);
  EXPECT_EQ(replica.explain("r"), "m-1 is evacuating, waiting for p-2\n");
  EXPECT_EQ(replica.apply(make_command(CommandType::kConfirmDrained, {}, "m-1", "p-2", token)),
            CommandResult::kApplied);
  EXPECT_EQ(replica.workflow_state("m-1"), WorkflowState::kDrained);
  EXPECT_EQ(replica.apply_next()->type, CommandType::kMarkOut);
  EXPECT_EQ(replica.apply(make_command(CommandType::kCompleteWork, "r", "m-1")),
            CommandResult::kApplied);
  EXPECT_EQ(replica.workflow_state("m-1"), WorkflowState::kWarming);
  // A warming machine receives requests, but its workflow is not complete until it is warm.
  EXPECT_TRUE(replica.state.dispatch_permissions(Role::kBackend).empty());
  EXPECT_EQ(replica.apply_next()->type, CommandType::kCompleteWorkflow);
  EXPECT_TRUE(replica.state.requests().at("r").ended);
}

TEST(MaintenanceStateMachine, CountsARequestSentTwiceOnce) {
  Replica replica;
  EXPECT_EQ(replica.apply(make_submission("r", {"m-1"})), CommandResult::kApplied);
  EXPECT_EQ(replica.apply(make_submission("r", {"m-1"})), CommandResult::kNothingToChange);
  EXPECT_EQ(replica.apply(make_submission("r", {"m-2"})), CommandResult::kIdIsTaken);
  EXPECT_EQ(replica.state.requests().size(), 1u);
}

TEST(MaintenanceStateMachine, NamesTheBoundThatBlocksARequest) {
  const auto reason = [](DisruptionBudget budget, double utilization,
                         const std::function<void(Replica&)>& before = {}) {
    budget.needs_approval = false;
    Replica replica(budget);
    replica.observe(utilization);
    if (before) {
      before(replica);
    }
    replica.apply(make_submission("r", {"m-1"}));
    EXPECT_FALSE(replica.apply_next().has_value());
    const std::string lines = replica.explain("r");
    return lines.substr(0, lines.find_first_of(":\n"));
  };
  const auto other_out = [](const std::string& machine) {
    return [machine](Replica& replica) {
      replica.apply(make_submission("other", {machine}));
      replica.take_one_out();
    };
  };
  DisruptionBudget four_out;
  four_out.max_out = 4;
  four_out.max_out_per_zone = 4;
  four_out.max_out_per_cell = 4;
  EXPECT_EQ(reason({}, 0.4, other_out("m-7")), "most_out");
  DisruptionBudget budget = four_out;
  budget.max_out_per_zone = 1;
  EXPECT_EQ(reason(budget, 0.4, other_out("m-3")), "most_out_zone");
  budget = four_out;
  budget.max_out_per_cell = 1;
  EXPECT_EQ(reason(budget, 0.4, other_out("m-0")), "most_out_cell");
  // In zone a the load with the reserve needs 0.7 x 1.25 x 4 = 3.5 machines, but without m-1 only
  // three would remain.
  EXPECT_EQ(reason(four_out, 0.7), "reserve");
  budget = four_out;
  budget.preserve_last_in_cell = true;
  EXPECT_EQ(reason(budget, 0.1, other_out("m-0")), "keep_cell");
  EXPECT_EQ(reason(four_out, 0.4, [](Replica& replica) { replica.observe(0.4, "goodput"); }),
            "paused by an incident");
  // A machine in its slow start does not count as capacity in service.
  EXPECT_EQ(reason(four_out, 0.55,
                   [](Replica& replica) {
                     Machine cold;
                     cold.id = "m-2";
                     cold.zone = "a";
                     cold.warm = false;
                     replica.overrides["m-2"] = cold;
                     replica.observe(0.55);
                   }),
            "reserve");
}

TEST(MaintenanceStateMachine, CountsCapacityNotMachines) {
  DisruptionBudget budget = budget_without_approval();
  Replica replica(budget);
  Machine wide;
  wide.id = "m-1";
  wide.zone = "a";
  wide.relative_capacity = 5;
  replica.overrides["m-1"] = wide;
  replica.observe(0.5);
  replica.apply(make_submission("wide", {"m-1"}));
  // Without m-1 three of eight units of capacity would remain, but the load requires four.
  EXPECT_FALSE(replica.apply_next());
  replica.apply(make_submission("small", {"m-2"}));
  EXPECT_EQ(replica.apply_next()->machine, "m-2");
}

TEST(MaintenanceStateMachine, AbortsDrainsAndPausesDuringAnIncident) {
  DisruptionBudget budget = budget_without_approval();
  budget.max_out = 3;
  budget.max_out_per_zone = 3;
  Replica replica(budget);
  replica.apply(make_submission("r", {"m-0", "m-2", "m-4"}, 3));
  const std::string out = replica.take_one_out();
  const std::string announced = replica.apply_next()->machine;
  replica.observe(0.4, "zone_lost: b");
  EXPECT_EQ(replica.apply_next()->type, CommandType::kAbortDrain);
  EXPECT_FALSE(replica.state.workflows().contains(announced));
  // A workflow in kOut is not aborted, because operators may be working on the machine.
  EXPECT_EQ(replica.workflow_state(out), WorkflowState::kOut);
  EXPECT_FALSE(replica.apply_next());
  replica.observe(0.4);
  // No drain is announced during the quiet period.
  EXPECT_FALSE(replica.apply_next());
  replica.time += budget.quiet_period + budget.deferral + 1;
  replica.observe(0.4);
  EXPECT_EQ(replica.apply_next()->type, CommandType::kAnnounceDrain);
}

TEST(MaintenanceStateMachine, HoldsCancelsAndResumesRequests) {
  Replica replica(budget_without_approval());
  replica.apply(make_submission("r", {"m-0", "m-1"}));
  const std::string first = replica.apply_next()->machine;
  EXPECT_EQ(replica.apply(make_command(CommandType::kHoldRequest, "r")), CommandResult::kApplied);
  EXPECT_TRUE(replica.state.workflows().empty());
  EXPECT_FALSE(replica.apply_next());
  EXPECT_EQ(replica.apply(make_command(CommandType::kResumeRequest, "r")), CommandResult::kApplied);
  replica.time += 61;
  replica.observe();
  EXPECT_EQ(replica.apply_next()->machine, first);
  EXPECT_EQ(replica.apply(make_command(CommandType::kCancelRequest, "r")), CommandResult::kApplied);
  EXPECT_TRUE(replica.state.workflows().empty() &&
              replica.state.dispatch_permissions(Role::kBackend).empty());
  EXPECT_EQ(replica.apply(make_command(CommandType::kApproveRequest, "r")), CommandResult::kEnded);
}

TEST(MaintenanceStateMachine, AbortsADrainThatTimesOutAndRetries) {
  Replica replica(budget_without_approval());
  replica.apply(make_submission("r", {"m-0"}));
  replica.apply_next();
  replica.acknowledge_all();
  replica.apply_next();
  replica.time += replica.state.disruption_budget().drain_timeout + 1;
  replica.observe();
  EXPECT_EQ(replica.apply_next()->type, CommandType::kAbortDrain);
  EXPECT_EQ(replica.explain("r"), "m-0: drain was aborted, retry is deferred\n");
  replica.time += replica.state.disruption_budget().deferral + 1;
  replica.observe();
  const auto again = replica.apply_next();
  EXPECT_EQ(again->type, CommandType::kAnnounceDrain);
  // The new workflow has a new token, so that confirmations of the aborted one do not count.
  EXPECT_GT(replica.state.workflows().at("m-0").fencing_token, 1u);
}

TEST(MaintenanceStateMachine, DoesNotAwaitAForgottenProxy) {
  Replica replica(budget_without_approval());
  replica.apply(make_submission("r", {"m-0"}));
  replica.apply_next();
  replica.acknowledge_all();
  replica.apply_next();
  replica.apply(make_command(CommandType::kConfirmDrained, {}, "m-0", "p-1",
                             replica.state.workflows().at("m-0").fencing_token));
  EXPECT_EQ(replica.apply(make_command(CommandType::kForgetProxy, {}, {}, "p-2")),
            CommandResult::kApplied);
  replica.apply_next();
  EXPECT_EQ(replica.workflow_state("m-0"), WorkflowState::kDrained);
}

TEST(MaintenanceStateMachine, DoesNotStarveAnOldRequest) {
  DisruptionBudget budget = budget_without_approval();
  Replica replica(budget);
  replica.apply(make_submission("urgent", {"m-0", "m-1", "m-2", "m-3"}, 1, 3));
  replica.apply(make_submission("patient", {"m-4"}));
  EXPECT_EQ(replica.take_one_out(), "m-0");
  // Both requests age alike, so the urgent one keeps its higher priority.
  replica.time += 4 * budget.priority_aging_interval;
  replica.apply(make_submission("late", {"m-5"}, 1, 3));
  replica.apply(make_command(CommandType::kCompleteWork, "urgent", "m-0"));
  replica.observe();
  EXPECT_EQ(replica.apply_next()->type, CommandType::kCompleteWorkflow);
  // The urgent request precedes the late one, which has the same initial priority but is younger.
  EXPECT_EQ(replica.apply_next()->machine, "m-1");
  replica.apply(make_command(CommandType::kCancelRequest, "urgent"));
  // The patient request has aged past the priority of the late one.
  EXPECT_EQ(replica.apply_next()->machine, "m-4");
}

TEST(MaintenanceStateMachine, KeepsTheLastProxyOfAZone) {
  DisruptionBudget budget = budget_without_approval();
  budget.min_proxies_per_zone = 1;
  Replica replica(budget);
  Command command;
  command.type = CommandType::kUpdateObservations;
  for (const char* id : {"p-1", "p-2"}) {
    Machine machine;
    machine.id = id;
    machine.zone = "a";
    machine.role = Role::kProxy;
    command.machines.push_back(machine);
  }
  replica.apply(command);
  Command submission = make_submission("r", {"p-1", "p-2"}, 2);
  submission.request->selector.role = Role::kProxy;
  replica.apply(submission);
  EXPECT_EQ(replica.apply_next()->machine, "p-1");
  // The workflow of a proxy waits only for that proxy itself.
  replica.acknowledged = {{"p-1", replica.index}};
  EXPECT_EQ(replica.apply_next()->type, CommandType::kStartDrain);
  EXPECT_FALSE(replica.apply_next());
  EXPECT_EQ(replica.state.dispatch_permissions(Role::kProxy).size(), 1u);
}

// Truncated snapshots are rejected. Randomly corrupted ones are rejected, or restore a state whose
// own snapshot is valid; decoding them as commands must not crash.
TEST(MaintenanceStateMachine, RestoresSnapshotsCompletelyOrNotAtAll) {
  Replica replica(budget_without_approval());
  replica.apply(make_submission("r", {"m-0", "m-1"}));
  replica.take_one_out();
  const std::string valid = replica.state.snapshot();
  MaintenanceStateMachine restored;
  ASSERT_TRUE(restored.restore(valid));
  EXPECT_EQ(restored.snapshot(), valid);
  EXPECT_EQ(status_json(restored, {}, "r", ""), status_json(replica.state, {}, "r", ""));
  for (std::size_t i = 0; i < valid.size(); ++i) {
    EXPECT_FALSE(MaintenanceStateMachine().restore(valid.substr(0, i)));
  }
  std::mt19937 random(5);
  for (int i = 0; i < 20'000; ++i) {
    std::string corrupted = valid;
    for (unsigned changes = 1 + random() % 3; changes > 0; --changes) {
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    }
    MaintenanceStateMachine restored;
    EXPECT_TRUE(!restored.restore(corrupted) ||
                MaintenanceStateMachine().restore(restored.snapshot()));
    decode(corrupted);
  }
}

}  // namespace
}  // namespace beechhill::test
