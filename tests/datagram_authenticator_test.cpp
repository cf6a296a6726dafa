// Tests DatagramAuthenticator: sessions, replay protection, key rotation, and reassembly of
// payloads.
#include "membership/datagram_authenticator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "membership/payload_fragments.h"

namespace beechhill::membership {
namespace {

using Payloads = std::vector<std::string>;

MacKeys keys(char digit) {
  return parse_keys(std::string(64, digit));
}

MacKeys two_keys(char first, char second) {
  return parse_keys(std::string(64, first) + "\n" + std::string(64, second) + "\n");
}

// Two members that exchange datagrams.
class Pair {
 public:
  Pair(MacKeys keys_a, MacKeys keys_b)
      : a(std::move(keys_a), "one", 11, 1), b(std::move(keys_b), "two", 22, 2) {}

  // Delivers `datagram` and then all replies in both directions. Returns the payloads that
  // `receiver` verified.
  static Payloads exchange(DatagramAuthenticator& sender, DatagramAuthenticator& receiver,
                           std::string datagram) {
    Payloads verified;
    std::vector<std::string> to_receiver{std::move(datagram)};
    std::vector<std::string> to_sender;
    for (int round_trip = 0; round_trip < 4; ++round_trip) {
      for (const std::string& bytes : std::exchange(to_receiver, {})) {
        const auto result = receiver.verify("from", bytes);
        if (result.verified) {
          verified.push_back(result.verified->payload);
        }
        to_sender.insert(to_sender.end(), result.replies.begin(), result.replies.end());
      }
      for (const std::string& bytes : std::exchange(to_sender, {})) {
        const auto result = sender.verify("to", bytes);
        to_receiver.insert(to_receiver.end(), result.replies.begin(), result.replies.end());
      }
    }
    return verified;
  }

  Payloads send_to_b(const std::string& payload) {
    return exchange(a, b, a.sign("to", Channel::kSwim, payload));
  }
  Payloads send_to_a(const std::string& payload) {
    return exchange(b, a, b.sign("to", Channel::kSwim, payload));
  }

  DatagramAuthenticator a;
  DatagramAuthenticator b;
};

TEST(DatagramAuthenticator, DeliversPayloadsOnceASessionIsEstablished) {
  Pair pair(keys('a'), keys('a'));
  EXPECT_EQ(pair.send_to_b("x"), Payloads{"x"});
  EXPECT_EQ(pair.send_to_b("y"), Payloads{"y"});
}

TEST(DatagramAuthenticator, RejectsOtherKeysCorruptionAndItsOwnDatagrams) {
  Pair different(keys('a'), keys('b'));
  EXPECT_TRUE(different.send_to_b("x").empty());
  EXPECT_EQ(different.b.verify("f", different.a.sign("to", Channel::kSwim, "x")).rejection,
            RejectionReason::kMac);
  Pair same(keys('a'), keys('a'));
  const std::string valid = same.a.sign("to", Channel::kSwim, "x");
  EXPECT_EQ(same.a.verify("f", valid).rejection, RejectionReason::kSenderName);
  for (std::size_t i = 0; i < valid.size(); ++i) {
    std::string corrupted = valid;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 4);
    EXPECT_EQ(same.b.verify("f", corrupted).rejection, RejectionReason::kMac) << "byte " << i;
  }
  EXPECT_EQ(same.b.verify("f", std::string(2'000, 'x')).rejection, RejectionReason::kSize);
}

TEST(DatagramAuthenticator, RejectsReplays) {
  Pair pair(keys('a'), keys('a'));
  pair.send_to_b("x");
  const std::string captured = pair.a.sign("to", Channel::kSwim, "y");
  const std::string later = pair.a.sign("to", Channel::kSwim, "z");
  // Datagrams that arrive out of order are accepted.
  EXPECT_TRUE(pair.b.verify("from", later).verified);
  EXPECT_TRUE(pair.b.verify("from", captured).verified);
  EXPECT_EQ(pair.b.verify("from", captured).rejection, RejectionReason::kReplay);
  EXPECT_EQ(pair.b.verify("from", later).rejection, RejectionReason::kReplay);
  // A restarted receiver has lost its replay windows, but it rejects the datagram because it has
  // not drawn the session nonce.
  DatagramAuthenticator restarted_b(keys('a'), "two", 23, 3);
  EXPECT_EQ(restarted_b.verify("from", captured).rejection, RejectionReason::kSessionNonce);
  // When a restarted sender has established a session, datagrams of its previous process are
  // rejected.
  DatagramAuthenticator restarted_a(keys('a'), "one", 12, 4);
  EXPECT_EQ(Pair::exchange(restarted_a, pair.b, restarted_a.sign("to", Channel::kSwim, "new")),
            Payloads{"new"});
  EXPECT_EQ(pair.b.verify("from", pair.a.sign("to", Channel::kSwim, "old")).rejection,
            RejectionReason::kSessionNonce);
  // A session is valid for one receiver only.
  DatagramAuthenticator third(keys('a'), "three", 33, 5);
  EXPECT_EQ(third.verify("from", later).rejection, RejectionReason::kSessionNonce);
}

TEST(DatagramAuthenticator, RotatesKeysWithoutInterruption) {
  Pair pair(keys('a'), keys('a'));
  const auto delivered_both_ways = [&pair] {
    return pair.send_to_b("x").size() + pair.send_to_a("x").size();
  };
  EXPECT_EQ(delivered_both_ways(), 2u);
  pair.a.change_keys(two_keys('a', 'b'));
  EXPECT_EQ(delivered_both_ways(), 2u);
  pair.b.change_keys(two_keys('b', 'a'));
  EXPECT_EQ(delivered_both_ways(), 2u);
  pair.a.change_keys(keys('b'));
  EXPECT_EQ(delivered_both_ways(), 2u);
  pair.b.change_keys(keys('b'));
  EXPECT_EQ(delivered_both_ways(), 2u);
}

TEST(MacKeys, RejectsMalformedNoOrTooManyKeys) {
  EXPECT_THROW(parse_keys("12"), std::invalid_argument);
  EXPECT_THROW(parse_keys(""), std::invalid_argument);
  EXPECT_THROW(
      parse_keys(std::string(64, 'a') + "\n" + std::string(64, 'b') + "\n" + std::string(64, 'c')),
      std::invalid_argument);
}

TEST(PayloadFragments, ReassembleInAnyOrder) {
  std::string payload;
  for (int i = 0; i < 20'000; ++i) {
    payload += static_cast<char>(i * 7);
  }
  auto fragments = split_payload(5, payload);
  ASSERT_GT(fragments.size(), 10u);
  std::shuffle(fragments.begin(), fragments.end(), std::mt19937(1));
  PayloadAssembler assembler;
  for (std::size_t i = 0; i + 1 < fragments.size(); ++i) {
    EXPECT_FALSE(assembler.add("m", fragments[i])) << i;
  }
  // A duplicate fragment does not complete the payload.
  EXPECT_FALSE(assembler.add("m", fragments.front()));
  EXPECT_EQ(assembler.add("m", fragments.back()), payload);
}

TEST(PayloadFragments, RejectsMalformedFragmentsAndOversizedPayloads) {
  PayloadAssembler assembler;
  EXPECT_FALSE(assembler.add("m", "short"));
  EXPECT_TRUE(split_payload(6, std::string(400'000, 'x')).empty());
  EXPECT_EQ(assembler.add("m", split_payload(7, "").front()), "");
}

}  // namespace
}  // namespace beechhill::membership
