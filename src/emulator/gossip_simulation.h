// Members of a group that talk over a network which loses, delays, doubles and reorders, in
// simulated time: membership::Swim itself, with faults drawn or told. One thread, no clock: equal
// seeds give equal runs.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "emulator/random.h"
#include "membership/swim_node.h"

namespace beechhill::emulator {

struct GossipSimulationSpec {
  std::uint32_t members = 3;
  std::uint64_t seed = 1;
  Duration interval{1'000'000};
  double loss = 0;          // of datagrams
  double doubled = 0;       // that come twice
  Duration delay{500};      // one way, and as much again at random
  double drift = 0;         // clocks run apart by as much, at the most
  std::uint32_t seeds = 2;  // the first members, which all others know of at the start
};

class GossipSimulation {
 public:
  explicit GossipSimulation(const GossipSimulationSpec& spec);

  void run(Duration length);  // goes on by as much
  Time now() const { return now_; }
  std::size_t size() const { return members_.size(); }
  const membership::SwimNode& swim(std::size_t i) const { return *members_[i].swim; }
  bool running(std::size_t i) const { return members_[i].swim && !members_[i].stopped; }

  void kill(std::size_t i);
  void start(std::size_t i);  // anew, of the same name
  void stop(std::size_t i);   // what comes meanwhile waits, up to a socket's buffer
  void go_on(std::size_t i);
  void leave(std::size_t i);  // says good-bye, then ends
  // Which pairs reach each other; nothing: all. Asked for each datagram, `from` and `to` being
  // places.
  void cut(std::function<bool(std::size_t from, std::size_t to)> passes) {
    passes_ = std::move(passes);
  }

  // Whether each that runs holds each that runs for alive, and no other.
  bool agreed() const;
  // When `watcher` came to hold `other` for dead, since the last start; nothing: it does not.
  std::optional<Time> dead_since(std::size_t watcher, std::size_t other) const;

  struct TrafficCounts {
    std::uint64_t datagrams = 0, bytes = 0;  // sent, with what the gate adds
    std::uint64_t false_deaths = 0;          // one that ran was held for dead by another
    std::uint64_t restarts_seen = 0;
  };
  const TrafficCounts& traffic() const { return books_; }
  static std::string name_of(std::size_t i) { return "member-" + std::to_string(i); }

 private:
  struct Member {
    std::unique_ptr<membership::SwimNode> swim;
    bool stopped = false;
    Time stopped_at{0};
    std::uint64_t life = 0;
    double rate = 1;  // of its clock
    Time planned{-1};
    std::vector<std::pair<std::size_t, membership::Message>> waiting;
  };
  struct Event {
    Time at{0};
    std::uint64_t order = 0;
    std::size_t to = 0, from = 0;
    std::uint64_t life = 0;
    std::optional<membership::Message> message;  // none: a tick
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  Time clock(const Member& m) const {
    return Time(static_cast<std::int64_t>(static_cast<double>(now_.count()) * m.rate));
  }
  void carry_out(std::size_t i, std::vector<membership::Outgoing>& out);
  void deliver(std::size_t from, std::size_t to, const membership::Message& message);
  void hear(std::size_t i, std::size_t from, const membership::Message& message);
  void plan(std::size_t i);
  static std::size_t place_of(const std::string& address) {
    return static_cast<std::size_t>(std::stoul(address));
  }

  const GossipSimulationSpec spec_;
  Stream random_;
  Time now_{0};
  std::uint64_t order_ = 0;
  std::vector<Member> members_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::function<bool(std::size_t, std::size_t)> passes_;
  TrafficCounts books_;
};

}  // namespace beechhill::emulator
