/// One backend as a state machine: cores, slots, a queue for slots, slow start, overload collapse,
/// load reports. No clock and no events of its own: the host tells it what happens when, and does
/// what it returns. The emulator and the fake backends on sockets both host it.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

/// Names a job to the host.
using JobId = std::uint64_t;

/// A phase of a job that has a core from now until then.
struct Start {
  JobId job = 0;
  Time until{0};
};

/// All times must not go back from call to call. Work is in seconds on a core of speed 1.
class Node {
 public:
  /// `spec` must outlive it. `born`: when it started, where it is still cold.
  Node(const TierSpec& spec, std::uint64_t seed, std::uint64_t index, std::optional<Time> born,
       Time now);

  /// Takes a job whose first phase is `work` long. False: it is overloaded, and the job has not
  /// run. What starts is appended to `starts`.
  bool take(Time now, JobId job, double work, std::vector<Start>& starts);
  /// A job that gave up its core without ending (it waits for the next tier) wants one again.
  void resume(Time now, JobId job, double work, std::vector<Start>& starts);
  /// The job's phase is over: its core is free. With `leaves`, its slot is free too.
  void phase_done(Time now, bool leaves, std::vector<Start>& starts);
  /// A job that holds a slot but no core ends.
  void leave(Time now, std::vector<Start>& starts);
  /// Takes out a job that waits for a core; false where it does not. O(queue), which is bounded.
  bool withdraw(Time now, JobId job, std::vector<Start>& starts);
  /// Everything in it is lost; it starts again cold at `born`.
  void restart(Time now, Time born);

  /// The share of its full capacity that it has now.
  double warmth(Time now) const;
  bool cold(Time now) const { return warmth(now) < 1; }
  /// Core-seconds a second.
  double capacity(Time now) const { return spec_->cores * speed_ * warmth(now); }
  std::size_t in_hand() const { return working_ + slot_queue_.size(); }
  std::size_t waiting() const { return core_queue_.size() + slot_queue_.size(); }
  /// Seconds of work that wait for each core, at its present speed.
  double backlog_s(Time now) const;
  /// Its load report as a proxy has it now: delayed and noisy.
  LoadReport report(Time now, Duration more_delay);
  void slow_down(double times) { slowdown_ = times; }
  /// Whether its throughput has collapsed under load.
  bool choked() const { return choked_; }
  const std::optional<Time>& born() const { return started_at_; }
  double speed() const { return speed_; }

  /// Totals up to the last call that took a time.
  double busy_core_s() const { return busy_total_; }
  double waited_s() const { return waited_; }
  /// The integral of in_hand() over time.
  double present_s() const { return present_; }
  std::uint64_t started() const { return jobs_started_; }
  std::size_t most_waiting() const { return max_waiting_; }
  /// Brings the totals up to now.
  void settle(Time now) { advance(now); }

 private:
  struct QueuedPhase {
    JobId job = 0;
    double work = 0;
    Time since{0};
    bool is_first = false;
  };
  /// A load report as refreshed.
  struct ReportSample {
    Time at{0};
    double utilisation = 0;
    double rate = 0;
  };

  void advance(Time now);
  void close_report_window(Time now);
  void update_collapse(Time now);
  void start_phases(Time now, std::vector<Start>& starts);
  double pace(Time now) const;

  const TierSpec* spec_;
  Stream random_;
  double speed_ = 1;
  double slowdown_ = 1;
  std::optional<Time> started_at_;
  // Jobs without a slot, and jobs with a slot but no core; and the work in each queue.
  std::deque<QueuedPhase> slot_queue_;
  std::deque<QueuedPhase> core_queue_;
  double slot_queue_work_ = 0;
  double core_queue_work_ = 0;
  // Slots and cores in use.
  std::size_t working_ = 0;
  std::size_t busy_ = 0;

  bool choked_ = false;
  Time choked_at_{0};
  std::optional<Time> crowded_since_;
  std::optional<Time> idle_since_;

  std::deque<ReportSample> reports_;
  Time advanced_to_{0};
  Time refreshed_{0};
  double busy_in_window_ = 0;
  double done_in_window_ = 0;

  double busy_total_ = 0;
  double waited_ = 0;
  double present_ = 0;
  std::uint64_t jobs_started_ = 0;
  std::size_t max_waiting_ = 0;
};

}  // namespace beechhill::emulator
