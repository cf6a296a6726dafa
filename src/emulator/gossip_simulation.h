// A simulated cluster: one membership::SwimNode for each member, over a network that loses, delays,
// duplicates and reorders datagrams, in simulated time. Single-threaded and without a clock: equal
// specifications and calls give equal runs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "emulator/random.h"
#include "membership/swim_node.h"

namespace beechhill::emulator {

struct GossipSimulationSpec {
  std::uint32_t members = 3;
  std::uint64_t seed = 1;
  /// SwimSettings::probe_interval of all members.
  Duration interval{1'000'000};
  /// The probability that a datagram is lost.
  double loss = 0;
  /// The probability that a datagram that is not lost arrives twice.
  double doubled = 0;
  /// The shortest one-way delay; a uniformly random part of it is added.
  Duration delay{500};
  /// The largest relative error of a member's clock rate.
  double drift = 0;
  /// The first members, this many, are the seeds of all.
  std::uint32_t seeds = 2;
};

/// Members are named by their index, from 0. All of them run at the start.
class GossipSimulation {
 public:
  explicit GossipSimulation(const GossipSimulationSpec& spec);

  /// Advances the simulated time by `length`.
  void run(Duration length);
  /// The simulated time; members' own clocks drift from it.
  Time now() const { return now_; }
  std::size_t size() const { return members_.size(); }
  /// The state machine of a member that has not been killed.
  const membership::SwimNode& swim(std::size_t i) const { return *members_[i].swim; }
  /// Whether the member has been neither killed nor stopped.
  bool running(std::size_t i) const { return members_[i].swim && !members_[i].stopped; }

  /// Ends the member without notice.
  void kill(std::size_t i);
  /// Starts a new process of the member.
  void start(std::size_t i);
  /// Pauses the member. Datagrams that arrive meanwhile wait, as many as a socket's buffer holds.
  void stop(std::size_t i);
  /// Resumes a stopped member.
  void go_on(std::size_t i);
  /// Lets the member announce that it leaves, then ends it.
  void leave(std::size_t i);
  /// Sets which members reach each other; it is called for each datagram. Empty: all do.
  void cut(std::function<bool(std::size_t from, std::size_t to)> reaches) {
    reaches_ = std::move(reaches);
  }

  /// Whether the running members agree: each considers the running ones alive or suspect, and no
  /// others.
  bool agreed() const;
  /// Since when `observer`, which runs, has considered `other` dead; empty where it does not.
  std::optional<Time> dead_since(std::size_t observer, std::size_t other) const;

  struct TrafficCounts {
    /// Sent, whether they arrived or not, with the header and MAC of each.
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    /// How often a member declared a running one dead.
    std::uint64_t false_deaths = 0;
    /// How often a member noticed that another had restarted.
    std::uint64_t restarts_seen = 0;
  };
  const TrafficCounts& traffic() const { return traffic_; }
  static std::string name_of(std::size_t i) { return "member-" + std::to_string(i); }

 private:
  struct Member {
    /// Null where the member has been killed.
    std::unique_ptr<membership::SwimNode> swim;
    bool stopped = false;
    Time stopped_at{0};
    /// Counts its processes, so that a tick of an earlier one is ignored.
    std::uint64_t generation = 0;
    /// Seconds of its clock in a simulated second.
    double clock_rate = 1;
    /// When its next tick is scheduled; negative: none is.
    Time scheduled_tick{-1};
    /// Senders and messages that arrived while it was stopped.
    std::vector<std::pair<std::size_t, membership::Message>> pending_messages;
  };
  /// The arrival of a message, or a tick where there is none.
  struct Event {
    Time at{0};
    /// Events of one time take place in the order in which they were scheduled.
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::size_t from = 0;
    /// Of a tick: the member's process that it was scheduled for.
    std::uint64_t generation = 0;
    std::optional<membership::Message> message;

    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  Time clock(const Member& member) const {
    return Time(static_cast<std::int64_t>(static_cast<double>(now_.count()) * member.clock_rate));
  }
  void handle(const Event& event);
  void tick(std::size_t i);
  void receive(std::size_t i, std::size_t from, const membership::Message& message);
  void send(std::size_t i, const std::vector<membership::Outgoing>& out);
  void transmit(std::size_t from, std::size_t to, const membership::Message& message);
  void schedule_tick(std::size_t i);
  void count_changes(std::size_t i);
  bool agrees_with_cluster(std::size_t i) const;

  const GossipSimulationSpec spec_;
  Stream random_;
  Time now_{0};
  std::uint64_t next_order_ = 0;
  std::vector<Member> members_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::function<bool(std::size_t, std::size_t)> reaches_;
  TrafficCounts traffic_;
};

}  // namespace beechhill::emulator
