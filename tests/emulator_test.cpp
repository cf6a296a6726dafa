// The emulator against theory, its rule checker against policies broken on purpose, and its promise
// that equal seeds give equal bytes.
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <random>

#include "emulator/random.h"
#include "emulator/scenario_file.h"
#include "emulator/scenario_reader.h"
#include "emulator/world.h"
#include "experiments/experiment.h"

namespace beechhill::emulator {
namespace {

Scenario scenario_of(const std::string& text) {
  return read_scenario(config::parse_toml(text, "test"), "test");
}
Scenario shipped(const std::string& name) {
  const std::string path = std::string(EXPERIMENTS) + "/" + name + ".toml";
  return read_scenario(load_scenario(path), path);
}
std::string text_of(const Json::Value& v) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, v);
}
std::string bytes_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Nothing but queues: no network, no handshake, endless patience and room.
std::string queue_only(int nodes, int cores, double load, int requests) {
  const double rate = load * nodes * cores / 0.01;
  return "length = \"" + std::to_string(requests / rate) +
         "s\"\nwarm_up = \"1ms\"\n[load]\nrate = " + std::to_string(rate) +
         "\n[network]\none_way = \"0us\"\n[clients]\nretry = \"never\"\n[proxies]\nlongest_advice "
         "= \"0s\"\n"
         "[[class]]\nname = \"c\"\nrepeat = \"repeatable\"\nwork = \"10ms\"\naim = "
         "\"1h\"\ndeadline = \"2h\"\n"
         "[[tier]]\nname = \"t\"\nnodes = " +
         std::to_string(nodes) + "\ncores = " + std::to_string(cores) +
         "\nroom = 10000000\nconnection = { handshake = \"0us\", work = \"0us\" }\n";
}

double erlang_c(int c, double load) {  // the chance to wait in M/M/c
  const double a = c * load;
  double term = 1, sum = 1;
  for (int k = 1; k < c; ++k) {
    term *= a / k, sum += term;
  }
  const double last = term * a / c / (1 - load);
  return last / (sum + last);
}

struct Queue {
  int cores;
  double load;
};
void PrintTo(const Queue& q, std::ostream* out) {
  *out << q.cores << " cores at " << q.load;
}
class QueueTheory : public testing::TestWithParam<Queue> {};

TEST_P(QueueTheory, WaitsAsItShould) {
  const auto [cores, load] = GetParam();
  const Json::Value r =
      experiments::run_scenario(scenario_of(queue_only(1, cores, load, 1'000'000)), "random", false)
          .result;
  const Json::Value& tier = r["tiers"][0];
  const double wait = erlang_c(cores, load) * 0.01 / (cores * (1 - load));
  EXPECT_NEAR(tier["mean_wait_s"].asDouble() / wait, 1, 0.02);
  // Little: what is present is the rate times the time each is there.
  const double rate = load * cores / 0.01;
  EXPECT_NEAR(tier["mean_present"].asDouble() / (rate * (wait + 0.01)), 1, 0.02);
  EXPECT_NEAR(tier["utilisation"].asDouble() / load, 1, 0.02);
}
INSTANTIATE_TEST_SUITE_P(Queues, QueueTheory, testing::Values(Queue{1, 0.6}, Queue{4, 0.8}));

TEST(Emulator, TwoChoicesKeepQueuesShort) {
  const Scenario s = scenario_of(queue_only(100, 1, 0.9, 200'000));
  const auto most = [&](const char* policy) {
    return experiments::run_scenario(s, policy, false).result["tiers"][0]["most_waiting"].asInt();
  };
  const int random = most("random"), two = most("two_choices");
  EXPECT_GT(random, 40);  // grows as the logarithm of the time over that of 1 / load
  EXPECT_LT(two, 12);     // doubly logarithmic
}

TEST(Emulator, EqualSeedsGiveEqualBytesAndOthersDoNot) {
  Scenario s = shipped("three-tiers");
  s.length = std::chrono::seconds(16);
  const std::string one = text_of(experiments::run_scenario(s, "module", true).result);
  EXPECT_EQ(one, text_of(experiments::run_scenario(s, "module", true).result));
  s.seed = 2;
  EXPECT_NE(one, text_of(experiments::run_scenario(s, "module", true).result));
}

// ---- The rule checker

class Broken : public Policy {  // the real module, with what comes in or goes out spoilt
 public:
  using Spoil = std::function<void(const Event&, std::vector<Action>&)>;
  Broken(Time now, const Settings& settings, std::vector<Action>& actions, Spoil spoil)
      : balancer_(now, settings, actions), spoil_(std::move(spoil)) {}
  void handle(Time now, const Event& event, std::vector<Action>& actions) override {
    balancer_.handle(now, event, actions);
    spoil_(event, actions);
  }

 private:
  Balancer balancer_;
  Spoil spoil_;
};

RuleChecker const& rules_after(std::optional<World>& world, const Scenario& s,
                               Broken::Spoil spoil) {
  world.emplace(s, [spoil](Time now, const Settings& settings, const TrueState&,
                           std::vector<Action>& actions) {
    return std::make_unique<Broken>(now, settings, actions, spoil);
  });
  world->run();
  return world->rules();
}

void expect_only(const RuleChecker& rules, Rule broken) {
  for (const Rule r : {Rule::kOneAnswer, Rule::kEffects, Rule::kDrains, Rule::kCold}) {
    EXPECT_EQ(rules.count(r) > 0, r == broken) << name_of(r);
  }
  ASSERT_FALSE(rules.violations().empty());
  EXPECT_NE(rules.violations()[0].what, "");
}

TEST(RuleChecker, CatchesAnAnswerThatNeverComes) {
  std::optional<World> world;
  const Scenario s = shipped("calm");
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

TEST(RuleChecker, CatchesASecondAnswer) {
  std::optional<World> world;
  expect_only(rules_after(world, shipped("calm"),
                          [](const Event& e, std::vector<Action>& actions) {
                            if (const auto* o = std::get_if<Outcome>(&e); o && o->is_final) {
                              actions.push_back(Fail{o->id});
                            }
                          }),
              Rule::kOneAnswer);
}

TEST(RuleChecker, CatchesAnEffectSentAgain) {
  std::optional<World> world;
  Scenario s = shipped("fast-errors");
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

TEST(RuleChecker, CatchesARefusalOfWhatMayHaveRun) {
  std::optional<World> world;
  Scenario s = shipped("fast-errors");
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

TEST(RuleChecker, CatchesADrainForgotten) {
  std::optional<World> world;
  const Scenario s = shipped("stale-churn");
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

TEST(RuleChecker, CatchesAColdNodePushedOver) {
  std::optional<World> world;
  Scenario s = shipped("vanish");
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

// Whatever goes wrong, and in whatever order: the module keeps the rules and nothing stays on the
// books.
TEST(RuleChecker, FindsNothingAgainstTheModuleOnDaysOfRandomFaults) {
  const std::vector<FaultKind> kinds{
      FaultKind::kSilent,     FaultKind::kErrors,    FaultKind::kSlow,  FaultKind::kLateReports,
      FaultKind::kStaleList,  FaultKind::kCrash,     FaultKind::kDrain, FaultKind::kReplace,
      FaultKind::kProxyCrash, FaultKind::kPartition, FaultKind::kBurst, FaultKind::kTenantBurst};
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    Scenario s = shipped(seed % 3 ? "calm" : "three-tiers");
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
    World world(s, [](Time now, const Settings& settings, const TrueState& truth,
                      std::vector<Action>& actions) {
      return make_policy("module", now, settings, truth, actions);
    });
    world.run();
    EXPECT_EQ(world.rules().all(), 0u)
        << "seed " << seed << ": " << world.rules().violations()[0].what << "\n"
        << world.rules().violations()[0].trace;
    EXPECT_EQ(world.left_over(), 0u) << "seed " << seed;
    EXPECT_EQ(world.rules().open(), 0u) << "seed " << seed;
    EXPECT_EQ(world.metrics().all.unanswered, 0u) << "seed " << seed;
  }
}

// A burst of 6 s jams plain policies for good; the module is back at once.
TEST(Emulator, ShowsAFailureThatOutlivesItsCause) {
  const Scenario s = shipped("metastable");
  EXPECT_LT(experiments::run_scenario(s, "two_choices", false).result["recovery_s"].asDouble(), 0);
  const double module =
      experiments::run_scenario(s, "module", false).result["recovery_s"].asDouble();
  EXPECT_GE(module, 0);
  EXPECT_LE(module, 5);
}

// Back is what it was before the fault, not what it was during it.
TEST(Metrics, RecoveryIsMeasuredAgainstTheTimeBeforeTheFault) {
  const Scenario s = shipped("calm");
  Metrics m(s);
  for (const double served : {1.0, 1.0, 0.4, 0.4, 0.5, 0.97, 0.6, 0.99, 1.0, 1.0, 1.0}) {
    Second w;
    w.worth_asked = 100;
    w.worth_served = 100 * served;
    m.seconds.push_back(w);
  }
  using std::chrono::seconds;
  EXPECT_DOUBLE_EQ(m.goodput_between(seconds(0), seconds(2)), 1);
  EXPECT_DOUBLE_EQ(m.goodput_between(seconds(2), seconds(4)), 0.4);
  EXPECT_EQ(m.recovery_s(seconds(4), seconds(11), 0.95), 3);  // the lucky second is passed over
  EXPECT_EQ(m.recovery_s(seconds(4), seconds(9), 0.95), -1);  // not three in a row by then
}

TEST(Node, SaysLateWhatItSawAndSlowsDownWhenCrowded) {
  Scenario s = shipped("calm");
  TierSpec& t = s.tiers[0];
  t.cores = 1;
  t.speed = {1, 1};
  t.report_noise = 0;
  t.choke_crowd = 2;
  Node node(t, 1, 0, std::nullopt, Time{0});
  std::vector<Start> starts;
  ASSERT_TRUE(node.take(Time{0}, 1, 100.0, starts));  // busy for long
  EXPECT_FALSE(node.report(Time{0}, Duration{0}).utilization);
  EXPECT_EQ(node.report(Time{5'000'000}, Duration{0}).utilization, 1.0);
  EXPECT_FALSE(
      node.report(Time{5'000'000}, Duration{60'000'000}).utilization);  // later than all it has
  for (JobId id = 2; id < 6; ++id) {
    node.take(Time{5'000'000}, id, 0.1, starts);
  }
  node.take(Time{5'000'000} + t.choke_after / 2, 7, 0.1, starts);
  EXPECT_FALSE(node.choked());
  node.take(Time{5'000'000} + 2 * t.choke_after, 8, 0.1, starts);
  EXPECT_TRUE(node.choked());
  EXPECT_TRUE(node.withdraw(Time{10'000'000}, 8, starts));
  EXPECT_FALSE(node.withdraw(Time{10'000'000}, 1, starts));  // it runs
}

// ---- What is read

struct BadInput {
  const char* change;  // put behind a scenario that is whole
  const char* said;
};

TEST(ScenarioReader, NamesKeyAndLineOfWhatIsWrong) {
  const std::string whole = "length = \"5s\"\n[[class]]\nname = \"c\"\n[[tier]]\nname = \"t\"\n";
  EXPECT_EQ(scenario_of(whole).tiers.size(), 1u);
  const std::vector<BadInput> bad{
      {"nodes = 0", "test:6: tier[0].nodes: not from 1"},
      {"nodes = \"many\"", "test:6: tier[0].nodes: not a whole number"},
      {"speed = [2.0, 1.0]", "test:6: tier[0].speed: not within"},
      {"speed = [1.0]", "test:6: tier[0].speed: not a number or [least, most]"},
      {"nodse = 3", "test:6: tier[0].nodse: unknown key"},
      {"report = { every = 3 }", "tier[0].report.every: not a span"},
      {"report = { every = \"3 s\" }", "tier[0].report.every: not a span"},
      {"[load]\nrate = 1e9", "test:7: load.rate: not from"},
      {"[load]\nrate = nan", "test:7: load.rate: not from"},
      {"[load]\nshape = \"square\"", "test:7: load.shape: not one of steady, diurnal, bursts"},
      {"[[fault]]\nat = \"1s\"", "fault[0].kind: missing"},
      {"[[fault]]\nkind = \"silent\"", "fault[0].kind: says no nodes"},
      {"[[fault]]\nkind = \"silent\"\nnodes = 2", "fault[0].nodes: not from 0 to 1"},
      {"[[fault]]\nkind = \"tenant_burst\"\ntenant = \"x\"", "fault[0].tenant: unknown: x"},
      {"[[class]]\nname = \"d\"\naim = \"2s\"\ndeadline = \"1s\"",
       "class[1].deadline: shorter than the aim"},
      {"[[class]]\npart = 1", "class[1].name: missing"},
      {"clients = 3", "clients: "},
      {"= 3", "test:6: "},
      {"[rules]\nfall_multiple = -inf", "rules.fall_multiple: not from"},
  };
  for (const BadInput& b : bad) {
    try {
      scenario_of(whole + b.change);
      ADD_FAILURE() << b.change;
    } catch (const config::TomlError& fault) {
      EXPECT_NE(std::string(fault.what()).find(b.said), std::string::npos)
          << b.change << ": " << fault.what();
    }
  }
  EXPECT_THROW(scenario_of(""), config::TomlError);
}

// Two data centres with four fifths of the traffic in one: calls stay while it has room, and help
// comes as it fills.
TEST(TwoCentres, CallsCrossAsTheirOwnFills) {
  const auto played = [](double load) {
    Scenario s = shipped("two-centres");
    s.length = std::chrono::seconds(15);
    s.load.utilisation = load;
    World world(s, [](Time now, const Settings& settings, const TrueState& truth,
                      std::vector<Action>& actions) {
      return make_policy("module", now, settings, truth, actions);
    });
    world.run();
    EXPECT_EQ(world.rules().all(), 0u);
    EXPECT_GT(world.metrics().goodput(), 0.97) << load;
    return static_cast<double>(world.metrics().crossings) /
           static_cast<double>(world.metrics().all.asked);
  };
  EXPECT_LT(played(0.3), 0.1);  // 1.1 where calls go where they find least
  EXPECT_GT(played(0.8), 0.1);  // its own can do 0.63 of what comes
}

// Many proxies before many nodes, each pair meeting seldom: the slow ones must be told all the
// same. 0.87 and 0.90 where each proxy uses all of them.
TEST(ManyProxies, TellSlowNodesApart) {
  for (const std::uint64_t seed : {1, 2}) {
    Scenario s = shipped("coming-back");
    s.seed = seed;
    s.length = std::chrono::seconds(8);
    s.load.utilisation = 0.5;
    s.proxies = 200, s.tiers[0].nodes = 160, s.clients.connections = 2000;
    std::erase_if(s.faults, [](const FaultSpec& f) { return f.kind != FaultKind::kSlow; });
    World world(s, [](Time now, const Settings& settings, const TrueState& truth,
                      std::vector<Action>& actions) {
      return make_policy("module", now, settings, truth, actions);
    });
    world.run();
    EXPECT_EQ(world.rules().all(), 0u);
    EXPECT_GT(world.metrics().goodput(), 0.96);
  }
}

// Bytes changed, cut and doubled at random: a scenario or a fault with a text, never anything else.
TEST(ScenarioReader, OutlivesDamage) {
  std::vector<std::string> texts;
  for (const auto& file : std::filesystem::directory_iterator(EXPERIMENTS)) {
    if (file.path().extension() == ".toml") {
      texts.push_back(bytes_of(file.path().string()));
    }
  }
  ASSERT_GT(texts.size(), 10u);
  std::mt19937 random(7);
  int read = 0, refused = 0;
  for (int i = 0; i < 4000; ++i) {
    std::string text = texts[random() % texts.size()];
    for (int n = static_cast<int>(random() % 4); n >= 0 && !text.empty(); --n) {
      const std::size_t at = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[at] = static_cast<char>(random());
          break;
        case 1:
          text.erase(at, random() % 20);
          break;
        case 2:
          text.insert(at, text.substr(random() % text.size(), random() % 40));
          break;
        default:
          text[at] = "0123456789.-[]\"="[random() % 16];
      }
    }
    try {
      scenario_of(text);
      ++read;
    } catch (const config::TomlError& fault) {
      EXPECT_STRNE(fault.what(), "");
      ++refused;
    }
  }
  EXPECT_GT(read, 0);
  EXPECT_GT(refused, 0);
}

// ---- Experiments

class Experiments : public testing::Test {
 protected:
  void SetUp() override {
    std::string path = (std::filesystem::temp_directory_path() / "experiments-XXXXXX").string();
    ASSERT_NE(::mkdtemp(path.data()), nullptr);
    dir_ = path;
    std::ofstream(dir_ + "/s.toml")
        << "length = \"3s\"\n[load]\nutilisation = 0.5\n[[class]]\nname = \"c\"\n[[tier]]\nname = "
           "\"t\"\nnodes = 4\n";
    std::ofstream(dir_ + "/e.toml")
        << "scenario = \"s.toml\"\npolicies = [\"module\", \"random\"]\nseeds = [1, 2, 3]\n"
           "[grid]\n\"load.utilisation\" = [0.5, 0.9]\n\"tier.0.nodes\" = [3, 5]\n";
    experiment_ = experiments::load_experiment(dir_ + "/e.toml");
  }
  void TearDown() override { std::filesystem::remove_all(dir_); }
  std::string run(const std::string& name, unsigned threads) {
    experiments::run_experiment(experiment_, dir_ + "/" + name, threads);
    return bytes_of(dir_ + "/" + name);
  }
  std::string dir_;
  experiments::Experiment experiment_;
};

TEST_F(Experiments, GiveTheSameBytesOnOneThreadAndOnFour) {
  const std::string one = run("one", 1);
  EXPECT_EQ(std::count(one.begin(), one.end(), '\n'), 24);
  EXPECT_EQ(one, run("four", 4));
}

TEST_F(Experiments, GoOnAfterAnInterruptionAndNoticeATornLine) {
  const std::string whole = run("whole", 4);
  int started = 0;
  experiments::run_experiment(experiment_, dir_ + "/cut", 1, {},
                              [&started] { return ++started > 10; });
  EXPECT_FALSE(std::filesystem::exists(dir_ + "/cut"));
  const std::string partial = bytes_of(dir_ + "/cut.partial");
  EXPECT_EQ(std::count(partial.begin(), partial.end(), '\n'), 10);
  std::ofstream(dir_ + "/cut.partial", std::ios::binary) << partial.substr(0, partial.size() - 30);
  const experiments::Summary summary = experiments::run_experiment(experiment_, dir_ + "/cut", 4);
  EXPECT_TRUE(summary.torn);
  EXPECT_EQ(summary.kept, 9u);
  EXPECT_EQ(summary.run, 15u);
  EXPECT_EQ(bytes_of(dir_ + "/cut"), whole);
  // A changed scenario is not taken for a finished one.
  std::ofstream(dir_ + "/s.toml", std::ios::app) << "cores = 2\n";
  experiment_ = experiments::load_experiment(dir_ + "/e.toml");
  EXPECT_EQ(experiments::run_experiment(experiment_, dir_ + "/cut", 4).run, 24u);
}

TEST_F(Experiments, RefuseAGridThatLeadsNowhere) {
  for (const char* path : {"tier.1.nodes", "tier.x.nodes", "length.x", "a..b", "tier.0.nodse"}) {
    std::ofstream(dir_ + "/e.toml") << "scenario = \"s.toml\"\n[grid]\n\"" << path << "\" = [1]\n";
    EXPECT_ANY_THROW(experiments::load_experiment(dir_ + "/e.toml")) << path;
  }
}

}  // namespace
}  // namespace beechhill::emulator
