// What proves that a datagram comes from a member, now: a keyed MAC over all of it (libsodium's
// crypto_auth), a number that counts up, and a ticket that the receiver drew for this life of the
// sender. A datagram that was caught and sent again is refused, also by a receiver that has started
// anew, and whatever the clocks say. Free of I/O and clocks.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::membership {

using MacKey = std::array<unsigned char, 32>;  // crypto_auth_KEYBYTES

// The first signs; either is believed, so that a key can be changed while all run. Two at the most.
using MacKeys = std::vector<MacKey>;
// A key for each line of 64 hexadecimal digits; empty lines are passed over. Throws
// std::invalid_argument that says what is wrong.
MacKeys parse_keys(std::string_view text);

enum class Channel : std::uint8_t { kHello, kSwim, kRaft, kCoordination };

inline constexpr std::size_t kMaxDatagramBytes = 1'400;  // passes any link whole
inline constexpr std::size_t kMaxPayloadBytes = 1'250;   // of it, whatever the names

class DatagramAuthenticator {
 public:
  // `life`: this process's, drawn at its start. `seed` draws the tickets: it must not be known to
  // others.
  DatagramAuthenticator(MacKeys keys, std::string name, std::uint64_t life, std::uint64_t seed);

  void change_keys(MacKeys keys) { keys_ = std::move(keys); }
  // A datagram for the member at that address. `payload` has kMostPayload bytes at the most.
  std::string sign(const std::string& to, Channel channel, std::string payload);

  struct VerifiedPayload {
    std::string sender;  // its name
    Channel channel = Channel::kHello;
    std::string payload;
  };
  struct VerifyResult {
    std::optional<VerifiedPayload> verified;
    std::vector<std::string> replies;        // to where it came from
    const char* rejection_reason = nullptr;  // a reason code, where it was
  };
  VerifyResult verify(const std::string& from, std::string_view datagram);

 private:
  struct Sender {
    std::uint64_t boot_id = 0, session_nonce = 0, top = 0,
                  seen = 0;  // `seen`: of the 64 numbers up to `top`, a bit each
    std::uint64_t next_life = 0,
                  next_ticket = 0;  // one that has yet to show the ticket drawn for it
  };
  struct Link {
    std::uint64_t session_nonce = 0;
    std::deque<std::pair<Channel, std::string>>
        last;  // to be sent again if the receiver wants another ticket
  };
  std::string write(std::uint64_t ticket, Channel channel, std::string_view payload);
  static bool fresh(Sender& sender, std::uint64_t number);
  Link& link(const std::string& address);

  MacKeys keys_;
  const std::string name_;
  const std::uint64_t life_;
  std::mt19937_64 random_;
  std::uint64_t number_ = 0;
  std::map<std::string, Sender> senders_;  // by name
  std::map<std::string, Link> links_;      // by address
};

// A payload longer than a datagram, in parts; put together again if all come, whatever their order.
std::vector<std::string> split_payload(std::uint64_t number, std::string_view whole);
class PayloadAssembler {
 public:
  // The whole, where this part was the last that lacked.
  std::optional<std::string> add(const std::string& from, std::string_view part);

 private:
  struct Open {
    std::uint64_t number = 0;
    std::vector<std::optional<std::string>> parts;
    std::size_t there = 0;
  };
  std::map<std::string, Open> open_;  // the latest of each member
};

}  // namespace beechhill::membership
