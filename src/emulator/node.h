/// One backend as a state machine: cores, slots, a queue for slots, slow start, overload collapse
/// and load reports. It has no clock and schedules no events: its host passes in each occurrence
/// with its time, and schedules the phases that it returns. Hosts are the emulator and the fake
/// backends of the load test.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "emulator/random.h"
#include "emulator/scenario.h"

namespace beechhill::emulator {

/// Identifies a job; assigned by the host.
using JobId = std::uint64_t;

/// A phase of a job that has been given a core, and the time at which it ends.
struct StartedPhase {
  JobId job = 0;
  Time until{0};
};

/// The model of one backend. The times passed to successive calls must not decrease. Work is in
/// seconds on a core of speed 1.
class Node {
 public:
  /// `spec` must outlive this object. `started_at` must be set if the backend starts cold.
  Node(const TierSpec& spec, std::uint64_t seed, std::uint64_t index,
       std::optional<Time> started_at, Time now);

  /// Accepts a job whose first phase takes `work`. Returns false, without having run the job, if
  /// the backend is overloaded. Appends the phases that start to `starts`.
  bool accept(Time now, JobId job, double work, std::vector<StartedPhase>& starts);
  /// Queues a job for a core again, after it gave up its core to wait for the next tier. `work` is
  /// the length of its next phase.
  void resume(Time now, JobId job, double work, std::vector<StartedPhase>& starts);
  /// Ends a job's phase and frees its core; with `leaves`, also its slot.
  void phase_done(Time now, bool leaves, std::vector<StartedPhase>& starts);
  /// Ends a job that holds a slot but no core.
  void leave(Time now, std::vector<StartedPhase>& starts);
  /// Removes a job that is queued for a slot or a core; returns false if it is not queued. O(queue
  /// length), which is bounded by slots and room.
  bool remove_queued(Time now, JobId job, std::vector<StartedPhase>& starts);
  /// Discards all jobs and reports, as after a crash. The backend is cold again from `started_at`
  /// on.
  void restart(Time now, Time started_at);

  /// The share of its full capacity that the backend has at present, from 0 to 1; less than 1
  /// during slow start.
  double capacity_share(Time now) const;
  bool cold(Time now) const { return capacity_share(now) < 1; }
  /// Capacity in core-seconds at speed 1 per second, reduced by slow start but not by slow_down()
  /// or a collapse.
  double capacity(Time now) const { return spec_->cores * speed_ * capacity_share(now); }
  std::size_t job_count() const { return used_slots_ + slot_queue_.size(); }
  std::size_t waiting() const { return core_queue_.size() + slot_queue_.size(); }
  /// Estimated seconds until the cores complete the running and queued work, at the present speed.
  double backlog_s(Time now) const;
  /// The load report that a proxy receives now, with the noise of the scenario and its delay plus
  /// `more_delay`. Empty if no report is old enough.
  LoadReport report(Time now, Duration more_delay);
  void slow_down(double factor) { slowdown_ = factor; }
  /// Whether throughput has collapsed under load.
  bool collapsed() const { return collapsed_; }
  const std::optional<Time>& started_at() const { return started_at_; }
  double speed() const { return speed_; }

  /// Totals up to the latest time that was passed to a function that changes the state.
  double busy_core_s() const { return busy_total_; }
  double total_wait_s() const { return total_wait_s_; }
  /// The integral of job_count() over time, in job-seconds.
  double total_job_seconds() const { return job_seconds_; }
  std::uint64_t started() const { return jobs_started_; }
  std::size_t max_waiting() const { return max_waiting_; }
  /// Advances the totals to `now`.
  void update_totals(Time now) { advance(now); }

 private:
  struct QueuedPhase {
    JobId job = 0;
    double work = 0;
    Time since{0};
    bool is_first = false;
  };
  /// The load report of one report interval.
  struct ReportSample {
    Time at{0};
    double utilisation = 0;
    double rate = 0;
  };

  void advance(Time now);
  void close_report_window(Time now);
  void update_collapse(Time now);
  void start_phases(Time now, std::vector<StartedPhase>& starts);
  double effective_speed(Time now) const;

  const TierSpec* spec_;
  Stream random_;
  double speed_ = 1;
  double slowdown_ = 1;
  std::optional<Time> started_at_;
  // Jobs that wait for a slot, jobs that hold a slot and wait for a core, and the work in each
  // queue.
  std::deque<QueuedPhase> slot_queue_;
  std::deque<QueuedPhase> core_queue_;
  double slot_queue_work_ = 0;
  double core_queue_work_ = 0;
  std::size_t used_slots_ = 0;
  std::size_t busy_cores_ = 0;

  bool collapsed_ = false;
  Time collapsed_at_{0};
  std::optional<Time> queue_long_since_;
  std::optional<Time> idle_since_;

  std::deque<ReportSample> reports_;
  Time advanced_to_{0};
  Time window_start_{0};
  double busy_in_window_ = 0;
  double done_in_window_ = 0;

  double busy_total_ = 0;
  double total_wait_s_ = 0;
  double job_seconds_ = 0;
  std::uint64_t jobs_started_ = 0;
  std::size_t max_waiting_ = 0;
};

}  // namespace beechhill::emulator
