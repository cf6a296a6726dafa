#include "emulator/node.h"

#include <algorithm>
#include <cmath>

namespace beechhill::emulator {
namespace {

// Maximum number of stored reports. Reports with a delay of more than this many report intervals
// are lost.
constexpr std::size_t kMaxReports = 64;
// Maximum share of busy cores at which a backend with empty queues counts as idle, so that it can
// recover from a collapse.
constexpr double kMostlyIdle = 0.5;

}  // namespace

Node::Node(const TierSpec& spec, std::uint64_t seed, std::uint64_t index,
           std::optional<Time> started_at, Time now)
    : spec_(&spec), random_(seed, Actor::kNode, index), started_at_(started_at), advanced_to_(now) {
  speed_ = random_.uniform(spec.speed);
  // Randomises the start of the report interval, so that backends do not all refresh at the same
  // time.
  window_start_ = now - to_duration(random_.uniform() * to_s(spec.report_interval));
}

double Node::capacity_share(Time now) const {
  if (!started_at_ || spec_->cold_span <= Duration{0} || now >= *started_at_ + spec_->cold_span) {
    return 1;
  }
  const double age = std::max(0.0, to_s(now - *started_at_));
  return spec_->cold_from + (1 - spec_->cold_from) * age / to_s(spec_->cold_span);
}

double Node::effective_speed(Time now) const {
  return speed_ * capacity_share(now) / (slowdown_ * (collapsed_ ? spec_->collapse_slowdown : 1));
}

double Node::backlog_s(Time now) const {
  // Assumes that each running job is half done and takes the mean time of the jobs so far.
  const double running = jobs_started_ > 0 ? 0.5 * static_cast<double>(busy_cores_) * busy_total_ /
                                                 static_cast<double>(jobs_started_)
                                           : 0;
  return (running + (core_queue_work_ + slot_queue_work_) / effective_speed(now)) / spec_->cores;
}

// Advances the integrals to `now` and closes the report intervals that have ended.
void Node::advance(Time now) {
  while (advanced_to_ < now) {
    const Time window_end = window_start_ + spec_->report_interval;
    const Time next = std::min(now, window_end);
    const double dt = to_s(next - advanced_to_);
    busy_in_window_ += dt * static_cast<double>(busy_cores_);
    busy_total_ += dt * static_cast<double>(busy_cores_);
    job_seconds_ += dt * static_cast<double>(job_count());
    advanced_to_ = next;
    if (next < window_end) {
      return;
    }
    close_report_window(now);
  }
}

void Node::close_report_window(Time now) {
  const double length = to_s(spec_->report_interval);
  reports_.push_back(
      {advanced_to_, busy_in_window_ / length / spec_->cores, done_in_window_ / length});
  if (reports_.size() > kMaxReports) {
    reports_.pop_front();
  }
  busy_in_window_ = 0;
  done_in_window_ = 0;
  window_start_ = advanced_to_;
  // After a long idle period, skips reports that would all be equal and would be dropped from
  // reports_.
  const auto skip =
      (now - advanced_to_) / spec_->report_interval - static_cast<std::int64_t>(kMaxReports);
  if (skip > 0 && busy_cores_ == 0 && job_count() == 0) {
    window_start_ += skip * spec_->report_interval;
    advanced_to_ = window_start_;
  }
}

void Node::update_collapse(Time now) {
  if (spec_->collapse_queue_per_core <= 0) {
    return;
  }
  const bool queue_is_long =
      static_cast<double>(waiting()) > spec_->collapse_queue_per_core * spec_->cores;
  const bool idle =
      waiting() == 0 && static_cast<double>(busy_cores_) <= kMostlyIdle * spec_->cores;
  if (collapsed_ && ((idle_since_ && now - *idle_since_ >= spec_->collapse_idle) ||
                     now - collapsed_at_ >= spec_->collapse_max)) {
    collapsed_ = false;
    queue_long_since_.reset();
  }
  if (!collapsed_ && queue_long_since_ && queue_is_long &&
      now - *queue_long_since_ >= spec_->collapse_after) {
    collapsed_ = true;
    collapsed_at_ = now;
  }
  if (!queue_is_long) {
    queue_long_since_.reset();
  }
  if (queue_is_long && !queue_long_since_) {
    queue_long_since_ = now;
  }
  if (!idle) {
    idle_since_.reset();
  }
  if (idle && !idle_since_) {
    idle_since_ = now;
  }
}

void Node::start_phases(Time now, std::vector<StartedPhase>& starts) {
  while (used_slots_ < spec_->slots && !slot_queue_.empty()) {
    ++used_slots_;
    slot_queue_work_ -= slot_queue_.front().work;
    core_queue_work_ += slot_queue_.front().work;
    core_queue_.push_back(slot_queue_.front());
    slot_queue_.pop_front();
  }
  while (busy_cores_ < spec_->cores && !core_queue_.empty()) {
    const QueuedPhase job = core_queue_.front();
    core_queue_.pop_front();
    core_queue_work_ -= job.work;
    ++busy_cores_;
    if (job.is_first) {
      total_wait_s_ += to_s(now - job.since);
      ++jobs_started_;
    }
    starts.push_back({job.job, now + to_duration(job.work / effective_speed(now))});
  }
  if (core_queue_.empty()) {
    // Resets the sum, because rounding errors keep it from returning to exactly 0.
    core_queue_work_ = 0;
  }
  if (slot_queue_.empty()) {
    slot_queue_work_ = 0;
  }
  update_collapse(now);
}

bool Node::accept(Time now, JobId job, double work, std::vector<StartedPhase>& starts) {
  advance(now);
  update_collapse(now);
  if (job_count() >= static_cast<std::size_t>(spec_->slots) + spec_->room) {
    return false;
  }
  slot_queue_.push_back({job, work, now, true});
  slot_queue_work_ += work;
  start_phases(now, starts);
  max_waiting_ = std::max(max_waiting_, waiting());
  return true;
}

void Node::resume(Time now, JobId job, double work, std::vector<StartedPhase>& starts) {
  advance(now);
  core_queue_.push_back({job, work, now, false});
  core_queue_work_ += work;
  start_phases(now, starts);
}

void Node::phase_done(Time now, bool leaves, std::vector<StartedPhase>& starts) {
  advance(now);
  --busy_cores_;
  if (leaves) {
    --used_slots_;
    done_in_window_ += 1;
  }
  start_phases(now, starts);
}

void Node::leave(Time now, std::vector<StartedPhase>& starts) {
  advance(now);
  --used_slots_;
  done_in_window_ += 1;
  start_phases(now, starts);
}

bool Node::remove_queued(Time now, JobId job, std::vector<StartedPhase>& starts) {
  advance(now);
  const auto is_job = [job](const QueuedPhase& r) { return r.job == job; };
  if (const auto it = std::find_if(slot_queue_.begin(), slot_queue_.end(), is_job);
      it != slot_queue_.end()) {
    slot_queue_work_ -= it->work;
    slot_queue_.erase(it);
  } else if (const auto at = std::find_if(core_queue_.begin(), core_queue_.end(), is_job);
             at != core_queue_.end()) {
    core_queue_work_ -= at->work;
    core_queue_.erase(at);
    --used_slots_;
  } else {
    return false;
  }
  start_phases(now, starts);
  return true;
}

void Node::restart(Time now, Time started_at) {
  advance(now);
  slot_queue_.clear();
  core_queue_.clear();
  core_queue_work_ = 0;
  slot_queue_work_ = 0;
  used_slots_ = 0;
  busy_cores_ = 0;
  collapsed_ = false;
  queue_long_since_.reset();
  idle_since_.reset();
  reports_.clear();
  busy_in_window_ = 0;
  done_in_window_ = 0;
  started_at_ = started_at;
}

LoadReport Node::report(Time now, Duration more_delay) {
  advance(now);
  const Time until = now - spec_->report_delay - more_delay;
  for (auto it = reports_.rbegin(); it != reports_.rend(); ++it) {
    if (it->at > until) {
      continue;
    }
    const double noise = 1 + spec_->report_noise * (2 * random_.uniform() - 1);
    return {std::clamp(it->utilisation * noise, 0.0, 1.0), it->rate * noise};
  }
  return {};
}

}  // namespace beechhill::emulator
