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

using Key = std::array<unsigned char, 32>;  // crypto_auth_KEYBYTES

// The first signs; either is believed, so that a key can be changed while all run. Two at the most.
using Keys = std::vector<Key>;
// A key for each line of 64 hexadecimal digits; empty lines are passed over. Throws
// std::invalid_argument that says what is wrong.
Keys read_keys(std::string_view text);

enum class Channel : std::uint8_t { kHello, kSwim, kAgreement, kSettled };

inline constexpr std::size_t kMostDatagram = 1'400;  // passes any link whole
inline constexpr std::size_t kMostPayload = 1'250;   // of it, whatever the names

class Gate {
 public:
  // `life`: this process's, drawn at its start. `seed` draws the tickets: it must not be known to
  // others.
  Gate(Keys keys, std::string name, std::uint64_t life, std::uint64_t seed);

  void change_keys(Keys keys) { keys_ = std::move(keys); }
  // A datagram for the member at that address. `payload` has kMostPayload bytes at the most.
  std::string seal(const std::string& to, Channel channel, std::string payload);

  struct Opened {
    std::string from;  // its name
    Channel channel = Channel::kHello;
    std::string payload;
  };
  struct Result {
    std::optional<Opened> opened;
    std::vector<std::string> replies;  // to where it came from
    const char* refused = nullptr;     // a reason code, where it was
  };
  Result open(const std::string& from, std::string_view datagram);

 private:
  struct Sender {
    std::uint64_t life = 0, ticket = 0, top = 0,
                  seen = 0;  // `seen`: of the 64 numbers up to `top`, a bit each
    std::uint64_t next_life = 0,
                  next_ticket = 0;  // one that has yet to show the ticket drawn for it
  };
  struct Link {
    std::uint64_t ticket = 0;
    std::deque<std::pair<Channel, std::string>>
        last;  // to be sent again if the receiver wants another ticket
  };
  std::string write(std::uint64_t ticket, Channel channel, std::string_view payload);
  static bool fresh(Sender& sender, std::uint64_t number);
  Link& link(const std::string& address);

  Keys keys_;
  const std::string name_;
  const std::uint64_t life_;
  std::mt19937_64 random_;
  std::uint64_t number_ = 0;
  std::map<std::string, Sender> senders_;  // by name
  std::map<std::string, Link> links_;      // by address
};

// A payload longer than a datagram, in parts; put together again if all come, whatever their order.
std::vector<std::string> split(std::uint64_t number, std::string_view whole);
class Assembler {
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
