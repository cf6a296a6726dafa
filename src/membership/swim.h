// Who the other proxies are, and which of them live: SWIM (Das, Gupta, Motivala 2002) with
// suspicion, incarnations, indirect probes and news carried on probes, and with Lifeguard's regard
// for one's own slowness (Dadgar, Phillips, Currey 2018). A state machine: it is told the time and
// what came, and says what is to be sent. Free of I/O and clocks. docs/design/membership.md weighs
// the ways.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "beechhill/balancer.h"

namespace beechhill::membership {

// A member that is dead did not answer; one that left said so. Both may come back, by a higher
// incarnation.
enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* name(State state);

struct Rumour {  // what is said of a member
  std::string name, address;
  State state = State::kAlive;
  std::uint32_t incarnation =
      0;  // counted up by the member alone; of two rumours the higher one holds
  std::uint64_t life =
      0;           // of its process, drawn at its start: another one means that it restarted
  std::string by;  // of a suspicion: who holds it

  bool operator==(const Rumour&) const = default;
};

enum class Kind : std::uint8_t {
  kPing,
  kPingFor,  // ping `about` for me
  kAck,
  kNack,     // `about` did not answer me either: you are heard, at least
  kListAsk,  // all you know, from the member after `about` on
  kList,
};

struct Message {
  Kind kind = Kind::kPing;
  std::uint64_t number = 0;  // of the ping it belongs to
  std::string about;
  std::uint64_t digest = 0;  // of all that the sender holds, suspicions aside
  std::vector<Rumour> rumours;
};

struct Outgoing {
  std::string to;  // an address
  Message message;
};

inline constexpr std::size_t kMostMembers = 2'000;
inline constexpr std::size_t kMostRumours = 12;  // in one message,
inline constexpr std::size_t kMostRumourBytes =
    1'100;  // and so many bytes of them: a message is one datagram
inline constexpr std::size_t kLongestName = 48;
inline constexpr unsigned kMostSlowness = 8;

struct Settings {
  Duration interval{1'000'000};          // between two probes of one member's
  Duration forget_after{3'600'000'000};  // members that are dead or left
  std::vector<std::string> seeds;        // addresses where others may be found
};

class Swim {
 public:
  // `life`: drawn anew by each process. `self`: its name and address as the others reach it.
  Swim(Time now, Settings settings, std::uint64_t seed, std::string name, std::string address,
       std::uint64_t life);

  // A message of a member that has shown who it is. Appends what is to be sent.
  void receive(Time now, const std::string& from, const std::string& address,
               const Message& message, std::vector<Outgoing>& out);
  void tick(Time now, std::vector<Outgoing>& out);  // at due(), or later
  Time due() const { return due_; }
  // The process did not run for a while: what it holds may be old, and others may have declared it
  // dead.
  void woke(Time now, std::vector<Outgoing>& out);
  // Says good-bye. Nothing is sent after it but answers.
  void leave(Time now, std::vector<Outgoing>& out);

  // Whether it knows how it stands with the others: not from a gap on until one of them has
  // answered. One that knows no others is sure.
  bool sure() const { return sure_; }
  unsigned slowness() const {
    return slowness_;
  }  // of its own, as missed answers show it; it probes that much more slowly
  std::uint32_t incarnation() const { return incarnation_; }
  // How often it was told that it had been declared dead: what it was granted before is void.
  std::uint64_t deaths() const { return deaths_; }

  struct Member {
    Rumour rumour;
    Time since{0};  // of this state
  };
  const std::map<std::string, Member>& members() const { return members_; }  // the others, by name
  std::size_t alive() const;  // the others that are not dead and have not left
  std::uint64_t digest() const { return digest_; }

  struct Change {
    std::string name;
    State from = State::kAlive, to = State::kAlive;
    bool restarted = false, joined = false;
  };
  // What has changed since the last call.
  std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

 private:
  struct Suspicion {
    std::set<std::string> by;
    Time since{0};
  };
  struct Probe {  // the one under way
    std::string name;
    std::uint64_t number = 0;
    Time ask_others{0}, over{0};
    bool asked_others = false, answered = false;
    unsigned helpers = 0, nacks = 0;
  };
  struct Favour {  // a ping for another
    std::string for_address, about;
    std::uint64_t number = 0;  // theirs
    Time nack_at{0};
    bool nacked = false;
  };

  Rumour self() const;
  void hear(Time now, const Rumour& rumour);
  void hear_of_self(const Rumour& rumour);
  void set(Time now, const Rumour& rumour);
  void spread(const Rumour& rumour);
  void carry(Message& message, const std::string& to);
  void send(const std::string& address, Message message, const std::string& to,
            std::vector<Outgoing>& out);
  void begin_probe(Time now, std::vector<Outgoing>& out);
  void end_probe(Time now);
  void ask_others(std::vector<Outgoing>& out);
  void suspect(Time now, const std::string& name, const std::string& by);
  void ripen(Time now);
  void look_for_lost(std::vector<Outgoing>& out);
  void ask_list(const std::string& address, const std::string& after, const std::string& to,
                std::vector<Outgoing>& out);
  void answer_list(const std::string& address, const std::string& after,
                   std::vector<Outgoing>& out);
  void shift(int by);
  Duration suspicion_lasts(std::size_t confirmations) const;
  Duration period() const { return settings_.interval * (1 + slowness_); }
  std::vector<std::string> some(std::size_t count, const std::function<bool(const Member&)>& which);
  std::uint64_t below(std::uint64_t n) { return random_() % n; }
  void reckon();

  const Settings settings_;
  const std::string name_, address_;
  const std::uint64_t life_;
  std::mt19937_64 random_;
  std::uint32_t incarnation_ = 0;
  unsigned slowness_ = 0;
  bool sure_ = false, left_ = false;
  std::uint64_t deaths_ = 0, next_number_ = 1, periods_ = 0;
  std::uint32_t deaths_from_ = 0;  // incarnations whose death is not counted yet
  std::uint64_t sure_from_ = 0;    // an answer to this ping, or a later one, makes it sure
  std::map<std::string, Member> members_;
  std::map<std::string, Suspicion> suspicions_;
  std::vector<std::string> round_;  // still to be probed in this round, the next one last
  std::optional<Probe> probe_;
  std::map<std::uint64_t, Favour> favours_;  // by the number of the ping sent for it
  struct News {
    Rumour rumour;
    unsigned sent = 0;
  };
  std::map<std::string, News> news_;
  std::set<std::pair<unsigned, std::string>> news_order_;  // the least often told first
  std::uint64_t digest_ = 0;
  std::vector<Change> changes_;
  Time probe_at_, due_;
};

}  // namespace beechhill::membership
