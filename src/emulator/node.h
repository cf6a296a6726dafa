// One node as a state machine: cores, slots, a waiting room, warmth, choking, load reports. No
// clock and no events of its own: the host tells it what happens when, and does what it returns.
// The emulator's world and the stand-in nodes on sockets both host it.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

using JobId = std::uint64_t;

struct Start {  // a job that has a core now, until then
  JobId job = 0;
  Time until{0};
};

class Node {
 public:
  Node(const TierSpec& spec, std::uint64_t seed, std::uint64_t index, std::optional<Time> born,
       Time now);

  // Takes a job whose first phase is `work` seconds on a core of speed 1. False: it is full, and
  // the job has not run. What starts is appended to `starts`.
  bool take(Time now, JobId job, double work, std::vector<Start>& starts);
  // A job that gave up its core without ending (it waits for the next tier) asks for one again.
  void resume(Time now, JobId job, double work, std::vector<Start>& starts);
  // The job's phase is over: its core is free. With `leaves`, its slot is free too.
  void phase_done(Time now, bool leaves, std::vector<Start>& starts);
  void leave(Time now, std::vector<Start>& starts);  // a job that holds a slot but no core ends
  // Takes out a job that waits for a core; false where it does not. Looks at its queue, which is
  // bounded.
  bool withdraw(Time now, JobId job, std::vector<Start>& starts);
  // Everything in it is lost; it starts again cold at `born`.
  void restart(Time now, Time born);

  double warmth(Time now) const;  // present share of its whole capacity
  bool cold(Time now) const { return warmth(now) < 1; }
  double capacity(Time now) const {
    return spec_->cores * speed_ * warmth(now);
  }  // core-seconds a second
  std::size_t in_hand() const { return working_ + room_.size(); }
  std::size_t waiting() const { return run_queue_.size() + room_.size(); }
  double backlog_s(Time now) const;  // seconds of work that wait for each core at its present speed
  LoadReport report(Time now, Duration more_delay);
  void slow_down(double times) { slow_ = times; }
  bool choked() const { return choked_; }
  const std::optional<Time>& born() const { return born_; }
  double speed() const { return speed_; }

  // Totals, for the books.
  double busy_core_s() const { return busy_total_; }
  double waited_s() const { return waited_; }
  double present_s() const { return present_; }  // integral of what it holds
  std::uint64_t started() const { return started_; }
  std::size_t most_waiting() const { return most_waiting_; }
  void settle(Time now) { roll(now); }

 private:
  struct Ready {
    JobId job = 0;
    double work = 0;
    Time since{0};
    bool first = false;
  };
  void roll(Time now);
  void watch_crowd(Time now);
  void run(Time now, std::vector<Start>& starts);
  double pace(Time now) const;

  const TierSpec* spec_;
  Stream random_;
  double speed_ = 1, slow_ = 1;
  std::optional<Time> born_;
  std::deque<Ready> room_;       // no slot yet
  std::deque<Ready> run_queue_;  // a slot, no core
  double run_work_ = 0, room_work_ = 0;
  std::size_t working_ = 0, busy_ = 0;
  bool choked_ = false;
  std::optional<Time> crowded_since_, idle_since_;
  Time choked_at_{0};

  struct Seen {  // a load report as refreshed
    Time at{0};
    double utilisation = 0, rate = 0;
  };
  std::deque<Seen> reports_;
  Time rolled_{0}, refreshed_{0};
  double busy_in_window_ = 0, done_in_window_ = 0;

  double busy_total_ = 0, waited_ = 0, present_ = 0;
  std::uint64_t started_ = 0;
  std::size_t most_waiting_ = 0;
};

}  // namespace beechhill::emulator
