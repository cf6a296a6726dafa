// Tests the membership state machine in a simulated cluster.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "emulator/gossip_simulation.h"

namespace beechhill::test {
namespace {

using namespace std::chrono_literals;
using emulator::GossipSimulation;
using emulator::GossipSimulationSpec;
using membership::MemberState;

GossipSimulationSpec spec(std::uint32_t members, std::uint64_t seed = 1) {
  GossipSimulationSpec spec;
  spec.members = members;
  spec.seed = seed;
  return spec;
}

MemberState state_seen_by(const GossipSimulation& simulation, std::size_t observer,
                          std::size_t other) {
  const auto& members = simulation.swim(observer).members();
  return members.at(GossipSimulation::name_of(other)).update.state;
}

bool converges_within(GossipSimulation& simulation, Duration timeout) {
  const Time deadline = simulation.now() + timeout;
  while (simulation.now() < deadline && !simulation.has_converged()) {
    simulation.run(100ms);
  }
  return simulation.has_converged();
}

TEST(Membership, ConvergesFromTwoSeeds) {
  for (const std::uint32_t members : {2u, 3u, 40u}) {
    GossipSimulation simulation(spec(members));
    EXPECT_TRUE(converges_within(simulation, members > 3 ? 40s : 10s)) << members << " members";
  }
}

TEST(Membership, DistinguishesDeadLeftAndRestartedMembers) {
  GossipSimulation simulation(spec(8));
  ASSERT_TRUE(converges_within(simulation, 10s));
  simulation.kill(5);
  simulation.leave(6);
  ASSERT_TRUE(converges_within(simulation, 40s));
  for (std::size_t observer = 0; observer < 5; ++observer) {
    EXPECT_EQ(state_seen_by(simulation, observer, 5), MemberState::kDead);
    EXPECT_EQ(state_seen_by(simulation, observer, 6), MemberState::kLeft);
  }
  EXPECT_EQ(simulation.traffic().false_deaths, 0u);
  simulation.kill(7);
  // Member 7 restarts before any other member has noticed its death, member 5 long after.
  simulation.start(7);
  simulation.start(5);
  simulation.run(20s);
  EXPECT_TRUE(simulation.has_converged());
  EXPECT_EQ(state_seen_by(simulation, 0, 7), MemberState::kAlive);
  // The five members that ran throughout must report both restarts. Members 5 and 7 may report each
  // other as new members instead.
  EXPECT_GE(simulation.traffic().restarts_seen, 10u);
}

TEST(Membership, ResumedMemberLearnsOfItsDeathBeforeItHasContact) {
  GossipSimulation simulation(spec(6));
  ASSERT_TRUE(converges_within(simulation, 10s));
  simulation.pause(3);
  ASSERT_TRUE(converges_within(simulation, 60s));
  EXPECT_EQ(state_seen_by(simulation, 0, 3), MemberState::kDead);
  const std::uint64_t deaths = simulation.swim(3).times_declared_dead();
  simulation.resume(3);
  EXPECT_FALSE(simulation.swim(3).has_contact());
  for (int i = 0; i < 1000 && !simulation.swim(3).has_contact(); ++i) {
    simulation.run(1ms);
  }
  EXPECT_TRUE(simulation.swim(3).has_contact());
  EXPECT_EQ(simulation.swim(3).times_declared_dead(), deaths + 1);
  EXPECT_TRUE(converges_within(simulation, 10s));
}

TEST(Membership, ResumedMemberThatIsPartitionedHasNoContact) {
  GossipSimulation simulation(spec(6));
  ASSERT_TRUE(converges_within(simulation, 10s));
  simulation.pause(3);
  simulation.run(30s);
  simulation.set_link_filter([](std::size_t from, std::size_t to) { return from != 3 && to != 3; });
  simulation.resume(3);
  simulation.run(60s);
  EXPECT_FALSE(simulation.swim(3).has_contact());
}

TEST(Membership, LossAloneCausesNoDeaths) {
  GossipSimulationSpec lossy = spec(30);
  lossy.loss = 0.15;
  lossy.duplication = 0.1;
  lossy.drift = 0.01;
  GossipSimulation simulation(lossy);
  ASSERT_TRUE(converges_within(simulation, 60s));
  simulation.run(600s);
  EXPECT_EQ(simulation.traffic().false_deaths, 0u);
}

// A member with a lossy link must raise its local health penalty, which slows its probes
// (Lifeguard), so that its suspicions do not lead to other members being declared dead.
TEST(Membership, MemberWithABadLinkRaisesItsLocalHealthPenalty) {
  constexpr std::size_t kImpaired = 11;
  GossipSimulation simulation(spec(12));
  ASSERT_TRUE(converges_within(simulation, 10s));
  std::mt19937 random(7);
  simulation.set_link_filter([&random](std::size_t from, std::size_t to) {
    return (from != kImpaired && to != kImpaired) || random() % 10 >= 6;
  });
  unsigned max_penalty = 0;
  for (int i = 0; i < 200; ++i) {
    simulation.run(1s);
    max_penalty = std::max(max_penalty, simulation.swim(kImpaired).local_health_penalty());
  }
  EXPECT_GT(max_penalty, 0u);
  for (std::size_t i = 0; i < kImpaired; ++i) {
    EXPECT_EQ(simulation.swim(i).times_declared_dead(), 0u) << "member " << i;
  }
}

TEST(Membership, ConvergesAfterAPartitionHeals) {
  GossipSimulation simulation(spec(20));
  ASSERT_TRUE(converges_within(simulation, 10s));
  simulation.set_link_filter(
      [](std::size_t from, std::size_t to) { return (from < 7) == (to < 7); });
  simulation.run(60s);
  EXPECT_EQ(state_seen_by(simulation, 0, 19), MemberState::kDead);
  EXPECT_EQ(state_seen_by(simulation, 19, 0), MemberState::kDead);
  simulation.set_link_filter({});
  EXPECT_TRUE(converges_within(simulation, 60s));
}

TEST(Membership, IndirectProbesBypassACutLink) {
  GossipSimulation simulation(spec(6));
  ASSERT_TRUE(converges_within(simulation, 10s));
  // Cuts the link between members 0 and 1 in both directions.
  simulation.set_link_filter([](std::size_t from, std::size_t to) { return from + to != 1; });
  simulation.run(300s);
  EXPECT_EQ(simulation.traffic().false_deaths, 0u);
}

// Injects one random fault, or restarts a killed member.
void inject_random_fault(GossipSimulation& simulation, std::mt19937_64& random) {
  const std::size_t members = simulation.size();
  const std::size_t i = random() % members;
  const std::size_t split = 1 + random() % (members - 1);
  switch (random() % 5) {
    case 0:
      simulation.kill(i);
      break;
    case 1:
      if (!simulation.running(i)) {
        simulation.start(i);
      }
      break;
    case 2:
      if (simulation.running(i)) {
        simulation.pause(i);
      }
      break;
    case 3:
      simulation.set_link_filter(
          [split](std::size_t from, std::size_t to) { return (from < split) == (to < split); });
      break;
    default:
      // Cuts the links in one direction only.
      simulation.set_link_filter(
          [split](std::size_t from, std::size_t to) { return from < split || to >= split; });
      break;
  }
}

void repair_all(GossipSimulation& simulation) {
  simulation.set_link_filter({});
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    if (!simulation.running(i)) {
      simulation.resume(i);
    }
    if (!simulation.running(i)) {
      simulation.start(i);
    }
  }
}

TEST(Membership, ConvergesAfterRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    GossipSimulationSpec faulty = spec(3 + static_cast<std::uint32_t>(random() % 25), seed);
    faulty.loss = 0.01 * static_cast<double>(random() % 20);
    faulty.duplication = 0.05;
    faulty.drift = 0.01;
    GossipSimulation simulation(faulty);
    simulation.run(10s);
    for (int fault = 0; fault < 6; ++fault) {
      inject_random_fault(simulation, random);
      simulation.run(std::chrono::milliseconds(random() % 20'000));
    }
    repair_all(simulation);
    EXPECT_TRUE(converges_within(simulation, 200s))
        << "seed " << seed << " members " << faulty.members;
  }
}

}  // namespace
}  // namespace beechhill::test
