// Tests the wire formats of membership against golden bytes of every message type and of a signed
// exchange, and tests that the decoders reject malformed input. The golden bytes were written by
// the first released version. They must never change, because proxies of different versions run in
// the same cluster.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "membership/datagram_authenticator.h"
#include "membership/message_codec.h"
#include "membership/payload_fragments.h"

namespace beechhill::membership {
namespace {

std::string from_hex(std::string_view digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(std::string(digits.substr(i, 2)), nullptr, 16));
  }
  return bytes;
}

std::string to_hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    digits += kDigits[byte >> 4];
    digits += kDigits[byte & 15];
  }
  return digits;
}

std::vector<MemberUpdate> all_states() {
  return {{"proxy-a", "192.0.2.1:7946", MemberState::kAlive, 0, 0x1122334455667788, ""},
          {"proxy-b", "192.0.2.2:7946", MemberState::kSuspect, 3, 0x99aabbccddeeff00, "proxy-c"},
          {"proxy-d", "192.0.2.4:65535", MemberState::kDead, 0xfffffffe, 1, ""},
          {"proxy-e", "", MemberState::kLeft, 7, 0, ""}};
}

constexpr std::string_view kAliveHex =
    "070070726f78792d610e003139322e302e322e313a3739343600000000008877665544332211"
    "0000";
constexpr std::string_view kSuspectHex =
    "070070726f78792d620e003139322e302e322e323a37393436010300000000ffeeddccbbaa99"
    "070070726f78792d63";
constexpr std::string_view kDeadHex =
    "070070726f78792d640f003139322e302e322e343a363535333502feffffff0100000000000000"
    "0000";
constexpr std::string_view kLeftHex = "070070726f78792d650000030700000000000000000000000000";

struct GoldenMessage {
  const char* description;
  Message message;
  std::string hex;
};

std::vector<GoldenMessage> golden_messages() {
  const std::vector<MemberUpdate> updates = all_states();
  const std::string all_hex =
      std::string(kAliveHex).append(kSuspectHex).append(kDeadHex).append(kLeftHex);
  return {
      {"ping",
       {MessageType::kPing, 0x0102030405060708, "", 0x1112131415161718, updates},
       "0008070605040302010000181716151413121104" + all_hex},
      {"ping request",
       {MessageType::kPingRequest, 2, "proxy-b", 0xffffffffffffffff, {updates[0]}},
       "010200000000000000070070726f78792d62ffffffffffffffff01" + std::string(kAliveHex)},
      {"ack",
       {MessageType::kAck, 3, "", 42, {updates[1]}},
       "02030000000000000000002a0000000000000001" + std::string(kSuspectHex)},
      {"nack",
       {MessageType::kNack, 4, "proxy-b", 43, {}},
       "030400000000000000070070726f78792d622b0000000000000000"},
      {"sync request",
       {MessageType::kSyncRequest, 0, "proxy-a", 44, {updates[2]}},
       "040000000000000000070070726f78792d612c0000000000000001" + std::string(kDeadHex)},
      {"sync response",
       {MessageType::kSyncResponse, 0, "", 45, updates},
       "05000000000000000000002d0000000000000004" + all_hex},
  };
}

TEST(MessageCodec, DecodesAndEncodesGoldenBytesOfEachType) {
  for (const GoldenMessage& golden : golden_messages()) {
    SCOPED_TRACE(golden.description);
    EXPECT_EQ(to_hex(encode(golden.message)), golden.hex);
    const std::optional<Message> decoded = decode(from_hex(golden.hex));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->type, golden.message.type);
    EXPECT_EQ(decoded->sequence_number, golden.message.sequence_number);
    EXPECT_EQ(decoded->subject, golden.message.subject);
    EXPECT_EQ(decoded->digest, golden.message.digest);
    EXPECT_EQ(decoded->updates, golden.message.updates);
    EXPECT_EQ(to_hex(encode(*decoded)), golden.hex);
  }
}

TEST(MessageCodec, RejectsTruncatedExtendedAndCorruptedMessages) {
  const Message message{MessageType::kPingRequest,
                        77,
                        "member-9",
                        123,
                        {{"a", "127.0.0.1:1", MemberState::kSuspect, 4, 9, "b"},
                         {"c", "", MemberState::kLeft, 0, 0, ""}}};
  const std::string valid = encode(message);
  const std::optional<Message> decoded = decode(valid);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->type, message.type);
  EXPECT_EQ(decoded->sequence_number, 77u);
  EXPECT_EQ(decoded->subject, message.subject);
  EXPECT_EQ(decoded->updates, message.updates);
  for (std::size_t size = 0; size < valid.size(); ++size) {
    EXPECT_FALSE(decode(valid.substr(0, size))) << "cut to " << size;
  }
  EXPECT_FALSE(decode(valid + "x"));
  std::mt19937 random(3);
  for (int i = 0; i < 100'000; ++i) {
    std::string corrupted = valid;
    for (unsigned n = 1 + random() % 3; n > 0; --n) {
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    }
    const std::optional<Message> result = decode(corrupted);
    EXPECT_TRUE(!result || decode(encode(*result))) << to_hex(corrupted);
  }
}

// An exchange of datagrams that is reproducible because the keys, the boot ids and the seeds of the
// session nonces are fixed.
class GoldenExchange : public testing::Test {
 protected:
  static constexpr const char* kAddressA = "192.0.2.1:7946";
  static constexpr const char* kAddressB = "192.0.2.2:7946";
  static constexpr std::string_view kFirstHex =
      "42485431070070726f78792d61887766554433221101000000000000000000000000000000017061796c6f6164"
      "aa0256a3d9e853a9ccba351d27647105479e9ff378a0a7fe8b04bc6c7bee38af";
  static constexpr std::string_view kHelloHex =
      "42485431070070726f78792d6200ffeeddccbbaa990100000000000000000000000000000000"
      "88776655443322114d8a8109ed9752e7"
      "63be4925e478681b2b6611ce9d500610285f67aed3a40f69ad4d0e2245709a01";
  static constexpr std::string_view kResentHex =
      "42485431070070726f78792d61887766554433221102000000000000004d8a8109ed9752e7017061796c6f6164"
      "44d0ae3da918dac9f927ec7834fac7facc7e58fd1b8c41bda877ab1c2d0c34dc";
  static constexpr std::string_view kNextHex =
      "42485431070070726f78792d61887766554433221103000000000000004d8a8109ed9752e7036e657874"
      "77574c1da44af74f97a048ebd03f481b6a219db27ee41455e152013ef549c004";

  MacKeys keys_ = parse_keys("000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f\n");
  DatagramAuthenticator a_{keys_, "proxy-a", 0x1122334455667788, 1};
  DatagramAuthenticator b_{keys_, "proxy-b", 0x99aabbccddeeff00, 2};
};

TEST_F(GoldenExchange, SignsTheGoldenDatagrams) {
  EXPECT_EQ(to_hex(a_.sign(kAddressB, Channel::kSwim, "payload")), kFirstHex);
  const auto first = b_.verify(kAddressA, from_hex(kFirstHex));
  ASSERT_EQ(first.replies.size(), 1u);
  EXPECT_EQ(to_hex(first.replies[0]), kHelloHex);
  const auto hello = a_.verify(kAddressB, from_hex(kHelloHex));
  ASSERT_EQ(hello.replies.size(), 1u);
  EXPECT_EQ(to_hex(hello.replies[0]), kResentHex);
  EXPECT_EQ(to_hex(a_.sign(kAddressB, Channel::kCoordination, "next")), kNextHex);
}

TEST_F(GoldenExchange, VerifiesTheGoldenDatagrams) {
  EXPECT_EQ(b_.verify(kAddressA, from_hex(kFirstHex)).rejection, RejectionReason::kSessionNonce);
  const auto resent = b_.verify(kAddressA, from_hex(kResentHex));
  ASSERT_TRUE(resent.verified);
  EXPECT_EQ(resent.verified->sender, "proxy-a");
  EXPECT_EQ(resent.verified->channel, Channel::kSwim);
  EXPECT_EQ(resent.verified->payload, "payload");
  const auto next = b_.verify(kAddressA, from_hex(kNextHex));
  ASSERT_TRUE(next.verified);
  EXPECT_EQ(next.verified->channel, Channel::kCoordination);
  EXPECT_EQ(next.verified->payload, "next");
}

TEST_F(GoldenExchange, DecodesAndEncodesDatagramsAlike) {
  for (const std::string_view hex : {kFirstHex, kHelloHex, kResentHex, kNextHex}) {
    const std::string body = from_hex(hex.substr(0, hex.size() - 2 * kMacBytes));
    const std::optional<Datagram> decoded = decode_datagram(body);
    ASSERT_TRUE(decoded) << hex;
    EXPECT_EQ(to_hex(encode(*decoded)), to_hex(body));
    if (decoded->channel == Channel::kHello) {
      const std::optional<SessionHello> hello = decode_hello(decoded->payload);
      ASSERT_TRUE(hello);
      EXPECT_EQ(hello->boot_id, 0x1122334455667788u);
      EXPECT_EQ(to_hex(encode(*hello)), to_hex(decoded->payload));
    }
  }
}

TEST(PayloadFragments, HaveGoldenHeaders) {
  const auto fragments = split_payload(0x0807060504030201, std::string(1'300, 'x'));
  ASSERT_EQ(fragments.size(), 2u);
  EXPECT_EQ(to_hex(fragments[0].substr(0, 12)), "010203040506070800000200");
  EXPECT_EQ(to_hex(fragments[1].substr(0, 12)), "010203040506070801000200");
  EXPECT_EQ(fragments[0].size() + fragments[1].size(), 1'300u + 2 * 12);
}

}  // namespace
}  // namespace beechhill::membership
