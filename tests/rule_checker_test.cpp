// The rule checker against policies broken on purpose, and against the real module under faults.
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

// The real module, with the events that it gets or the actions that it returns tampered with.
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

RuleChecker const& rules_after(std::optional<World>& world, const Scenario& s,
                               TamperedPolicy::Tamper tamper) {
  world.emplace(s, [tamper](Time now, const Settings& settings, const TrueBackendState&,
                            std::vector<Action>& actions) {
    return std::make_unique<TamperedPolicy>(now, settings, actions, tamper);
  });
  world->run();
  return world->rules();
}

void expect_only(const RuleChecker& rules, Rule violated) {
  for (const Rule r : {Rule::kOneAnswer, Rule::kEffects, Rule::kDrains, Rule::kCold}) {
    EXPECT_EQ(rules.count(r) > 0, r == violated) << name_of(r);
  }
  ASSERT_FALSE(rules.violations().empty());
  EXPECT_NE(rules.violations()[0].what, "");
}

TEST(RuleChecker, ReportsARequestWithoutAnswer) {
  std::optional<World> world;
  const Scenario s = shipped_scenario("calm");
  expect_only(rules_after(world, s,
                          [](const Event& e, std::vector<Action>& actions) {
                            if (const auto* r = std::get_if<Request>(&e); r && r->id % 100 == 0) {
                              actions.clear();
                            }
                          }),
              Rule::kOneAnswer);
  EXPECT_NE(world->rules().violations()[0].trace.find("taken"), std::string::npos);
  EXPECT_EQ(world->left_over(), 0u);
}

TEST(RuleChecker, ReportsASecondFinalAnswer) {
  std::optional<World> world;
  expect_only(rules_after(world, shipped_scenario("calm"),
                          [](const Event& e, std::vector<Action>& actions) {
                            if (const auto* o = std::get_if<Outcome>(&e); o && o->is_final) {
                              actions.push_back(Fail{o->id});
                            }
                          }),
              Rule::kOneAnswer);
}

TEST(RuleChecker, ReportsARetryOfANonIdempotentRequest) {
  std::optional<World> world;
  Scenario s = shipped_scenario("fast-errors");
  s.classes[1].settings.idempotency = Idempotency::kNonIdempotent;
  expect_only(rules_after(world, s,
                          [](const Event& e, std::vector<Action>& actions) {
                            const auto* o = std::get_if<Outcome>(&e);
                            if (!o || o->result != Result::kError || o->is_final) {
                              return;
                            }
                            for (Action& a : actions) {
                              if (const auto* f = std::get_if<Fail>(&a); f && f->id == o->id) {
                                a = StartAttempt{o->id, 0};
                              }
                            }
                          }),
              Rule::kEffects);
}

TEST(RuleChecker, ReportsARejectionOfWhatMayHaveRun) {
  std::optional<World> world;
  Scenario s = shipped_scenario("fast-errors");
  s.classes[1].settings.idempotency = Idempotency::kNonIdempotent;
  expect_only(rules_after(world, s,
                          [](const Event&, std::vector<Action>& actions) {
                            for (Action& a : actions) {
                              if (const auto* f = std::get_if<Fail>(&a)) {
                                a = Reject{f->id, Duration{0}};
                              }
                            }
                          }),
              Rule::kEffects);
}

TEST(RuleChecker, ReportsAttemptsAtADrainedBackend) {
  std::optional<World> world;
  const Scenario s = shipped_scenario("stale-churn");
  std::set<EndpointId> draining;
  expect_only(rules_after(world, s,
                          [&draining](const Event& e, std::vector<Action>& actions) {
                            if (const auto* d = std::get_if<EndpointUpdate>(&e)) {
                              for (const Endpoint& entry : d->endpoints) {
                                if (entry.status == EndpointStatus::kDraining) {
                                  draining.insert(entry.id);
                                }
                              }
                            }
                            for (Action& a : actions) {
                              if (auto* send = std::get_if<StartAttempt>(&a);
                                  send && !draining.empty()) {
                                send->endpoint = *draining.begin();
                              }
                            }
                          }),
              Rule::kDrains);
}

TEST(RuleChecker, ReportsOverloadOfAColdBackend) {
  std::optional<World> world;
  Scenario s = shipped_scenario("vanish");
  std::optional<EndpointId> cold;
  expect_only(rules_after(world, s,
                          [&cold](const Event& e, std::vector<Action>& actions) {
                            if (const auto* d = std::get_if<EndpointUpdate>(&e)) {
                              for (const Endpoint& entry : d->endpoints) {
                                if (entry.started_at) {
                                  cold = entry.id;
                                }
                              }
                            }
                            for (Action& a : actions) {
                              if (auto* send = std::get_if<StartAttempt>(&a); send && cold) {
                                send->endpoint = *cold;
                              }
                            }
                          }),
              Rule::kCold);
  EXPECT_GT(world->metrics().tipped, 0u);
}

// Whatever fails, and in whatever order: the module keeps the rules and no request is left over.
TEST(RuleChecker, FindsNoViolationOfTheModuleUnderRandomFaults) {
  const std::vector<FaultKind> kinds{
      FaultKind::kSilent,     FaultKind::kErrors,    FaultKind::kSlow,  FaultKind::kLateReports,
      FaultKind::kStaleList,  FaultKind::kCrash,     FaultKind::kDrain, FaultKind::kReplace,
      FaultKind::kProxyCrash, FaultKind::kPartition, FaultKind::kBurst, FaultKind::kTenantBurst};
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    Scenario s = shipped_scenario(seed % 3 ? "calm" : "three-tiers");
    Stream random(seed, Actor::kFaults, 1'000'000);
    s.seed = seed;
    s.length = std::chrono::seconds(15);
    s.load.utilisation = 0.3 + 0.9 * random.uniform();
    s.clients.retry = static_cast<RetryPolicy>(random.below(4));
    s.clients.patience = {0.3, 1};
    s.faults.clear();
    for (int i = 0; i < 5; ++i) {
      FaultSpec f;
      f.kind = kinds[random.below(kinds.size())];
      f.at = Duration(static_cast<std::int64_t>(8e6 * random.uniform()));
      f.length = Duration(static_cast<std::int64_t>(5e5 + 6e6 * random.uniform()));
      f.part = 0.05 + 0.45 * random.uniform();
      f.tier = static_cast<std::uint32_t>(random.below(s.tiers.size()));
      f.factor = f.kind == FaultKind::kErrors ? random.uniform() : 1 + 3 * random.uniform();
      f.delay = Duration(static_cast<std::int64_t>(5e6 * random.uniform()));
      s.faults.push_back(f);
    }
    World world(s, make_module_policy);
    world.run();
    EXPECT_EQ(world.rules().all(), 0u)
        << "seed " << seed << ": " << world.rules().violations()[0].what << "\n"
        << world.rules().violations()[0].trace;
    EXPECT_EQ(world.left_over(), 0u) << "seed " << seed;
    EXPECT_EQ(world.rules().open(), 0u) << "seed " << seed;
    EXPECT_EQ(world.metrics().all.unanswered, 0u) << "seed " << seed;
  }
}

}  // namespace
}  // namespace beechhill::emulator
