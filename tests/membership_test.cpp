// Membership: the state machine over a simulated network, and what proves where a datagram comes
// from.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "emulator/gossip_simulation.h"
#include "membership/datagram_authenticator.h"
#include "membership/message_codec.h"

namespace beechhill::test {
namespace {

using namespace std::chrono_literals;
using emulator::GossipSimulation;
using emulator::GossipSimulationSpec;
using membership::Channel;
using membership::DatagramAuthenticator;
using membership::MemberState;

GossipSimulationSpec spec(std::uint32_t members, std::uint64_t seed = 1) {
  GossipSimulationSpec s;
  s.members = members;
  s.seed = seed;
  return s;
}

MemberState held(const GossipSimulation& w, std::size_t by, std::size_t other) {
  return w.swim(by).members().at(GossipSimulation::name_of(other)).update.state;
}

bool agree_within(GossipSimulation& w, Duration most) {
  for (const Time end = w.now() + most; w.now() < end && !w.agreed();) {
    w.run(100ms);
  }
  return w.agreed();
}

TEST(Membership, AllFindEachOtherFromTwoSeeds) {
  for (const std::uint32_t n : {2u, 3u, 40u}) {
    GossipSimulation w(spec(n));
    EXPECT_TRUE(agree_within(w, n > 3 ? 40s : 10s)) << n;
  }
}

TEST(Membership, DeadLeftAndRestartedAreDifferentThings) {
  GossipSimulation w(spec(8));
  ASSERT_TRUE(agree_within(w, 10s));
  w.kill(5);
  w.leave(6);
  ASSERT_TRUE(agree_within(w, 40s));
  for (std::size_t i = 0; i < 5; ++i) {
    EXPECT_EQ(held(w, i, 5), MemberState::kDead);
    EXPECT_EQ(held(w, i, 6), MemberState::kLeft);
  }
  EXPECT_EQ(w.traffic().false_deaths, 0u);
  w.kill(7);
  w.start(7);  // before anybody noticed
  w.start(5);
  w.run(20s);
  EXPECT_TRUE(w.agreed() && held(w, 0, 7) == MemberState::kAlive);
  EXPECT_GE(w.traffic().restarts_seen,
            10u);  // the others, but for whoever heard of it from the newcomer itself as new
}

TEST(Membership, OneThatWakesLearnsThatItWasDeclaredDeadBeforeItIsSure) {
  GossipSimulation w(spec(6));
  ASSERT_TRUE(agree_within(w, 10s));
  w.stop(3);
  ASSERT_TRUE(agree_within(w, 60s));
  EXPECT_EQ(held(w, 0, 3), MemberState::kDead);
  const std::uint64_t deaths = w.swim(3).times_declared_dead();
  w.go_on(3);
  EXPECT_FALSE(w.swim(3).has_contact());
  for (int i = 0; i < 1000 && !w.swim(3).has_contact(); ++i) {
    w.run(1ms);
  }
  EXPECT_TRUE(w.swim(3).has_contact());
  EXPECT_EQ(w.swim(3).times_declared_dead(), deaths + 1);
  EXPECT_TRUE(agree_within(w, 10s));
}

TEST(Membership, OneThatWakesCutOffIsNotSure) {
  GossipSimulation w(spec(6));
  ASSERT_TRUE(agree_within(w, 10s));
  w.stop(3);
  w.run(30s);
  w.cut([](std::size_t from, std::size_t to) { return from != 3 && to != 3; });
  w.go_on(3);
  w.run(60s);
  EXPECT_FALSE(w.swim(3).has_contact());
}

TEST(Membership, LossAloneKillsNobody) {
  GossipSimulationSpec s = spec(30);
  s.loss = 0.15, s.doubled = 0.1, s.drift = 0.01;
  GossipSimulation w(s);
  ASSERT_TRUE(agree_within(w, 60s));
  w.run(600s);
  EXPECT_EQ(w.traffic().false_deaths, 0u);
}

// One on a bad line blames itself: it probes more slowly, and none of the others is held for dead
// on its word.
TEST(Membership, OneOnABadLineBlamesItself) {
  GossipSimulation w(spec(12));
  ASSERT_TRUE(agree_within(w, 10s));
  std::mt19937 dice(7);
  w.cut([&dice](std::size_t a, std::size_t b) { return (a != 11 && b != 11) || dice() % 10 >= 6; });
  unsigned slowness = 0;
  for (int i = 0; i < 200; ++i) {
    w.run(1s);
    slowness = std::max(slowness, w.swim(11).local_health_penalty());
  }
  EXPECT_GT(slowness, 0u);
  for (std::size_t i = 0; i < 11; ++i) {
    EXPECT_EQ(w.swim(i).times_declared_dead(), 0u) << i;
  }
}

TEST(Membership, AHealedSplitIsFound) {
  GossipSimulation w(spec(20));
  ASSERT_TRUE(agree_within(w, 10s));
  w.cut([](std::size_t a, std::size_t b) { return (a < 7) == (b < 7); });
  w.run(60s);
  EXPECT_EQ(held(w, 0, 19), MemberState::kDead);
  EXPECT_EQ(held(w, 19, 0), MemberState::kDead);
  w.cut({});
  EXPECT_TRUE(agree_within(w, 60s));
}

TEST(Membership, OnePathThatIsCutIsGoneRound) {
  GossipSimulation w(spec(6));
  ASSERT_TRUE(agree_within(w, 10s));
  w.cut([](std::size_t a, std::size_t b) { return a + b != 1; });  // the first two, both ways
  w.run(300s);
  EXPECT_EQ(w.traffic().false_deaths, 0u);
}

// Drawn faults; once they are over, all that run know each other again.
TEST(Membership, DrawnFaultsLeaveNobodyBehind) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 dice(seed);
    GossipSimulationSpec s = spec(3 + static_cast<std::uint32_t>(dice() % 25), seed);
    s.loss = 0.01 * static_cast<double>(dice() % 20), s.doubled = 0.05, s.drift = 0.01;
    GossipSimulation w(s);
    w.run(10s);
    for (int turn = 0; turn < 6; ++turn) {
      const std::size_t i = dice() % s.members;
      const std::size_t half = 1 + dice() % (s.members - 1);
      switch (dice() % 5) {
        case 0:
          w.kill(i);
          break;
        case 1:
          if (!w.running(i)) {
            w.start(i);
          }
          break;
        case 2:
          if (w.running(i)) {
            w.stop(i);
          }
          break;
        case 3:
          w.cut([half](std::size_t a, std::size_t b) { return (a < half) == (b < half); });
          break;
        case 4:
          w.cut([half](std::size_t a, std::size_t b) { return a < half || b >= half; });
          break;  // one way
      }
      w.run(std::chrono::milliseconds(dice() % 20'000));
    }
    w.cut({});
    for (std::size_t i = 0; i < s.members; ++i) {
      w.running(i) ? void() : (w.go_on(i), w.running(i) ? void() : w.start(i));
    }
    EXPECT_TRUE(agree_within(w, 200s)) << "seed " << seed << " members " << s.members;
  }
}

TEST(MembershipWire, ReadsWhatItWroteAndNothingElse) {
  membership::Message m{membership::MessageType::kPingRequest,
                        77,
                        "member-9",
                        123,
                        {{"a", "127.0.0.1:1", MemberState::kSuspect, 4, 9, "b"},
                         {"c", "", MemberState::kLeft, 0, 0, ""}}};
  const std::string good = membership::encode(m);
  const auto read = membership::decode(good);
  ASSERT_TRUE(read && read->type == m.type && read->sequence_number == 77 &&
              read->subject == m.subject && read->updates == m.updates);
  for (std::size_t i = 0; i < good.size(); ++i) {
    EXPECT_FALSE(membership::decode(good.substr(0, i)));
  }
  EXPECT_FALSE(membership::decode(good + "x"));
  std::mt19937 random(3);
  for (int i = 0; i < 100'000; ++i) {
    std::string bad = good;
    for (unsigned n = 1 + random() % 3; n > 0; --n) {
      bad[random() % bad.size()] = static_cast<char>(random());
    }
    const auto got = membership::decode(bad);
    EXPECT_TRUE(!got || membership::decode(membership::encode(*got)));
  }
}

membership::MacKeys keys(char digit) {
  return membership::parse_keys(std::string(64, digit));
}

struct Two {  // members with a gate each, and what is on its way between them
  Two(membership::MacKeys a, membership::MacKeys b)
      : one(std::move(a), "one", 11, 1), two(std::move(b), "two", 22, 2) {}
  // The payloads that arrive at `to`, with hellos carried both ways.
  std::vector<std::string> pass(DatagramAuthenticator& from, DatagramAuthenticator& to,
                                std::string datagram) {
    std::vector<std::string> arrived;
    std::vector<std::string> going{std::move(datagram)}, coming;
    for (int i = 0; i < 4; ++i) {
      for (const std::string& d : std::exchange(going, {})) {
        const DatagramAuthenticator::VerifyResult r = to.verify("from", d);
        if (r.verified) {
          arrived.push_back(r.verified->payload);
        }
        coming.insert(coming.end(), r.replies.begin(), r.replies.end());
      }
      for (const std::string& d : std::exchange(coming, {})) {
        const DatagramAuthenticator::VerifyResult r = from.verify("to", d);
        going.insert(going.end(), r.replies.begin(), r.replies.end());
      }
    }
    return arrived;
  }
  DatagramAuthenticator one, two;
};

using Texts = std::vector<std::string>;

TEST(MembershipGate, LetsMembersInAfterTheyShowATicket) {
  Two t(keys('a'), keys('a'));
  EXPECT_EQ(t.pass(t.one, t.two, t.one.sign("to", Channel::kSwim, "x")), Texts{"x"});
  EXPECT_EQ(t.pass(t.one, t.two, t.one.sign("to", Channel::kSwim, "y")), Texts{"y"});
}

TEST(MembershipGate, RefusesOtherKeysDamageAndItself) {
  Two t(keys('a'), keys('b'));
  EXPECT_TRUE(t.pass(t.one, t.two, t.one.sign("to", Channel::kSwim, "x")).empty());
  EXPECT_STREQ(t.two.verify("f", t.one.sign("to", Channel::kSwim, "x")).rejection_reason, "key");
  Two same(keys('a'), keys('a'));
  std::string good = same.one.sign("to", Channel::kSwim, "x");
  EXPECT_STREQ(same.one.verify("f", good).rejection_reason, "name");
  for (std::size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 4);
    EXPECT_STREQ(same.two.verify("f", bad).rejection_reason, "key");
  }
  EXPECT_STREQ(same.two.verify("f", std::string(2'000, 'x')).rejection_reason, "size");
}

TEST(MembershipGate, RefusesWhatWasCaughtAndSentAgain) {
  Two t(keys('a'), keys('a'));
  t.pass(t.one, t.two, t.one.sign("to", Channel::kSwim, "x"));
  const std::string caught = t.one.sign("to", Channel::kSwim, "y"),
                    later = t.one.sign("to", Channel::kSwim, "z");
  EXPECT_TRUE(t.two.verify("from", later).verified &&
              t.two.verify("from", caught).verified);  // out of order is no harm
  EXPECT_STREQ(t.two.verify("from", caught).rejection_reason, "again");
  EXPECT_STREQ(t.two.verify("from", later).rejection_reason, "again");
  // A receiver that starts anew knows no numbers, but drew no such ticket.
  DatagramAuthenticator reborn(keys('a'), "two", 23, 3);
  EXPECT_STREQ(reborn.verify("from", caught).rejection_reason, "ticket");
  // A sender's earlier life is over once the next has shown its ticket.
  DatagramAuthenticator next(keys('a'), "one", 12, 4);
  EXPECT_EQ(t.pass(next, t.two, next.sign("to", Channel::kSwim, "new")), Texts{"new"});
  EXPECT_STREQ(t.two.verify("from", t.one.sign("to", Channel::kSwim, "old")).rejection_reason,
               "ticket");
  // And to another receiver it says nothing.
  DatagramAuthenticator third(keys('a'), "three", 33, 5);
  EXPECT_STREQ(third.verify("from", later).rejection_reason, "ticket");
}

TEST(MembershipGate, ChangesItsKeyWhileAllRun) {
  Two t(keys('a'), keys('a'));
  const auto both = [](char first, char second) {
    return membership::parse_keys(std::string(64, first) + "\n" + std::string(64, second) + "\n");
  };
  const auto passes = [&t] {
    return t.pass(t.one, t.two, t.one.sign("to", Channel::kSwim, "x")).size() +
           t.pass(t.two, t.one, t.two.sign("to", Channel::kSwim, "x")).size();
  };
  EXPECT_EQ(passes(), 2u);
  t.one.change_keys(both('a', 'b'));
  EXPECT_EQ(passes(), 2u);
  t.two.change_keys(both('b', 'a'));
  EXPECT_EQ(passes(), 2u);
  t.one.change_keys(keys('b'));
  EXPECT_EQ(passes(), 2u);
  t.two.change_keys(keys('b'));
  EXPECT_EQ(passes(), 2u);
  EXPECT_THROW(membership::parse_keys("12"), std::invalid_argument);
  EXPECT_THROW(membership::parse_keys(""), std::invalid_argument);
  EXPECT_THROW(membership::parse_keys(std::string(64, 'a') + "\n" + std::string(64, 'b') + "\n" +
                                      std::string(64, 'c')),
               std::invalid_argument);
}

TEST(MembershipGate, PutsPartsTogetherInAnyOrder) {
  std::string whole;
  for (int i = 0; i < 20'000; ++i) {
    whole += static_cast<char>(i * 7);
  }
  auto parts = membership::split_payload(5, whole);
  ASSERT_GT(parts.size(), 10u);
  std::shuffle(parts.begin(), parts.end(), std::mt19937(1));
  membership::PayloadAssembler a;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    EXPECT_FALSE(a.add("m", parts[i])) << i;
  }
  EXPECT_FALSE(a.add("m", parts.front()));  // twice
  EXPECT_EQ(a.add("m", parts.back()), whole);
  EXPECT_FALSE(a.add("m", "short"));
  EXPECT_TRUE(membership::split_payload(6, std::string(400'000, 'x')).empty());
  EXPECT_EQ(a.add("m", membership::split_payload(7, "").front()), "");
}

}  // namespace
}  // namespace beechhill::test
