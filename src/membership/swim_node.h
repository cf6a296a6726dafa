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
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };
const char* name(MemberState state);

struct MemberUpdate {  // what is said of a member
  std::string name, address;
  MemberState state = MemberState::kAlive;
  std::uint32_t incarnation =
      0;  // counted up by the member alone; of two rumours the higher one holds
  std::uint64_t boot_id =
      0;  // of its process, drawn at its start: another one means that it restarted
  std::string suspected_by;  // of a suspicion: who holds it

  bool operator==(const MemberUpdate&) const = default;
};

enum class MessageType : std::uint8_t {
  kPing,
  kPingRequest,  // ping `about` for me
  kAck,
  kNack,         // `about` did not answer me either: you are heard, at least
  kSyncRequest,  // all you know, from the member after `about` on
  kSyncResponse,
};

struct Message {
  MessageType type = MessageType::kPing;
  std::uint64_t sequence_number = 0;  // of the ping it belongs to
  std::string subject;
  std::uint64_t digest = 0;  // of all that the sender holds, suspicions aside
  std::vector<MemberUpdate> updates;
};

struct Outgoing {
  std::string to;  // an address
  Message message;
};

inline constexpr std::size_t kMaxMembers = 2'000;
inline constexpr std::size_t kMaxUpdatesPerMessage = 12;  // in one message,
inline constexpr std::size_t kMaxUpdateBytes =
    1'100;  // and so many bytes of them: a message is one datagram
inline constexpr std::size_t kMaxNameBytes = 48;
inline constexpr unsigned kMaxLocalHealthPenalty = 8;

struct SwimSettings {
  Duration probe_interval{1'000'000};       // between two probes of one member's
  Duration forget_after{3'600'000'000};     // members that are dead or left
  std::vector<std::string> seed_addresses;  // addresses where others may be found
};

class SwimNode {
 public:
  // `life`: drawn anew by each process. `self`: its name and address as the others reach it.
  SwimNode(Time now, SwimSettings settings, std::uint64_t seed, std::string name,
           std::string address, std::uint64_t life);

  // A message of a member that has shown who it is. Appends what is to be sent.
  void receive(Time now, const std::string& from, const std::string& address,
               const Message& message, std::vector<Outgoing>& out);
  void tick(Time now, std::vector<Outgoing>& out);  // at due(), or later
  Time next_tick() const { return due_; }
  // The process did not run for a while: what it holds may be old, and others may have declared it
  // dead.
  void on_resume(Time now, std::vector<Outgoing>& out);
  // Says good-bye. Nothing is sent after it but answers.
  void leave(Time now, std::vector<Outgoing>& out);

  // Whether it knows how it stands with the others: not from a gap on until one of them has
  // answered. One that knows no others is sure.
  bool has_contact() const { return sure_; }
  unsigned local_health_penalty() const {
    return slowness_;
  }  // of its own, as missed answers show it; it probes that much more slowly
  std::uint32_t incarnation() const { return incarnation_; }
  // How often it was told that it had been declared dead: what it was granted before is void.
  std::uint64_t times_declared_dead() const { return deaths_; }

  struct Member {
    MemberUpdate update;
    Time state_since{0};  // of this state
  };
  const std::map<std::string, Member>& members() const { return members_; }  // the others, by name
  std::size_t alive_members() const;  // the others that are not dead and have not left
  std::uint64_t digest() const { return digest_; }

  struct MemberChange {
    std::string name;
    MemberState from = MemberState::kAlive, to = MemberState::kAlive;
    bool restarted = false, joined = false;
  };
  // What has changed since the last call.
  std::vector<MemberChange> take_changes() { return std::exchange(changes_, {}); }

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
  struct IndirectProbe {  // a ping for another
    std::string for_address, about;
    std::uint64_t number = 0;  // theirs
    Time nack_at{0};
    bool nacked = false;
  };

  MemberUpdate self() const;
  void hear(Time now, const MemberUpdate& rumour);
  void hear_of_self(const MemberUpdate& rumour);
  void set(Time now, const MemberUpdate& rumour);
  void spread(const MemberUpdate& rumour);
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
  Duration period() const { return settings_.probe_interval * (1 + slowness_); }
  std::vector<std::string> some(std::size_t count, const std::function<bool(const Member&)>& which);
  std::uint64_t below(std::uint64_t n) { return random_() % n; }
  void reckon();

  const SwimSettings settings_;
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
  std::map<std::uint64_t, IndirectProbe> favours_;  // by the number of the ping sent for it
  struct PendingUpdate {
    MemberUpdate rumour;
    unsigned sent = 0;
  };
  std::map<std::string, PendingUpdate> news_;
  std::set<std::pair<unsigned, std::string>> news_order_;  // the least often told first
  std::uint64_t digest_ = 0;
  std::vector<MemberChange> changes_;
  Time probe_at_, due_;
};

}  // namespace beechhill::membership
