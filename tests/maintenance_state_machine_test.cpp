// The replicated state of maintenance, and the planner that decides what comes next.
#include "maintenance/maintenance_state_machine.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "maintenance/maintenance_planner.h"
#include "maintenance/status_json.h"

namespace beechhill::test {
namespace {

using namespace maintenance;

Command submit(const std::string& id, std::set<std::string> machines,
               std::uint32_t max_concurrent = 1, std::int32_t priority = 0) {
  Command c;
  c.type = CommandType::kSubmitRequest;
  c.request.emplace();
  c.request->id = id;
  c.request->requested_by = "ana";
  c.request->reason = "kernel";
  c.request->selector.ids = std::move(machines);
  c.request->max_concurrent = max_concurrent;
  c.request->priority = priority;
  return c;
}

Command command(CommandType type, const std::string& id, const std::string& machine = {},
                const std::string& proxy = {}, FencingToken token = 0) {
  Command c;
  c.type = type;
  c.id = id;
  c.machine = machine;
  c.proxy = proxy;
  c.fencing_token = token;
  return c;
}

// A replica with four machines in each of two zones, half used, and two proxies.
struct Replica {
  explicit Replica(const DisruptionBudget& bounds = {}) {
    Command c;
    c.type = CommandType::kSetDisruptionBudget;
    c.disruption_budget = bounds;
    apply(c);
    for (const char* p : {"p-1", "p-2"}) {
      apply(command(CommandType::kAddProxy, {}, {}, p));
    }
    observe();
  }
  void observe(double utilization = 0.4, const std::string& incident = {}) {
    Command c;
    c.type = CommandType::kUpdateObservations;
    c.zone_utilization = {{"a", utilization}, {"b", utilization}};
    c.incident = incident;
    for (int i = 0; i < 8; ++i) {
      Machine m;
      m.id = "m-" + std::to_string(i);
      m.zone = i < 4 ? "a" : "b";
      m.cell = "c" + std::to_string(i / 2);
      m.instance_type = i % 2 ? "x" : "y";
      if (changed.contains(m.id)) {
        m = changed[m.id];
      }
      c.machines.push_back(m);
    }
    apply(c);
  }
  CommandResult apply(Command c) {
    c.issued_at = time;
    // As from the log.
    const auto read = decode(encode(c));
    return state.apply(++index, read.value());
  }
  // Applies the first of the commands that are due, and returns it.
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
  // Takes the next machine through all states up to kOut, and returns its id.
  std::string take_one_out() {
    const auto announced = apply_next();
    acknowledge_all();
    apply_next();
    const FencingToken token = state.workflows().at(announced->machine).fencing_token;
    for (const char* p : {"p-1", "p-2"}) {
      apply(command(CommandType::kConfirmDrained, {}, announced->machine, p, token));
    }
    apply_next();
    return announced->machine;
  }
  WorkflowState workflow_state(const std::string& m) { return state.workflows().at(m).state; }

  MaintenanceStateMachine state;
  LogIndex index = 0;
  Seconds time = 1'000'000;
  AcknowledgedIndexes acknowledged;
  std::map<std::string, Machine> changed;
};

DisruptionBudget budget_without_approval() {
  DisruptionBudget b;
  b.needs_approval = false;
  return b;
}

TEST(MaintenanceStateMachine, MovesOneMachineThroughItsWorkflow) {
  Replica replica;
  EXPECT_EQ(replica.apply(submit("r", {"m-1"})), CommandResult::kApplied);
  EXPECT_FALSE(replica.apply_next());
  EXPECT_EQ(replica.explain("r"), "not approved\n");
  EXPECT_EQ(replica.apply(command(CommandType::kApproveRequest, "r")), CommandResult::kApplied);
  EXPECT_EQ(replica.apply_next()->type, CommandType::kAnnounceDrain);
  EXPECT_TRUE(replica.state.dispatch_permissions(Role::kBackend).at("m-1").lease_required);
  // Not before all proxies have acknowledged it.
  EXPECT_FALSE(replica.apply_next());
  replica.acknowledged = {{"p-1", replica.index}};
  EXPECT_EQ(replica.explain("r"), "m-1 is announced, waiting for p-2\n");
  replica.acknowledge_all();
  EXPECT_EQ(replica.apply_next()->type, CommandType::kStartDrain);
  EXPECT_TRUE(replica.state.dispatch_permissions(Role::kBackend).at("m-1").dispatch_forbidden);
  const FencingToken token = replica.state.workflows().at("m-1").fencing_token;
  EXPECT_EQ(replica.apply(command(CommandType::kConfirmDrained, {}, "m-1", "p-1", token + 1)),
            CommandResult::kOtherWorkflow);
  EXPECT_EQ(replica.apply(command(CommandType::kConfirmDrained, {}, "m-1", "p-1", token)),
            CommandResult::kApplied);
  EXPECT_EQ(replica.explain("r"), "m-1 is evacuating, waiting for p-2\n");
  EXPECT_EQ(replica.apply(command(CommandType::kConfirmDrained, {}, "m-1", "p-2", token)),
            CommandResult::kApplied);
  EXPECT_EQ(replica.workflow_state("m-1"), WorkflowState::kDrained);
  EXPECT_EQ(replica.apply_next()->type, CommandType::kMarkOut);
  EXPECT_EQ(replica.apply(command(CommandType::kCompleteWork, "r", "m-1")),
            CommandResult::kApplied);
  EXPECT_EQ(replica.workflow_state("m-1"), WorkflowState::kWarming);
  // It serves again, and counts as out until it is warm.
  EXPECT_TRUE(replica.state.dispatch_permissions(Role::kBackend).empty());
  EXPECT_EQ(replica.apply_next()->type, CommandType::kMarkWarming);
  EXPECT_TRUE(replica.state.requests().at("r").ended);
}

TEST(MaintenanceStateMachine, CountsARequestSentTwiceOnce) {
  Replica replica;
  EXPECT_EQ(replica.apply(submit("r", {"m-1"})), CommandResult::kApplied);
  EXPECT_EQ(replica.apply(submit("r", {"m-1"})), CommandResult::kNothingToChange);
  EXPECT_EQ(replica.apply(submit("r", {"m-2"})), CommandResult::kIdIsTaken);
  EXPECT_EQ(replica.state.requests().size(), 1u);
}

TEST(MaintenanceStateMachine, NamesTheBoundThatBlocksARequest) {
  const auto reason = [](DisruptionBudget b, double utilization,
                         const std::function<void(Replica&)>& before = {}) {
    b.needs_approval = false;
    Replica replica(b);
    replica.observe(utilization);
    if (before) {
      before(replica);
    }
    replica.apply(submit("r", {"m-1"}));
    EXPECT_FALSE(replica.apply_next().has_value());
    const std::string lines = replica.explain("r");
    return lines.substr(0, lines.find_first_of(":\n"));
  };
  const auto other_out = [](const std::string& m) {
    return [m](Replica& replica) {
      replica.apply(submit("other", {m}));
      replica.take_one_out();
    };
  };
  DisruptionBudget many;
  many.max_out = 4;
  many.max_out_per_zone = 4;
  many.max_out_per_cell = 4;
  EXPECT_EQ(reason({}, 0.4, other_out("m-7")), "most_out");
  DisruptionBudget b = many;
  b.max_out_per_zone = 1;
  EXPECT_EQ(reason(b, 0.4, other_out("m-3")), "most_out_zone");
  b = many;
  b.max_out_per_cell = 1;
  EXPECT_EQ(reason(b, 0.4, other_out("m-0")), "most_out_cell");
  EXPECT_EQ(reason(many, 0.7), "reserve");  // 0.7 x 1.25 of four, three left
  b = many;
  b.preserve_last_in_cell = true;
  EXPECT_EQ(reason(b, 0.1, other_out("m-0")), "keep_cell");
  EXPECT_EQ(reason(many, 0.4, [](Replica& replica) { replica.observe(0.4, "goodput"); }),
            "an incident");
  // A cold successor counts as out until it is warm.
  EXPECT_EQ(reason(many, 0.55,
                   [](Replica& replica) {
                     Machine cold;
                     cold.id = "m-2";
                     cold.zone = "a";
                     cold.warm = false;
                     replica.changed["m-2"] = cold;
                     replica.observe(0.55);
                   }),
            "reserve");
}

TEST(MaintenanceStateMachine, CountsCapacityNotMachines) {
  DisruptionBudget b = budget_without_approval();
  Replica replica(b);
  Machine wide;
  wide.id = "m-1";
  wide.zone = "a";
  wide.relative_capacity = 5;
  replica.changed["m-1"] = wide;
  replica.observe(0.5);
  replica.apply(submit("wide", {"m-1"}));
  // Three of eight units of capacity would be left, four are needed.
  EXPECT_FALSE(replica.apply_next());
  replica.apply(submit("small", {"m-2"}));
  EXPECT_EQ(replica.apply_next()->machine, "m-2");
}

TEST(MaintenanceStateMachine, CallsBackAndPausesDuringAnIncident) {
  DisruptionBudget b = budget_without_approval();
  b.max_out = 3;
  b.max_out_per_zone = 3;
  Replica replica(b);
  replica.apply(submit("r", {"m-0", "m-2", "m-4"}, 3));
  const std::string out = replica.take_one_out();
  const std::string announced = replica.apply_next()->machine;
  replica.observe(0.4, "zone_lost: b");
  EXPECT_EQ(replica.apply_next()->type, CommandType::kCallBack);
  EXPECT_FALSE(replica.state.workflows().contains(announced));
  // Operators may be working on it.
  EXPECT_EQ(replica.workflow_state(out), WorkflowState::kOut);
  EXPECT_FALSE(replica.apply_next());
  replica.observe(0.4);
  // During the quiet period.
  EXPECT_FALSE(replica.apply_next());
  replica.time += b.quiet_period + b.deferral + 1;
  replica.observe(0.4);
  EXPECT_EQ(replica.apply_next()->type, CommandType::kAnnounceDrain);
}

TEST(MaintenanceStateMachine, HoldsCancelsAndResumesRequests) {
  Replica replica(budget_without_approval());
  replica.apply(submit("r", {"m-0", "m-1"}));
  const std::string first = replica.apply_next()->machine;
  EXPECT_EQ(replica.apply(command(CommandType::kHoldRequest, "r")), CommandResult::kApplied);
  EXPECT_TRUE(replica.state.workflows().empty());
  EXPECT_FALSE(replica.apply_next());
  EXPECT_EQ(replica.apply(command(CommandType::kResumeRequest, "r")), CommandResult::kApplied);
  replica.time += 61;
  replica.observe();
  EXPECT_EQ(replica.apply_next()->machine, first);
  EXPECT_EQ(replica.apply(command(CommandType::kCancelRequest, "r")), CommandResult::kApplied);
  EXPECT_TRUE(replica.state.workflows().empty() &&
              replica.state.dispatch_permissions(Role::kBackend).empty());
  EXPECT_EQ(replica.apply(command(CommandType::kApproveRequest, "r")), CommandResult::kEnded);
}

TEST(MaintenanceStateMachine, CallsBackADrainThatTimesOutAndRetries) {
  Replica replica(budget_without_approval());
  replica.apply(submit("r", {"m-0"}));
  replica.apply_next();
  replica.acknowledge_all();
  replica.apply_next();
  replica.time += replica.state.disruption_budget().drain_timeout + 1;
  replica.observe();
  EXPECT_EQ(replica.apply_next()->type, CommandType::kCallBack);
  EXPECT_EQ(replica.explain("r"), "m-0 was called back and is put off\n");
  replica.time += replica.state.disruption_budget().deferral + 1;
  replica.observe();
  const auto again = replica.apply_next();
  EXPECT_EQ(again->type, CommandType::kAnnounceDrain);
  // Confirmations of the earlier workflow do not count for this one.
  EXPECT_GT(replica.state.workflows().at("m-0").fencing_token, 1u);
}

TEST(MaintenanceStateMachine, DoesNotAwaitAForgottenProxy) {
  Replica replica(budget_without_approval());
  replica.apply(submit("r", {"m-0"}));
  replica.apply_next();
  replica.acknowledge_all();
  replica.apply_next();
  replica.apply(command(CommandType::kConfirmDrained, {}, "m-0", "p-1",
                        replica.state.workflows().at("m-0").fencing_token));
  EXPECT_EQ(replica.apply(command(CommandType::kForgetProxy, {}, {}, "p-2")),
            CommandResult::kApplied);
  replica.apply_next();
  EXPECT_EQ(replica.workflow_state("m-0"), WorkflowState::kDrained);
}

TEST(MaintenanceStateMachine, DoesNotStarveAnOldRequest) {
  DisruptionBudget b = budget_without_approval();
  Replica replica(b);
  replica.apply(submit("urgent", {"m-0", "m-1", "m-2", "m-3"}, 1, 3));
  replica.apply(submit("patient", {"m-4"}));
  EXPECT_EQ(replica.take_one_out(), "m-0");
  // Both age alike, so the patient one stays behind until the urgent one has ended.
  replica.time += 4 * b.priority_aging_interval;
  replica.apply(submit("late", {"m-5"}, 1, 3));
  replica.apply(command(CommandType::kCompleteWork, "urgent", "m-0"));
  replica.observe();
  EXPECT_EQ(replica.apply_next()->type, CommandType::kMarkWarming);
  // Of the urgent one, before the late one of the same priority.
  EXPECT_EQ(replica.apply_next()->machine, "m-1");
  replica.apply(command(CommandType::kCancelRequest, "urgent"));
  // Aged past the late one.
  EXPECT_EQ(replica.apply_next()->machine, "m-4");
}

TEST(MaintenanceStateMachine, KeepsTheLastProxyOfAZone) {
  DisruptionBudget b = budget_without_approval();
  b.min_proxies_per_zone = 1;
  Replica replica(b);
  Command c;
  c.type = CommandType::kUpdateObservations;
  for (const char* id : {"p-1", "p-2"}) {
    Machine m;
    m.id = id;
    m.zone = "a";
    m.role = Role::kProxy;
    c.machines.push_back(m);
  }
  replica.apply(c);
  Command submission = submit("r", {"p-1", "p-2"}, 2);
  submission.request->selector.role = Role::kProxy;
  replica.apply(submission);
  EXPECT_EQ(replica.apply_next()->machine, "p-1");
  // The workflow of a proxy waits for that proxy alone.
  replica.acknowledged = {{"p-1", replica.index}};
  EXPECT_EQ(replica.apply_next()->type, CommandType::kStartDrain);
  EXPECT_FALSE(replica.apply_next());
  EXPECT_EQ(replica.state.dispatch_permissions(Role::kProxy).size(), 1u);
}

TEST(MaintenanceStateMachine, RestoresSnapshotsCompletelyOrNotAtAll) {
  Replica replica(budget_without_approval());
  replica.apply(submit("r", {"m-0", "m-1"}));
  replica.take_one_out();
  const std::string good = replica.state.snapshot();
  MaintenanceStateMachine read;
  ASSERT_TRUE(read.restore(good));
  EXPECT_EQ(read.snapshot(), good);
  EXPECT_EQ(status_json(read, {}, "r", ""), status_json(replica.state, {}, "r", ""));
  for (std::size_t i = 0; i < good.size(); ++i) {
    EXPECT_FALSE(MaintenanceStateMachine().restore(good.substr(0, i)));
  }
  std::mt19937 random(5);
  for (int i = 0; i < 20'000; ++i) {
    std::string bad = good;
    for (unsigned n = 1 + random() % 3; n > 0; --n) {
      bad[random() % bad.size()] = static_cast<char>(random());
    }
    MaintenanceStateMachine damaged;
    EXPECT_TRUE(!damaged.restore(bad) || MaintenanceStateMachine().restore(damaged.snapshot()));
    decode(bad);
  }
}

}  // namespace
}  // namespace beechhill::test
