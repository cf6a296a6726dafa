// A simulated gossip cluster: each member is a membership::SwimNode, connected by a network that
// loses, delays, duplicates and reorders datagrams in simulated time. Single-threaded and without a
// clock: equal specifications and calls give equal runs.
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
  /// Probability that a datagram is lost.
  double loss = 0;
  /// Probability that a datagram that is not lost is duplicated.
  double duplication = 0;
  /// Minimum one-way delay. Each datagram gets up to the same amount in addition, at random.
  Duration delay{500};
  /// Maximum relative error of a member's clock rate.
  double drift = 0;
  /// Number of seed members, which have the lowest indices. All members use the same seeds.
  std::uint32_t seeds = 2;
};

/// Runs the simulated cluster. Members are identified by their index, from 0. All of them are
/// running at the start.
class GossipSimulation {
 public:
  explicit GossipSimulation(const GossipSimulationSpec& spec);

  /// Advances the simulated time by `length`.
  void run(Duration length);
  /// The simulated time, in microseconds since the start. The clocks of the members drift from it.
  Time now() const { return now_; }
  std::size_t size() const { return members_.size(); }
  /// The protocol state machine of a member. The member must not have been killed.
  const membership::SwimNode& swim(std::size_t i) const { return *members_[i].swim; }
  /// Whether the member has been neither killed nor stopped.
  bool running(std::size_t i) const { return members_[i].swim && !members_[i].stopped; }

  /// Ends the member's process without a leave message.
  void kill(std::size_t i);
  /// Starts a new process of the member.
  void start(std::size_t i);
  /// Pauses the member. Datagrams that arrive meanwhile are buffered, up to the capacity of a
  /// socket's buffer.
  void pause(std::size_t i);
  /// Resumes a paused member.
  void resume(std::size_t i);
  /// Makes the member announce that it leaves, then ends its process.
  void leave(std::size_t i);
  /// Sets the link filter: only datagrams for which `reaches` returns true are delivered. An empty
  /// function lets all datagrams pass.
  void set_link_filter(std::function<bool(std::size_t from, std::size_t to)> reaches) {
    reaches_ = std::move(reaches);
  }

  /// Whether all running members have the same, correct view: each considers exactly the running
  /// members alive or suspect.
  bool has_converged() const;
  /// Returns the simulated time since which `observer` has considered `other` dead, or nothing if
  /// `observer` does not consider it dead. `observer` must not have been killed.
  std::optional<Time> dead_since(std::size_t observer, std::size_t other) const;

  struct TrafficCounts {
    /// Totals of sent datagrams, delivered or not, including the header and MAC of each.
    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;
    /// Number of times that a member declared a running member dead.
    std::uint64_t false_deaths = 0;
    /// Number of times that a member detected the restart of another.
    std::uint64_t restarts_seen = 0;
  };
  const TrafficCounts& traffic() const { return traffic_; }
  static std::string name_of(std::size_t i) { return "member-" + std::to_string(i); }

 private:
  struct Member {
    /// Null if the member has been killed.
    std::unique_ptr<membership::SwimNode> swim;
    bool stopped = false;
    Time stopped_at{0};
    /// Counts the member's processes, so that a tick scheduled for an earlier one is ignored.
    std::uint64_t generation = 0;
    /// Seconds of the member's clock per simulated second.
    double clock_rate = 1;
    /// Time of the next scheduled tick; negative if none is scheduled.
    Time scheduled_tick{-1};
    /// Senders and messages of the datagrams that arrived while the member was stopped.
    std::vector<std::pair<std::size_t, membership::Message>> pending_messages;
  };
  /// The arrival of a message, or a tick if there is no message.
  struct Event {
    Time at{0};
    /// Orders events of equal time by when they were scheduled.
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::size_t from = 0;
    /// For a tick, the generation of the process that it was scheduled for.
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
