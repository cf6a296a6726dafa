// Tests that the rule checker detects policies with deliberate bugs, and that the balancer keeps
// the rules under random faults.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "emulator/random.h"
#include "emulator/world.h"
#include "support/emulator_scenarios.h"

namespace beechhill::emulator {
namespace {

using test::make_module_policy;
using test::shipped_scenario;

// The balancer, with a hook that modifies the actions that it returns for each event.
class TamperedPolicy : public Policy {
 public:
  using Tamper = std::function<void(const Event&, std::vector<Action>&)>;
  TamperedPolicy(Time now, const Settings& settings, std::vector<Action>& actions, Tamper tamper)
      : balancer_(now, settings, actions), tamper_(std::move(tamper)) {}
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    balancer_.handle(now, event, actions);
    tamper_(event, actions);
  }

 private:
  Balancer balancer_;
  Tamper tamper_;
};

RuleChecker const& rules_after(std::optional<World>& world, const Scenario& scenario,
                               TamperedPolicy::Tamper tamper) {
  world.emplace(scenario, [tamper](Time now, const Settings& settings, const TrueBackendState&,
                                   std::vector<Action>& actions) {
    return std::make_unique<TamperedPolicy>(now, settings, actions, tamper);
  });
  world->run();
  return world->rules();
}

void expect_only(const RuleChecker& rules, Rule violated) {
  for (const Rule rule : {Rule::kOneAnswer, Rule::kEffects, Rule::kDrains, Rule::kCold}) {
    EXPECT_EQ(rules.count(rule) > 0, rule == violated) << name_of(rule);
  }
  ASSERT_FALSE(rules.violations().empty());
  EXPECT_NE(rules.violations()[0].what, "");
}

TEST(RuleChecker, ReportsARequestWithoutAnswer) {
  std::optional<World> world;
  const Scenario scenario = shipped_scenario("calm");
  expect_only(rules_after(world, scenario,
                          [](const Event& event, std::vector<Action>& actions) {
                            if (const auto* request = std::get_if<Request>(&event);
                                request && request->id % 100 == 0) {
                              actions.clear();
                            }
                          }),
              Rule::kOneAnswer);
  EXPECT_NE(world->rules().violations()[0].trace.find("taken"), std::string::npos);
  EXPECT_EQ(world->requests_in_flight(), 0u);
}

TEST(RuleChecker, ReportsASecondFinalAnswer) {
  std::optional<World> world;
  expect_only(rules_after(world, shipped_scenario("calm"),
                          [](const Event& event, std::vector<Action>& actions) {
                            if (const auto* outcome = std::get_if<Outcome>(&event);
                                outcome && outcome->is_final) {
                              actions.push_back(Fail{outcome->id});
                            }
                          }),
              Rule::kOneAnswer);
}

TEST(RuleChecker, ReportsARetryOfANonIdempotentRequest) {
  std::optional<World> world;
  Scenario scenario = shipped_scenario("fast-errors");
  scenario.classes[1].settings.idempotency = Idempotency::kNonIdempotent;
  expect_only(
      rules_after(world, scenario,
                  [](const Event& event, std::vector<Action>& actions) {
                    const auto* outcome = std::get_if<Outcome>(&event);
                    if (!outcome || outcome->result != Result::kError || outcome->is_final) {
                      return;
                    }
                    for (Action& action : actions) {
                      if (const auto* failure = std::get_if<Fail>(&action);
                          failure && failure->id == outcome->id) {
                        action = StartAttempt{outcome->id, 0};
                      }
                    }
                  }),
      Rule::kEffects);
}

TEST(RuleChecker, ReportsARejectionOfWhatMayHaveRun) {
  std::optional<World> world;
  Scenario scenario = shipped_scenario("fast-errors");
  scenario.classes[1].settings.idempotency = Idempotency::kNonIdempotent;
  expect_only(rules_after(world, scenario,
                          [](const Event&, std::vector<Action>& actions) {
                            for (Action& action : actions) {
                              if (const auto* failure = std::get_if<Fail>(&action)) {
                                action = Reject{failure->id, Duration{0}};
                              }
                            }
                          }),
              Rule::kEffects);
}

TEST(RuleChecker, ReportsAttemptsAtADrainedBackend) {
  std::optional<World> world;
  const Scenario scenario = shipped_scenario("stale-churn");
  std::set<EndpointId> draining;
  expect_only(rules_after(world, scenario,
                          [&draining](const Event& event, std::vector<Action>& actions) {
                            if (const auto* update = std::get_if<EndpointUpdate>(&event)) {
                              for (const Endpoint& entry : update->endpoints) {
                                if (entry.status == EndpointStatus::kDraining) {
                                  draining.insert(entry.id);
                                }
                              }
                            }
                            for (Action& action : actions) {
                              if (auto* send = std::get_if<StartAttempt>(&action);
                                  send && !draining.empty()) {
                                send->endpoint = *draining.begin();
                              }
                            }
                          }),
              Rule::kDrains);
}

TEST(RuleChecker, ReportsOverloadOfAColdBackend) {
  std::optional<World> world;
  Scenario scenario = shipped_scenario("vanish");
  std::optional<EndpointId> cold;
  expect_only(rules_after(world, scenario,
                          [&cold](const Event& event, std::vector<Action>& actions) {
                            if (const auto* update = std::get_if<EndpointUpdate>(&event)) {
                              for (const Endpoint& entry : update->endpoints) {
                                if (entry.started_at) {
                                  cold = entry.id;
                                }
                              }
                            }
                            for (Action& action : actions) {
                              if (auto* send = std::get_if<StartAttempt>(&action); send && cold) {
                                send->endpoint = *cold;
                              }
                            }
                          }),
              Rule::kCold);
  EXPECT_GT(world->metrics().tipped, 0u);
}

// Under random faults in random order, the balancer violates no rule and every request is
// completed.
TEST(RuleChecker, FindsNoViolationByTheBalancerUnderRandomFaults) {
  const std::vector<FaultKind> kinds{
      FaultKind::kSilent,     FaultKind::kErrors,    FaultKind::kSlow,  FaultKind::kLateReports,
      FaultKind::kStaleList,  FaultKind::kCrash,     FaultKind::kDrain, FaultKind::kReplace,
      FaultKind::kProxyCrash, FaultKind::kPartition, FaultKind::kBurst, FaultKind::kTenantBurst};
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    Scenario scenario = shipped_scenario(seed % 3 ? "calm" : "three-tiers");
    Stream random(seed, Actor::kFaults, 1'000'000);
    scenario.seed = seed;
    scenario.length = std::chrono::seconds(15);
    scenario.load.utilisation = 0.3 + 0.9 * random.uniform();
    scenario.clients.retry = static_cast<RetryPolicy>(random.below(4));
    scenario.clients.patience = {0.3, 1};
    scenario.faults.clear();
    for (int i = 0; i < 5; ++i) {
      FaultSpec fault;
      fault.kind = kinds[random.below(kinds.size())];
      fault.at = Duration(static_cast<std::int64_t>(8e6 * random.uniform()));
      fault.length = Duration(static_cast<std::int64_t>(5e5 + 6e6 * random.uniform()));
      fault.part = 0.05 + 0.45 * random.uniform();
      fault.tier = static_cast<std::uint32_t>(random.below(scenario.tiers.size()));
      fault.factor = fault.kind == FaultKind::kErrors ? random.uniform() : 1 + 3 * random.uniform();
      fault.delay = Duration(static_cast<std::int64_t>(5e6 * random.uniform()));
      scenario.faults.push_back(fault);
    }
    World world(scenario, make_module_policy);
    world.run();
    EXPECT_EQ(world.rules().all(), 0u)
        << "seed " << seed << ": " << world.rules().violations()[0].what << "\n"
        << world.rules().violations()[0].trace;
    EXPECT_EQ(world.requests_in_flight(), 0u) << "seed " << seed;
    EXPECT_EQ(world.rules().open(), 0u) << "seed " << seed;
    EXPECT_EQ(world.metrics().all.unanswered, 0u) << "seed " << seed;
  }
}

}  // namespace
}  // namespace beechhill::emulator
